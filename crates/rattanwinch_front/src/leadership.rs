//! Leader election. `Standby` becomes `Elected`, then `Restored`, which schedules until leadership
//! is lost. Each state consumes the previous one, so that a front can't give orders before it has
//! loaded all jobs.

mod announcing;
mod elected;
mod renewing;
mod restored;
mod standby;

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_site_store::StoreError;
use slog::debug;
use slog::warn;
use tokio::task::JoinSet;

use crate::front_state::FrontState;
use crate::leadership::standby::Standby;
use crate::leadership::standby::StandbyStep;
use crate::local_leader::LocalLeader;

/// Result of a step of the election.
type Result<T> = std::result::Result<T, StoreError>;

/// Interval at which a standby front pings the leader.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a ping; fronts answer it from memory.
const PING_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay between attempts to find the leader or to become it.
const SEARCH_BACKOFF: Duration = Duration::from_millis(150);

/// Runs this front as a standby or as the leader until the daemon stops.
pub(crate) async fn run_leadership(state: Arc<FrontState>) {
    let standby = Standby {
        state: Arc::clone(&state),
    };
    while !state.is_stopping() {
        let elected = match standby.step().await {
            StandbyStep::Elected(elected) => elected,
            StandbyStep::Wait(pause) => {
                tokio::time::sleep(pause).await;
                continue;
            }
        };
        match elected.load().await {
            Ok(restored) => restored.schedule().await,
            Err(error) => warn!(state.log, "takeover failed"; "error" => %error),
        }
    }
}

/// Keeps a stopping front in contact with the leader.
pub(crate) async fn follow_leader(state: Arc<FrontState>) {
    let standby = Standby {
        state: Arc::clone(&state),
    };
    loop {
        // A stopping front claims no leadership, so it is never elected.
        match standby.step().await {
            StandbyStep::Elected(_) => tokio::time::sleep(SEARCH_BACKOFF).await,
            StandbyStep::Wait(pause) => tokio::time::sleep(pause).await,
        }
    }
}

/// Asks some of the other fronts for the leader; returns the one with the highest epoch, unless this front
/// has seen a higher one.
async fn find_leader(state: &FrontState) -> Option<LeaderInfo> {
    let asker = Some(state.info(state.clock.now()));
    let mut queries = JoinSet::new();
    for front in state.sample_fronts() {
        let log = state.log.clone();
        queries.spawn(async move {
            let answer = FrontClient::new(front).leader(asker, PING_TIMEOUT).await;
            // Unreachable fronts are expected here, so this is no warning.
            answer.unwrap_or_else(|error| {
                debug!(log, "front did not answer the query for the leader";
                    "front" => %front, "error" => %error);
                None
            })
        });
    }
    let answers = queries.join_all().await.into_iter();
    let leaders = answers.filter_map(|answer| Some(answer?.leader));
    let others = leaders.filter(|info| info.address != state.address);
    let best = others.max_by_key(|info| info.epoch)?;
    (best.epoch >= state.highest_epoch()).then_some(best)
}

/// Searches for a newer leader while the store doesn't confirm this one, since only this front may
/// have lost contact to the store.
async fn watch_successors(state: Arc<FrontState>, local_leader: Arc<LocalLeader>) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if local_leader.is_lease_confirmed(state.clock.now()) {
            continue;
        }
        let later = find_leader(&state).await;
        if later.is_some_and(|later| later.epoch > local_leader.info.epoch) {
            state.set_remote_leader(later);
            local_leader.leadership_lost.notify_one();
            return;
        }
    }
}
