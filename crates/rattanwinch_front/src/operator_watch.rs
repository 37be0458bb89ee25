use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_site_operators::OPERATOR_PREFIX;
use rattanwinch_site_operators::OperatorOrders;
use slog::info;
use slog::warn;

use crate::commands::Command;
use crate::front_state::FrontState;
use crate::leading::Leading;
use crate::leading::ReadOrders;

/// How often the operators' orders are read. They have to be in force 2 s after their
/// confirmation; a read proves more than a watch, which may have gone deaf.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// The pause after a read that failed or found no configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Reads what operators have ordered, for as long as this front schedules.
pub(crate) async fn watch_operators(state: Arc<FrontState>, leading: Arc<Leading>) {
    let mut failing = false;
    loop {
        let sent_at = state.clock.now();
        let pause = match read_orders(&state).await {
            Ok(Some(orders)) => {
                if failing {
                    info!(state.log, "operators' orders readable again");
                }
                failing = false;
                take_orders(&state, &leading, ReadOrders { orders, sent_at }).await;
                READ_INTERVAL
            }
            Ok(None) => RETRY_PAUSE,
            Err(error) => {
                if !failing {
                    warn!(state.log, "operators' orders unreadable"; "error" => error);
                }
                failing = true;
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn read_orders(state: &FrontState) -> Result<Option<OperatorOrders>, String> {
    let items = state.store.range(OPERATOR_PREFIX).await;
    let items = items.map_err(|error| error.to_string())?;
    let items: BTreeMap<&str, &[u8]> = items
        .iter()
        .map(|item| (item.key.as_str(), item.value.as_slice()))
        .collect();
    OperatorOrders::decode(items).map_err(|error| error.to_string())
}

async fn take_orders(state: &FrontState, leading: &Leading, read: ReadOrders) {
    let known = leading.orders.load_full();
    let changed = known
        .as_ref()
        .is_none_or(|known| known.orders != read.orders);
    if known.is_some_and(|known| known.orders.version > read.orders.version) {
        warn!(state.log, "older operators' orders ignored"; "version" => read.orders.version);
        return;
    }
    if changed {
        info!(state.log, "operators' orders taken over"; "version" => read.orders.version,
            "closed_zones" => ?read.orders.closed_zones, "queues" => read.orders.queues.len());
    }
    if changed && !read.orders.unreadable_keys.is_empty() {
        warn!(state.log, "operators' keys without effect"; "keys" => ?read.orders.unreadable_keys);
    }
    leading.orders.store(Some(Arc::new(read)));
    leading.orders_read.notify_waiters();
    if changed && leading.commands.send(Command::OrdersRead).await.is_err() {
        // The coordinator has ended; so will this task.
        warn!(
            state.log,
            "operators' orders came after the scheduler ended"
        );
    }
}
