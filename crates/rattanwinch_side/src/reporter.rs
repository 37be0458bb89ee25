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

/// How long a report may take; the scheduler answers from memory. A frozen or unreachable one is
/// given up after it, so this bounds how fast an agent turns to the next scheduler.
const REPORT_LIMIT: Duration = Duration::from_millis(700);

/// The pause between two searches for the scheduler.
const SEARCH_PAUSE: Duration = Duration::from_millis(150);

/// Changes within this span are told in one report.
const GATHER: Duration = Duration::from_millis(5);

/// Reports to the front that schedules for as long as the daemon runs.
pub(crate) async fn report_to_leader(state: Arc<SideState>) {
    let mut search = LeaderSearch::new(state.settings.vm.store);
    let mut announced = state.announced();
    loop {
        let found = tokio::select! {
            found = search.find(&state) => found,
            leader = next_announced(&mut announced) => Some(leader),
        };
        let Some(leader) = found.filter(|leader| leader.epoch >= state.epoch()) else {
            pause(&announced).await;
            continue;
        };
        info!(state.log, "scheduler found"; "address" => %leader.address, "epoch" => leader.epoch);
        let mut later = announced.clone();
        tokio::select! {
            () = report_while_answered(&state, leader) => pause(&announced).await,
            _ = next_announced(&mut later) => {}
        }
    }
}

/// The next front that says of itself that it schedules.
async fn next_announced(announced: &mut watch::Receiver<Option<LeaderInfo>>) -> LeaderInfo {
    loop {
        // The sender lives as long as the state, which outlives this task.
        if announced.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        if let Some(leader) = *announced.borrow_and_update() {
            return leader;
        }
    }
}

/// Waits before the next search, but not once a front has said that it schedules.
async fn pause(announced: &watch::Receiver<Option<LeaderInfo>>) {
    let mut later = announced.clone();
    // Whether the pause is over or a front has called, the search goes on.
    let _ = tokio::time::timeout(SEARCH_PAUSE, later.changed()).await;
}

async fn report_while_answered(state: &SideState, leader: LeaderInfo) {
    let client = FrontClient::new(leader.address);
    loop {
        let sent_at = state.clock.now();
        let report = state.report();
        match client.report(&report, REPORT_LIMIT).await {
            Ok(answer) => {
                if !state.obey(answer.epoch) || !answer.confirmed {
                    info!(state.log, "scheduler not confirmed"; "address" => %leader.address,
                        "epoch" => answer.epoch);
                    return;
                }
                state.note_contact(sent_at);
                take_answer(state, &report, &answer);
            }
            Err(error) => {
                info!(state.log, "scheduler lost"; "address" => %leader.address,
                    "epoch" => leader.epoch, "error" => %error);
                return;
            }
        }
        let changed = tokio::time::timeout(REPORT_INTERVAL, state.changed.notified()).await;
        if changed.is_ok() {
            tokio::time::sleep(GATHER).await;
        }
    }
}

fn take_answer(state: &SideState, report: &AgentReport, answer: &ReportAnswer) {
    if let Some(target) = &report.target {
        state.acknowledge(&target.description.instance, answer.acknowledged);
    }
    if !answer.fronts.is_empty() && **state.fronts.load() != answer.fronts {
        state.fronts.store(Arc::new(answer.fronts.clone()));
    }
}
