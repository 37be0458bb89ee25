//! Tests that a decider renews task leases only while the store or another entry confirms its role.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreMode;

const SIZE: SiteSize = SiteSize {
    zones: 1,
    targets: 2,
    slots: 2,
    entries: 2,
};

/// The time limit for a job that fits to start.
const START_BOUND: Duration = Duration::from_secs(5);

/// The time limit for an isolated gang to end: the decider renews for 3 s after its last
/// confirmation, the task lease lasts 30 s, and the executor records the end within 1 s.
const LEASE_END_BOUND: Duration = Duration::from_secs(34);

async fn running_gang(name: &str) -> ProcessSite {
    let site = ProcessSite::start(name, SIZE).await.expect("site starts");
    let accepted = site
        .submit_job(0, &gang_body("gang", 2, "work_ms=120000"))
        .await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    let started = || AttemptLog::read(&site.executors).start_count("gang") == 2;
    wait_until(START_BOUND * 4, "the gang runs", started).await;
    site
}

fn ended_runs(site: &ProcessSite) -> usize {
    let attempts = AttemptLog::read(&site.executors).attempts("gang");
    let runs = attempts.values().flatten();
    runs.filter(|run| run.ended_at.is_some()).count()
}

/// Guards against a decider that keeps a gang alive without confirmation that it was not replaced,
/// and against gangs that end because of a store outage while the entries are healthy.
#[tokio::test(flavor = "multi_thread")]
async fn a_decider_renews_leases_only_while_it_is_confirmed() {
    let (isolated, confirmed) =
        tokio::join!(running_gang("isolated"), running_gang("confirmed-by-peer"));
    confirmed.store.set_faults(StoreFaults {
        mode: StoreMode::Refuse,
        ..StoreFaults::default()
    });
    let decider = isolated.decider("az-1").await.expect("one entry decides");
    isolated.store.set_faults(StoreFaults {
        cut_off: [format!("entry-{}", decider + 1)].into(),
        ..StoreFaults::default()
    });
    isolated.entries[1 - decider]
        .signal(Signal::Kill)
        .expect("it runs");
    let isolated_at = Instant::now();
    wait_until(LEASE_END_BOUND, "the isolated gang ended", || {
        ended_runs(&isolated) == 2
    })
    .await;
    println!("the isolated gang ended after {:?}", isolated_at.elapsed());
    assert_eq!(ended_runs(&confirmed), 0, "the store's outage ended a gang");
    isolated.store.set_faults(StoreFaults::default());
    let retried = || AttemptLog::read(&isolated.executors).start_count("gang") == 4;
    wait_until(START_BOUND, "the next attempt runs", retried).await;
    for site in [&isolated, &confirmed] {
        AttemptLog::read(&site.executors).check("gang", 2, Duration::ZERO);
        site.assert_no_faults();
    }
}
