use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::FrontSampler;
use rattanwinch_fleet::LEADER_KEY;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_fleet::LeaderRecord;
use rattanwinch_site_store::StoreClient;
use slog::debug;
use slog::warn;

use crate::side_state::SideState;

/// Timeout of a query for the leader; fronts answer it from memory.
const LEADER_QUERY_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a call to the store, whose answers are slow at times.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Searches among the fronts without success before the store is read; each call to the store is
/// billed.
const MAX_SEARCHES_BEFORE_STORE: u32 = 3;

/// Finds the leader through the known fronts, else through the store.
pub(crate) struct LeaderSearch {
    store: StoreClient,
    /// Searches without success since the store was read last.
    searches: u32,
    sampler: FrontSampler,
}

impl LeaderSearch {
    /// Creates a search for the agent at `address`.
    pub(crate) fn new(store: SocketAddr, address: SocketAddr) -> Self {
        Self {
            sampler: FrontSampler::new(address),
            store: StoreClient::new(store, STORE_TIMEOUT),
            searches: 0,
        }
    }

    pub(crate) async fn find(&mut self, state: &SideState) -> Option<LeaderInfo> {
        let mut queries = tokio::task::JoinSet::new();
        for front in self.sampler.sample(&state.fronts.load()) {
            queries.spawn(async move {
                let answer = FrontClient::new(front)
                    .leader(None, LEADER_QUERY_TIMEOUT)
                    .await;
                (front, answer)
            });
        }
        let mut best: Option<LeaderInfo> = None;
        while let Some(answer) = queries.join_next().await {
            let Ok((front, Ok(Some(status)))) = answer else {
                continue;
            };
            let leader = status.leader;
            if best.is_none_or(|best| best.epoch < leader.epoch) {
                best = Some(leader);
            }
            // A front that names itself needs no confirmation, and unreachable fronts would delay
            // the result.
            if leader.address == front && leader.epoch >= state.epoch() {
                break;
            }
        }
        self.searches += 1;
        if best.is_some() {
            self.searches = 0;
            return best;
        }
        if self.searches <= MAX_SEARCHES_BEFORE_STORE {
            return None;
        }
        self.searches = 0;
        self.query_store(state).await
    }

    async fn query_store(&self, state: &SideState) -> Option<LeaderInfo> {
        match self.store.get(LEADER_KEY).await {
            Ok(item) => {
                let item = item?;
                let record = LeaderRecord::decode(&item.value);
                if record.is_none() {
                    warn!(state.log, "unreadable leader record in the store");
                }
                record.map(|record| record.info(item.mod_revision.0))
            }
            Err(error) => {
                debug!(state.log, "leader record not read from the store"; "error" => %error);
                None
            }
        }
    }
}
