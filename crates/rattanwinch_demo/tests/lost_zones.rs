//! An availability zone that fails as a whole: its agents and the entry that decides it.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::metric;
use rattanwinch_demo::testing::until;
use rattanwinch_types::Revision;
use serde_json::json;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 2,
    entries: 3,
};

/// A change is in force everywhere within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// The time in which a job that fits starts.
const START_BOUND: Duration = Duration::from_secs(20);

/// The task lease of 30 s, 6 s that the next decider adds to it, and the start elsewhere.
const MOVED_BOUND: Duration = Duration::from_secs(30 + 6 + 5);

/// The numbers of the zones in which a job has started tasks.
fn zones_of(site: &ProcessSite, id: &str) -> Vec<usize> {
    let executors = site.executors.iter().enumerate();
    let started = executors.filter(|(_, executor)| {
        let mut runs = executor.task_runs().into_iter();
        runs.any(|run| run.member.attempt.key.id.as_str() == id)
    });
    started.map(|(index, _)| index % SIZE.zones).collect()
}

/// Waits until each entry acts on the revision.
async fn until_in_force(site: &ProcessSite, revision: Revision) {
    let since = Instant::now();
    for entry in 0..SIZE.entries {
        while metric(site.url(entry, "/metrics"), "config_revision").await
            != Some(revision.0 as f64)
        {
            assert!(since.elapsed() < IN_FORCE_BOUND, "not in force at {entry}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against gangs that are stranded in a lost zone, that run there and elsewhere at once,
/// non-idempotent ones that run again, and work that is doubled when the zone comes back.
#[tokio::test(flavor = "multi_thread")]
async fn the_gangs_of_a_lost_zone_run_elsewhere_after_their_leases() {
    let mut site = ProcessSite::start("lost-zone", SIZE)
        .await
        .expect("site starts");
    // The other zone is closed meanwhile, so that a gang of each kind runs in the one to be lost.
    let operator = Operator::new(site.store.address(), "lead");
    let closed = operator.close_zone("closing", "az-2").await;
    until_in_force(&site, closed.expect("accepted").revision).await;
    let ids = ["job-0", "job-1"];
    for id in ids {
        let mut body = gang_body(id, 2, "work_ms=45000");
        body["accelerators_per_task"] = json!(2);
        body["idempotent"] = json!(id == "job-0");
        assert_eq!(site.submit_job(0, &body).await.status, 202);
        let started = || AttemptLog::read(&site.executors).starts(id) == 2;
        until(START_BOUND, "the gang runs", started).await;
    }
    let reopened = operator.reopen_zone("reopening", "closing").await;
    until_in_force(&site, reopened.expect("accepted").revision).await;
    let (lost, zone) = (0, "az-1");
    let decider = site.decider(zone).await.expect("it has a decider");
    for index in (0..SIZE.targets).filter(|index| index % SIZE.zones == lost) {
        site.agents[index].signal(Signal::Kill).expect("it runs");
    }
    site.entries[decider].signal(Signal::Kill).expect("it runs");
    let moved = || {
        let zones = zones_of(&site, "job-0");
        zones.iter().any(|zone| *zone != lost)
    };
    until(MOVED_BOUND, "the idempotent gang runs elsewhere", moved).await;
    let asked = (0..SIZE.entries).find(|index| *index != decider);
    let asked = asked.expect("another entry");
    for index in (0..SIZE.targets).filter(|index| index % SIZE.zones == lost) {
        site.agents[index] = site.start_agent(index).expect("a new agent starts");
    }
    for id in ids {
        let answer = site.finished_job(asked, id, Duration::from_secs(70)).await;
        if id == "job-0" {
            assert_eq!(answer["answers"].as_array().map(Vec::len), Some(2));
        } else {
            assert_eq!(answer["error"]["verdict"], json!("may_have_run"));
        }
        let log = AttemptLog::read(&site.executors);
        log.check(id, 2, Duration::ZERO);
        assert_eq!(log.attempts(id).len(), 1 + usize::from(id == "job-0"));
    }
    site.check_faults();
}
