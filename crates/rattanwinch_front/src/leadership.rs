//! Which front schedules: `Standby` becomes `Elected`, then `Restored`, which schedules until
//! leadership is lost. Each consumes the one before, so that a front can't give orders before it
//! has read all jobs.

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
use crate::leadership::standby::Step;
use crate::leading::Leading;

/// What a step of the life cycle returns.
type Result<T> = std::result::Result<T, StoreError>;

/// How often a front asks the one that schedules whether it still does.
const PING_INTERVAL: Duration = Duration::from_millis(300);

/// How long that may take; the answer comes from memory.
const PING_LIMIT: Duration = Duration::from_millis(300);

/// The pause between two attempts to find the scheduler or to become it.
const SEARCH_PAUSE: Duration = Duration::from_millis(150);

/// Keeps this front either following the one that schedules or scheduling itself, until the
/// daemon stops.
pub(crate) async fn take_part(state: Arc<FrontState>) {
    let standby = Standby {
        state: Arc::clone(&state),
    };
    while !state.is_stopping() {
        let elected = match standby.step().await {
            Step::Elected(elected) => elected,
            Step::Wait(pause) => {
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

/// Keeps a front that stops in touch with the one that schedules.
pub(crate) async fn follow(state: Arc<FrontState>) {
    let standby = Standby {
        state: Arc::clone(&state),
    };
    loop {
        // A stopping front claims nothing, so no step elects it.
        match standby.step().await {
            Step::Elected(_) => tokio::time::sleep(SEARCH_PAUSE).await,
            Step::Wait(pause) => tokio::time::sleep(pause).await,
        }
    }
}

/// Asks the other fronts who schedules; gives the highest epoch that isn't out of date.
async fn ask_fronts(state: &FrontState) -> Option<LeaderInfo> {
    let fronts = state.fronts.load_full();
    let asker = Some(state.address);
    let mut asked = JoinSet::new();
    for &front in fronts.iter() {
        let log = state.log.clone();
        asked.spawn(async move {
            let answer = FrontClient::new(front).leader(asker, PING_LIMIT).await;
            // Fronts that are gone or cut off are expected here, so this is no warning.
            answer.unwrap_or_else(|error| {
                debug!(log, "no answer about who schedules"; "front" => %front, "error" => %error);
                None
            })
        });
    }
    let answers = asked.join_all().await.into_iter();
    let told = answers.filter_map(|answer| Some(answer?.leader));
    let others = told.filter(|info| info.address != state.address);
    let best = others.max_by_key(|info| info.epoch)?;
    (best.epoch >= state.highest_epoch()).then_some(best)
}

/// Looks for a later scheduler while the store doesn't confirm this one, which may be out of
/// reach of the store alone.
async fn watch_successors(state: Arc<FrontState>, leading: Arc<Leading>) {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if leading.is_confirmed(state.clock.now()) {
            continue;
        }
        let later = ask_fronts(&state).await;
        if later.is_some_and(|later| later.epoch > leading.info.epoch) {
            state.set_leader(later);
            leading.lost.notify_one();
            return;
        }
    }
}
