use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_site_operators::OPERATOR_PREFIX;
use rattanwinch_site_operators::OperatorOrders;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;

use crate::commands::Command;
use crate::front_state::FrontState;
use crate::local_leader::LocalLeader;
use crate::local_leader::OperatorOrdersSnapshot;

/// Interval between reads of the operators' orders, which have to be in force 2 s after their
/// confirmation. They are polled because a watch can silently stop delivering changes.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Backoff after a read that failed or that found no configuration in the store.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Polls the operators' orders while this front is the leader.
pub(crate) async fn watch_operators(state: Arc<FrontState>, local_leader: Arc<LocalLeader>) {
    let mut failing = false;
    loop {
        let sent_at = state.clock.now();
        let known = local_leader.orders.load_full();
        let known = known.as_ref().map(|known| &known.orders);
        let pause = match read_orders(&state, known).await {
            Ok(Some(orders)) => {
                if failing {
                    info!(state.log, "operators' orders readable again");
                }
                failing = false;
                apply_orders(&state, &local_leader, orders, sent_at).await;
                READ_INTERVAL
            }
            Ok(None) => RETRY_BACKOFF,
            Err(error) => {
                if !failing {
                    warn!(state.log, "operators' orders unreadable"; "error" => error);
                }
                failing = true;
                RETRY_BACKOFF
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn read_orders(
    state: &FrontState,
    known: Option<&OperatorOrders>,
) -> Result<Option<OperatorOrders>, String> {
    let items = state.store.range(OPERATOR_PREFIX).await;
    let items = items.map_err(|error| error.to_string())?;
    let items: BTreeMap<&str, &[u8]> = items
        .iter()
        .map(|item| (item.key.as_str(), item.value.as_slice()))
        .collect();
    Ok(OperatorOrders::decode(items, known))
}

async fn apply_orders(
    state: &FrontState,
    local_leader: &LocalLeader,
    orders: OperatorOrders,
    sent_at: Timestamp,
) {
    let known = local_leader.orders.load_full();
    let config_sent_at = match orders.config_error {
        None => Some(sent_at),
        Some(_) => known.as_ref().and_then(|known| known.config_sent_at),
    };
    let snapshot = OperatorOrdersSnapshot {
        orders,
        sent_at,
        config_sent_at,
    };
    let changed = known
        .as_ref()
        .is_none_or(|known| known.orders != snapshot.orders);
    if known.is_some_and(|known| known.orders.config.version > snapshot.orders.config.version) {
        warn!(state.log, "older operators' orders ignored"; "version" => snapshot.orders.config.version);
        return;
    }
    if changed {
        info!(state.log, "operators' orders taken over"; "version" => snapshot.orders.config.version,
            "closed_zones" => ?snapshot.orders.closed_zones, "queues" => snapshot.orders.config.queues().len());
    }
    if let Some(error) = snapshot.orders.config_error.as_ref().filter(|_| changed) {
        warn!(state.log, "operators' configuration unreadable; the last readable one is kept";
            "version" => snapshot.orders.config.version, "error" => %error);
    }
    if changed && snapshot.orders.config.unreadable_rows > 0 {
        warn!(state.log, "unreadable rows of the operators' configuration ignored";
            "version" => snapshot.orders.config.version,
            "rows" => snapshot.orders.config.unreadable_rows);
    }
    if changed && !snapshot.orders.unreadable_keys.is_empty() {
        warn!(state.log, "unreadable operators' keys ignored";
            "keys" => ?snapshot.orders.unreadable_keys);
    }
    local_leader.orders.store(Some(Arc::new(snapshot)));
    local_leader.operator_orders_updated.notify_waiters();
    if changed
        && local_leader
            .commands
            .send(Command::OperatorOrdersUpdated)
            .await
            .is_err()
    {
        // The coordinator has stopped; this task is about to be stopped as well.
        warn!(
            state.log,
            "operators' orders dropped: the coordinator has stopped"
        );
    }
}
