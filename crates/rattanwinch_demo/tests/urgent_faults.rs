//! Urgent work starts in time when one process, or any two at the same moment, die for good.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use serde_json::json;

/// Urgent work starts within this time (design 1.4).
const URGENT_BOUND: Duration = Duration::from_millis(2800);

/// How long a wait goes on past the bound, so that a late start is measured too.
const GIVE_UP: Duration = Duration::from_secs(15);

const SIZE: SiteSize = SiteSize {
    zones: 1,
    targets: 6,
    slots: 2,
    entries: 3,
};

/// The processes that die in one round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dead {
    Decider,
    Agent,
    DeciderAndSuccessor,
    DeciderAndAgent,
    TwoAgents,
}

/// Kills processes of a new site at the moment at which an urgent job waits, and returns how long
/// it took from then until all its tasks ran.
async fn measure(name: &str, dead: Dead) -> Duration {
    let site = ProcessSite::start(name, SIZE).await.expect("site starts");
    let first = gang_body("first", 6, "work_ms=1");
    assert_eq!(site.submit_job(0, &first).await.status, 202);
    site.finished_job(0, "first", GIVE_UP).await;
    let decider = site.decider("az-1").await.expect("a decider");
    let successor = site.successor("az-1", decider).expect("an entry");
    let asked = (0..3)
        .find(|index| ![decider, successor].contains(index))
        .expect("a third entry");
    let (entries, agents): (&[usize], &[usize]) = match dead {
        Dead::Decider => (&[decider], &[]),
        Dead::Agent => (&[], &[0]),
        Dead::DeciderAndSuccessor => (&[decider, successor], &[]),
        Dead::DeciderAndAgent => (&[decider], &[0]),
        Dead::TwoAgents => (&[], &[0, 1]),
    };
    let died_at = Instant::now();
    for index in entries {
        site.entries[*index].signal(Signal::Kill).expect("it runs");
    }
    for index in agents {
        site.agents[*index].signal(Signal::Kill).expect("it runs");
    }
    let mut urgent = gang_body("urgent", 2, "work_ms=30000");
    urgent["urgency"] = json!("urgent");
    let accepted = site.submit_job(asked, &urgent).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let runs = loop {
        let attempts = AttemptLog::read(&site.executors).attempts("urgent");
        if let Some(runs) = attempts.into_values().find(|runs| runs.len() == 2) {
            break runs;
        }
        assert!(died_at.elapsed() < GIVE_UP, "{dead:?}: never started");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    site.check_faults();
    let started = runs.iter().map(|run| run.started_at).max();
    started.expect("two runs") - died_at
}

/// Guards against takeovers and placements that make urgent work wait for processes that are dead.
#[tokio::test(flavor = "multi_thread")]
async fn urgent_work_starts_in_time_when_any_two_processes_die() {
    let mut late = Vec::new();
    for dead in [
        Dead::Decider,
        Dead::Agent,
        Dead::DeciderAndSuccessor,
        Dead::DeciderAndAgent,
        Dead::TwoAgents,
    ] {
        let took = measure(&format!("urgent-{dead:?}"), dead).await;
        println!(
            "{dead:?}: urgent work ran {} ms after the deaths",
            took.as_millis()
        );
        if took > URGENT_BOUND {
            late.push((dead, took));
        }
    }
    assert!(late.is_empty(), "later than {URGENT_BOUND:?}: {late:?}");
}
