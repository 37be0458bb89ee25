use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_site_store::StoreClient;
use slog::debug;
use slog::warn;

use crate::side_state::SideState;

/// How long a front may take to say who leads; it answers from memory.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// How long the store may take; its answers are slow at times.
const STORE_LIMIT: Duration = Duration::from_millis(1000);

/// Searches among the fronts before the store is asked; a call to it is priced.
const TRIES_BEFORE_STORE: u32 = 3;

/// Finds the front that schedules: from any front that is known, else from the store.
pub(crate) struct LeaderSearch {
    store: StoreClient,
    /// Counts searches, so that the store is asked only after the fronts have been.
    tries: u32,
}

impl LeaderSearch {
    pub(crate) fn new(store: SocketAddr) -> Self {
        Self {
            store: StoreClient::new(store, STORE_LIMIT),
            tries: 0,
        }
    }

    pub(crate) async fn find(&mut self, state: &SideState) -> Option<LeaderInfo> {
        let fronts = state.fronts.load_full();
        let mut asked = tokio::task::JoinSet::new();
        for &front in fronts.iter() {
            asked.spawn(async move {
                let answer = FrontClient::new(front).leader(None, ASK_LIMIT).await;
                (front, answer)
            });
        }
        let mut best: Option<LeaderInfo> = None;
        while let Some(answer) = asked.join_next().await {
            let Ok((front, Ok(Some(word)))) = answer else {
                continue;
            };
            let leader = word.leader;
            if best.is_none_or(|best| best.epoch < leader.epoch) {
                best = Some(leader);
            }
            // A front's word on itself needs no other; one that is dark would hold it up.
            if leader.address == front && leader.epoch >= state.epoch() {
                break;
            }
        }
        self.tries += 1;
        if best.is_some() {
            self.tries = 0;
            return best;
        }
        if self.tries <= TRIES_BEFORE_STORE {
            return None;
        }
        self.tries = 0;
        self.ask_store(state).await
    }

    async fn ask_store(&self, state: &SideState) -> Option<LeaderInfo> {
        match self.store.get(LEADER_KEY).await {
            Ok(item) => {
                let item = item?;
                let record = LeaderRecord::decode(&item.value);
                if record.is_none() {
                    warn!(state.log, "unreadable leader record");
                }
                record.map(|record| record.info(item.changed.0))
            }
            Err(error) => {
                debug!(state.log, "the store doesn't say who leads"; "error" => %error);
                None
            }
        }
    }
}
