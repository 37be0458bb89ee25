use std::sync::Arc;
use std::time::Duration;

use rattanwinch_site_store::Lease;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::front_state::FrontState;
use crate::leading::Leading;

/// How often the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Renewals that are on their way at once.
const MAX_RENEWALS: usize = 4;

/// Renews the lease until it has ended.
///
/// A renewal is sent at each interval, whether the one before has been answered or not: the
/// answer to it may be lost, and waiting for it would take most of the lease.
pub(crate) async fn renew(state: Arc<FrontState>, leading: Arc<Leading>, lease: Lease) {
    let mut interval = tokio::time::interval(RENEWAL_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut renewals = JoinSet::new();
    let mut failing = false;
    loop {
        tokio::select! {
            _ = interval.tick() => {
                if renewals.len() < MAX_RENEWALS {
                    let store = state.store.clone();
                    let sent_at = state.clock.now();
                    renewals.spawn(async move { (sent_at, store.renew(lease).await) });
                }
                if !leading.is_confirmed(state.clock.now())
                    && state.highest_epoch() > leading.info.epoch
                {
                    leading.lost.notify_one();
                    return;
                }
            }
            Some(Ok((sent_at, renewed))) = renewals.join_next() => match renewed {
                Ok(true) => {
                    confirm(&state, &leading, sent_at);
                    if std::mem::take(&mut failing) {
                        info!(state.log, "lease renewed again"; "epoch" => leading.info.epoch);
                    }
                }
                Ok(false) => {
                    warn!(state.log, "lease ended"; "epoch" => leading.info.epoch);
                    leading.lost.notify_one();
                    return;
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(state.log, "lease not renewed"; "epoch" => leading.info.epoch,
                            "error" => %error);
                    }
                }
            }
        }
    }
}

fn confirm(state: &FrontState, leading: &Leading, sent_at: Timestamp) {
    leading.confirm(sent_at);
    state.note_leader_heard(state.clock.now());
}
