//! Tests that urgent work starts in time when one process, or any two at the same time, are killed.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use serde_json::json;

/// The time limit for urgent work to start (section 1.4 of the design page).
const URGENT_BOUND: Duration = Duration::from_millis(2800);

/// The time-out of the wait for a start; longer than the bound, so that late starts are measured.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

const SIZE: SiteSize = SiteSize {
    zones: 1,
    targets: 6,
    slots: 2,
    entries: 3,
};

/// The processes that are killed in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KilledProcesses {
    Decider,
    Agent,
    DeciderAndSuccessor,
    DeciderAndAgent,
    TwoAgents,
}

/// Kills processes of a new site, submits an urgent job, and returns the time from the kill until
/// all tasks of the job ran.
async fn measure_urgent_start(name: &str, killed: KilledProcesses) -> Duration {
    let site = ProcessSite::start(name, SIZE).await.expect("site starts");
    let first = gang_body("first", 6, "work_ms=1");
    assert_eq!(site.submit_job(0, &first).await.status, 202);
    site.wait_for_job(0, "first", WAIT_TIMEOUT).await;
    let decider = site.decider("az-1").await.expect("a decider");
    let successor = site.successor("az-1", decider).expect("an entry");
    let surviving_entry = (0..3)
        .find(|index| ![decider, successor].contains(index))
        .expect("a third entry");
    let (entries, agents): (&[usize], &[usize]) = match killed {
        KilledProcesses::Decider => (&[decider], &[]),
        KilledProcesses::Agent => (&[], &[0]),
        KilledProcesses::DeciderAndSuccessor => (&[decider, successor], &[]),
        KilledProcesses::DeciderAndAgent => (&[decider], &[0]),
        KilledProcesses::TwoAgents => (&[], &[0, 1]),
    };
    let killed_at = Instant::now();
    for index in entries {
        site.entries[*index].signal(Signal::Kill).expect("it runs");
    }
    for index in agents {
        site.agents[*index].signal(Signal::Kill).expect("it runs");
    }
    let mut urgent = gang_body("urgent", 2, "work_ms=30000");
    urgent["urgency"] = json!("urgent");
    let accepted = site.submit_job(surviving_entry, &urgent).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let runs = loop {
        let attempts = AttemptLog::read(&site.executors).attempts("urgent");
        if let Some(runs) = attempts.into_values().find(|runs| runs.len() == 2) {
            break runs;
        }
        assert!(
            killed_at.elapsed() < WAIT_TIMEOUT,
            "{killed:?}: never started"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    site.assert_no_faults();
    let started = runs.iter().map(|run| run.started_at).max();
    started.expect("two runs") - killed_at
}

/// Guards against takeovers and placements that make urgent work wait for killed processes.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_starts_in_time_when_any_two_processes_die() {
    let mut late = Vec::new();
    for killed in [
        KilledProcesses::Decider,
        KilledProcesses::Agent,
        KilledProcesses::DeciderAndSuccessor,
        KilledProcesses::DeciderAndAgent,
        KilledProcesses::TwoAgents,
    ] {
        let start_delay = measure_urgent_start(&format!("urgent-{killed:?}"), killed).await;
        println!(
            "{killed:?}: urgent work ran {} ms after the kills",
            start_delay.as_millis()
        );
        if start_delay > URGENT_BOUND {
            late.push((killed, start_delay));
        }
    }
    assert!(late.is_empty(), "later than {URGENT_BOUND:?}: {late:?}");
}
