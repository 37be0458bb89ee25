use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_fleet::REPORT_INTERVAL;
use rattanwinch_fleet::ReportAnswer;
use slog::info;
use tokio::sync::watch;

use crate::leader_search::LeaderSearch;
use crate::side_state::SideState;

/// Timeout of a report; the leader answers it from memory. A frozen or unreachable leader is
/// abandoned after it, so it bounds how fast an agent finds the next one.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of the last report of a stopping agent, which delays its end.
const LAST_REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay between two searches for the leader.
const SEARCH_BACKOFF: Duration = Duration::from_millis(150);

/// Delay after a change before it is reported, so that further changes go into the same report.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Reports to the leader for as long as the daemon runs.
pub(crate) async fn report_to_leader(state: Arc<SideState>) {
    let mut search = LeaderSearch::new(state.settings.vm.store, state.address);
    let mut announcements = state.announcements();
    loop {
        let found = tokio::select! {
            found = search.find(&state) => found,
            leader = next_announcement(&mut announcements) => Some(leader),
        };
        let Some(leader) = found.filter(|leader| leader.epoch >= state.epoch()) else {
            wait_before_search(&announcements).await;
            continue;
        };
        info!(state.log, "scheduler found"; "address" => %leader.address, "epoch" => leader.epoch);
        let mut later_announcements = announcements.clone();
        tokio::select! {
            () = report_until_lost(&state, leader) => wait_before_search(&announcements).await,
            _ = next_announcement(&mut later_announcements) => {}
        }
    }
}

/// Waits for the next announcement of a leader.
async fn next_announcement(announcements: &mut watch::Receiver<Option<LeaderInfo>>) -> LeaderInfo {
    loop {
        // The sender is part of the state, which outlives this task.
        if announcements.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        if let Some(leader) = *announcements.borrow_and_update() {
            return leader;
        }
    }
}

/// Waits before the next search, or until a leader announces itself.
async fn wait_before_search(announcements: &watch::Receiver<Option<LeaderInfo>>) {
    let mut later_announcements = announcements.clone();
    // The search continues in both cases: after the delay, and after an announcement.
    let _ = tokio::time::timeout(SEARCH_BACKOFF, later_announcements.changed()).await;
}

/// Reports to the leader that the agent stops, and when the leases that it has granted end.
pub(crate) async fn report_stop(state: &SideState) {
    let Some(leader) = state.leader.load_full() else {
        return;
    };
    let report = state.last_report();
    let client = FrontClient::new(*leader);
    if let Err(error) = client.report(&report, LAST_REPORT_TIMEOUT).await {
        info!(state.log, "last report unanswered"; "address" => %leader, "error" => %error);
    }
}

async fn report_until_lost(state: &SideState, leader: LeaderInfo) {
    let client = FrontClient::new(leader.address);
    loop {
        let sent_at = state.clock.now();
        let report = state.report();
        match client.report(&report, REPORT_TIMEOUT).await {
            Ok(answer) => {
                if !state.accept_epoch(answer.epoch) || !answer.confirmed {
                    info!(state.log, "scheduler's leadership not confirmed; searching again";
                        "address" => %leader.address,
                        "epoch" => answer.epoch);
                    return;
                }
                state.record_leader_contact(sent_at, state.clock.now());
                state.leader.store(Some(Arc::new(leader.address)));
                apply_answer(state, &report, &answer);
            }
            Err(error) => {
                info!(state.log, "scheduler lost"; "address" => %leader.address,
                    "epoch" => leader.epoch, "error" => %error);
                return;
            }
        }
        let changed = tokio::time::timeout(REPORT_INTERVAL, state.report_needed.notified()).await;
        if changed.is_ok() {
            tokio::time::sleep(REPORT_BATCH_DELAY).await;
        }
    }
}

fn apply_answer(state: &SideState, report: &AgentReport, answer: &ReportAnswer) {
    if let Some(target) = &report.target {
        state.acknowledge(&target.description.instance, answer.acknowledged);
    }
    if !answer.fronts.is_empty() && **state.fronts.load() != answer.fronts {
        state.fronts.store(Arc::new(answer.fronts.clone()));
    }
}
