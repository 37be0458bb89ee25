use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentClient;
use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LeaderInfo;
use slog::info;
use tokio::task::JoinSet;

use crate::front_state::FrontState;
use crate::records::AgentAddresses;

/// How long an announcement may take; who misses it finds the scheduler by asking.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(500);

/// Announcements that are on their way at once.
const ANNOUNCE_AT_ONCE: usize = 64;

/// Tells the other fronts and the agents of the scheduler before that this front schedules now.
pub(crate) async fn announce(state: Arc<FrontState>, leader: LeaderInfo, agents: AgentAddresses) {
    let mut calls = JoinSet::new();
    for &front in state.fronts.load().iter() {
        calls.spawn(async move {
            FrontClient::new(front)
                .announce(leader, ANNOUNCE_LIMIT)
                .await
        });
    }
    let (mut told, mut missed) = (0, 0);
    let mut agents = agents.into_values().peekable();
    while !calls.is_empty() || agents.peek().is_some() {
        if calls.len() < ANNOUNCE_AT_ONCE
            && let Some(agent) = agents.next()
        {
            calls.spawn(async move {
                AgentClient::new(agent)
                    .announce(leader, ANNOUNCE_LIMIT)
                    .await
            });
            continue;
        }
        match calls.join_next().await {
            Some(Ok(Ok(()))) => told += 1,
            Some(_) => missed += 1,
            None => {}
        }
    }
    info!(state.log, "announced"; "epoch" => leader.epoch, "told" => told, "missed" => missed);
}
