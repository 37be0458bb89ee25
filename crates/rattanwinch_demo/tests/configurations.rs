//! An accepted configuration is in force at every entry and agent, and never reverts.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_decisions::ConfigChange;
use rattanwinch_decisions::DefaultKey;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::metric;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StoreFaults;
use rattanwinch_types::Revision;
use serde_json::json;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 4,
    entries: 2,
};

/// A change is in force everywhere within this time after it was accepted.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// How often a process is asked.
const POLL: Duration = Duration::from_millis(20);

async fn revision(site: &ProcessSite, entry: usize, name: &str) -> i64 {
    let value = metric(site.url(entry, "/metrics"), name).await;
    value.unwrap_or(0.0) as i64
}

/// Waits until every entry, and every agent as each entry hears it, acts on `expected`.
async fn until_in_force(site: &ProcessSite, expected: Revision, what: &str) {
    let since = Instant::now();
    for entry in 0..site.entries.len() {
        for name in ["config_revision", "targets_config_revision_lowest"] {
            while revision(site, entry, name).await < expected.0 {
                assert!(
                    since.elapsed() < IN_FORCE_BOUND,
                    "{what}: {name} of entry {entry}"
                );
                tokio::time::sleep(POLL).await;
            }
            assert_eq!(
                revision(site, entry, name).await,
                expected.0,
                "{what}: {name}"
            );
        }
    }
    println!("{what}: in force everywhere after {:?}", since.elapsed());
}

fn stale_for(millis: u64) -> ConfigChange {
    ConfigChange::SetDefault {
        key: DefaultKey::PlainWhenStaleMs,
        value: millis,
    }
}

/// Guards against two changes that are both accepted on one base, a change that is applied twice
/// after its answer was lost, and an entry that has another configuration after its restart.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_in_force_everywhere() {
    let mut site = ProcessSite::start("config-in-force", SIZE)
        .await
        .expect("site starts");
    let operators = ["ada", "ben", "cleo"].map(|name| Operator::new(site.store.address(), name));
    let base = operators[0].revision().await.expect("the store answers");
    let racing = operators.iter().enumerate().map(|(n, operator)| {
        let change = stale_for(1_000_000 + n as u64);
        async move { operator.apply(&format!("race-{n}"), base, change).await }
    });
    let accepted: Vec<_> = futures::future::join_all(racing).await;
    let accepted: Vec<_> = accepted.into_iter().filter_map(Result::ok).collect();
    assert_eq!(accepted.len(), 1, "one of the racing changes is accepted");
    until_in_force(&site, accepted[0].revision, "racing operators").await;

    site.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let base = accepted[0].revision;
    // The answer may be lost to an operator or found again by reading; the retry tells.
    let _ = operators[1]
        .apply("lost-answer", base, stale_for(2_000_000))
        .await;
    site.store.set_faults(StoreFaults::default());
    let retried = operators[1]
        .apply("lost-answer", base, stale_for(2_000_000))
        .await;
    let retried = retried.expect("the retry finds the change");
    assert!(retried.repeated && retried.revision > base, "{retried:?}");
    assert_eq!(
        operators[0].revision().await.expect("read"),
        retried.revision
    );
    until_in_force(&site, retried.revision, "lost answer").await;

    site.entries[0]
        .signal(Signal::Kill)
        .expect("the entry runs");
    let entry = site.start_entry(0).expect("the entry starts again");
    site.entries[0] = entry;
    site.wait_until_ready().await.expect("the entry is ready");
    until_in_force(&site, retried.revision, "restarted entry").await;
    let next = operators[2]
        .apply("next", retried.revision, stale_for(3_000_000))
        .await;
    let next = next.expect("accepted");
    until_in_force(&site, next.revision, "change after the restart").await;
}

fn starts(site: &ProcessSite) -> usize {
    let tasks = site.executors.iter().map(StandinExecutor::task_starts);
    tasks.map(|starts| starts.len()).sum()
}

/// Guards against a restored store that reopens a closed zone or lets gangs start, also by way of
/// an entry that was restarted and learns only from the others that the store has gone back.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_went_back_decides_nothing() {
    let mut site = ProcessSite::start("config-restored", SIZE)
        .await
        .expect("site starts");
    let operator = Operator::new(site.store.address(), "operator");
    let snapshot = site.store.snapshot();
    let closed = operator
        .close_zone("closing", "az-1")
        .await
        .expect("accepted");
    until_in_force(&site, closed.revision, "closing").await;
    assert!(site.store.restore(snapshot));
    site.entries[1]
        .signal(Signal::Kill)
        .expect("the entry runs");
    let entry = site.start_entry(1).expect("the entry starts again");
    site.entries[1] = entry;
    let since = Instant::now();
    for entry in 0..SIZE.entries {
        while revision(&site, entry, "store_regressed").await != 1 {
            assert!(
                since.elapsed() < IN_FORCE_BOUND,
                "entry {entry} didn't notice"
            );
            tokio::time::sleep(POLL).await;
        }
    }
    println!(
        "restored store: noticed everywhere after {:?}",
        since.elapsed()
    );
    let in_closed = |site: &ProcessSite| -> u64 {
        let of_zone = site.executors.iter().step_by(SIZE.zones);
        of_zone.map(StandinExecutor::started).sum()
    };
    let before = (starts(&site), in_closed(&site));
    let calls = (0..20).flat_map(|n| {
        let mut job = plain_body(&format!("job-{n}"), "work_ms=1", true);
        for (field, value) in [
            ("tasks", json!(1)),
            ("accelerators_per_task", json!(1)),
            ("adjacency", json!("zone")),
            ("urgency", json!("normal")),
            ("declared_run_time_ms", json!(100)),
        ] {
            job[field] = value;
        }
        [
            post(site.url(n % 2, "/v1/jobs"), job),
            post(
                site.url(n % 2, "/v1/requests"),
                plain_body(&format!("check-{n}"), "", true),
            ),
        ]
    });
    futures::future::join_all(calls).await;
    assert_eq!((starts(&site), in_closed(&site)), before, "work started");
    for entry in 0..SIZE.entries {
        let lowest = revision(&site, entry, "targets_config_revision_lowest").await;
        assert!(
            lowest >= closed.revision.0,
            "an agent went back to revision {lowest}"
        );
    }
}
