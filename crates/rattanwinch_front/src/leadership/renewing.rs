use std::sync::Arc;
use std::time::Duration;

use rattanwinch_site_store::Lease;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::front_state::FrontState;
use crate::local_leader::LocalLeader;

/// Interval between lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of renewals in flight.
const MAX_RENEWALS: usize = 4;

/// Renews the leader's lease until it has ended.
///
/// A renewal is sent at each interval, whether or not the previous one has been answered: its
/// answer may be lost, and waiting for it would take most of the lease.
pub(crate) async fn renew(state: Arc<FrontState>, local_leader: Arc<LocalLeader>, lease: Lease) {
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
                if !local_leader.is_lease_confirmed(state.clock.now())
                    && state.highest_epoch() > local_leader.info.epoch
                {
                    local_leader.leadership_lost.notify_one();
                    return;
                }
            }
            Some(Ok((sent_at, renewed))) = renewals.join_next() => match renewed {
                Ok(true) => {
                    confirm(&state, &local_leader, sent_at);
                    if std::mem::take(&mut failing) {
                        info!(state.log, "lease renewed again"; "epoch" => local_leader.info.epoch);
                    }
                }
                Ok(false) => {
                    warn!(state.log, "lease ended"; "epoch" => local_leader.info.epoch);
                    local_leader.leadership_lost.notify_one();
                    return;
                }
                Err(error) => {
                    state.record_store_failure(sent_at);
                    if !std::mem::replace(&mut failing, true) {
                        warn!(state.log, "lease not renewed"; "epoch" => local_leader.info.epoch,
                            "error" => %error);
                    }
                }
            }
        }
    }
}

fn confirm(state: &FrontState, local_leader: &LocalLeader, sent_at: Timestamp) {
    local_leader.confirm(sent_at);
    state.record_leader_contact(state.clock.now());
}
