use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentClient;
use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LeaderInfo;
use slog::info;
use tokio::task::JoinSet;

use crate::front_state::FrontState;
use crate::records::AgentAddresses;

/// Timeout of an announcement. Receivers that miss it find the leader by asking.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of announcements in flight.
const MAX_CONCURRENT_ANNOUNCEMENTS: usize = 64;

/// Announces this front as the leader to the other fronts and to the agents known to the previous
/// leader.
pub(crate) async fn announce(state: Arc<FrontState>, leader: LeaderInfo, agents: AgentAddresses) {
    let mut calls = JoinSet::new();
    for &front in state.fronts.load().iter() {
        calls.spawn(async move {
            FrontClient::new(front)
                .announce(leader, ANNOUNCE_TIMEOUT)
                .await
        });
    }
    let (mut delivered, mut failed) = (0, 0);
    let mut agents = agents.into_values().peekable();
    while !calls.is_empty() || agents.peek().is_some() {
        if calls.len() < MAX_CONCURRENT_ANNOUNCEMENTS
            && let Some(agent) = agents.next()
        {
            calls.spawn(async move {
                AgentClient::new(agent)
                    .announce(leader, ANNOUNCE_TIMEOUT)
                    .await
            });
            continue;
        }
        match calls.join_next().await {
            Some(Ok(Ok(()))) => delivered += 1,
            Some(_) => failed += 1,
            None => {}
        }
    }
    info!(state.log, "announced"; "epoch" => leader.epoch, "told" => delivered, "missed" => failed);
}
