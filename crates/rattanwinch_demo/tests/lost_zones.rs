//! Tests of the loss of a whole availability zone: its agents and its decider.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::read_metric;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_types::Revision;
use serde_json::json;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 2,
    entries: 3,
};

/// The time limit for a change to take effect at every entry.
const IN_EFFECT_BOUND: Duration = Duration::from_secs(5);

/// The time limit for a job that fits to start.
const START_BOUND: Duration = Duration::from_secs(20);

/// The time limit for a gang to restart in another zone: the task lease of 30 s, 6 s that the next
/// decider adds to it, and 5 s for the start.
const RELOCATION_BOUND: Duration = Duration::from_secs(30 + 6 + 5);

/// Returns the indices of the zones in which a job has started tasks.
fn started_zones(site: &ProcessSite, id: &str) -> Vec<usize> {
    let executors = site.executors.iter().enumerate();
    let started = executors.filter(|(_, executor)| {
        let mut runs = executor.task_runs().into_iter();
        runs.any(|run| run.member.attempt.key.id.as_str() == id)
    });
    started.map(|(index, _)| index % SIZE.zones).collect()
}

/// Waits until each entry uses the revision.
async fn wait_until_in_effect(site: &ProcessSite, revision: Revision) {
    let since = Instant::now();
    for entry in 0..SIZE.entries {
        while read_metric(site.url(entry, "/metrics"), "config_revision").await
            != Some(revision.0 as f64)
        {
            assert!(since.elapsed() < IN_EFFECT_BOUND, "not in force at {entry}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against gangs that are stuck in a lost zone or run there and elsewhere at the same time,
/// non-idempotent gangs that run again, and work that is duplicated when the zone returns.
#[tokio::test(flavor = "multi_thread")]
async fn gangs_of_a_lost_zone_run_elsewhere_after_lease_expiry() {
    let mut site = ProcessSite::start("lost-zone", SIZE)
        .await
        .expect("site starts");
    // The other zone is closed, so that a gang of each kind runs in the zone that will be lost.
    let operator = Operator::new(site.store.address(), "lead");
    let closing = operator.close_zone("closing", "az-2").await;
    wait_until_in_effect(&site, closing.expect("accepted").revision).await;
    let ids = ["job-0", "job-1"];
    for id in ids {
        let mut body = gang_body(id, 2, "work_ms=45000");
        body["accelerators_per_task"] = json!(2);
        body["idempotent"] = json!(id == "job-0");
        assert_eq!(site.submit_job(0, &body).await.status, 202);
        let started = || AttemptLog::read(&site.executors).start_count(id) == 2;
        wait_until(START_BOUND, "the gang runs", started).await;
    }
    let reopened = operator.reopen_zone("reopening", "closing").await;
    wait_until_in_effect(&site, reopened.expect("accepted").revision).await;
    let (lost, zone) = (0, "az-1");
    let decider = site.decider(zone).await.expect("it has a decider");
    for index in (0..SIZE.targets).filter(|index| index % SIZE.zones == lost) {
        site.agents[index].signal(Signal::Kill).expect("it runs");
    }
    site.entries[decider].signal(Signal::Kill).expect("it runs");
    let relocated = || {
        let zones = started_zones(&site, "job-0");
        zones.iter().any(|zone| *zone != lost)
    };
    wait_until(
        RELOCATION_BOUND,
        "the idempotent gang runs elsewhere",
        relocated,
    )
    .await;
    let surviving_entry = (0..SIZE.entries).find(|index| *index != decider);
    let surviving_entry = surviving_entry.expect("another entry");
    for index in (0..SIZE.targets).filter(|index| index % SIZE.zones == lost) {
        site.agents[index] = site.start_agent(index).expect("a new agent starts");
    }
    for id in ids {
        let answer = site
            .wait_for_job(surviving_entry, id, Duration::from_secs(70))
            .await;
        if id == "job-0" {
            assert_eq!(answer["answers"].as_array().map(Vec::len), Some(2));
        } else {
            assert_eq!(answer["error"]["verdict"], json!("may_have_run"));
        }
        let log = AttemptLog::read(&site.executors);
        log.check(id, 2, Duration::ZERO);
        assert_eq!(log.attempts(id).len(), 1 + usize::from(id == "job-0"));
    }
    site.assert_no_faults();
}
