//! Tests that an accepted configuration takes effect at every entry and agent and never reverts.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_decisions::ConfigChange;
use rattanwinch_decisions::DefaultKey;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::read_metric;
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

/// The time limit for an accepted change to take effect at every entry and agent.
const IN_EFFECT_BOUND: Duration = Duration::from_secs(5);

/// The polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn revision(site: &ProcessSite, entry: usize, name: &str) -> i64 {
    let value = read_metric(site.url(entry, "/metrics"), name).await;
    value.unwrap_or(0.0) as i64
}

/// Waits until every entry, and every agent according to its heartbeats, uses the revision
/// `expected`.
async fn wait_until_in_effect(site: &ProcessSite, expected: Revision, what: &str) {
    let since = Instant::now();
    for entry in 0..site.entries.len() {
        for name in ["config_revision", "targets_config_revision_lowest"] {
            while revision(site, entry, name).await < expected.0 {
                assert!(
                    since.elapsed() < IN_EFFECT_BOUND,
                    "{what}: {name} of entry {entry}"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            assert_eq!(
                revision(site, entry, name).await,
                expected.0,
                "{what}: {name}"
            );
        }
    }
    println!("{what}: in effect everywhere after {:?}", since.elapsed());
}

fn set_plain_when_stale(millis: u64) -> ConfigChange {
    ConfigChange::SetDefault {
        key: DefaultKey::PlainWhenStaleMs,
        value: millis,
    }
}

/// Guards against two accepted changes with the same base revision, a change that is applied twice
/// after a lost response, and an entry with a stale configuration after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_takes_effect_everywhere() {
    let mut site = ProcessSite::start("config-in-force", SIZE)
        .await
        .expect("site starts");
    let operators = ["ada", "ben", "cleo"].map(|name| Operator::new(site.store.address(), name));
    let base = operators[0].revision().await.expect("the store answers");
    let racing = operators.iter().enumerate().map(|(n, operator)| {
        let change = set_plain_when_stale(1_000_000 + n as u64);
        async move { operator.apply(&format!("race-{n}"), base, change).await }
    });
    let accepted: Vec<_> = futures::future::join_all(racing).await;
    let accepted: Vec<_> = accepted.into_iter().filter_map(Result::ok).collect();
    assert_eq!(accepted.len(), 1, "one of the racing changes is accepted");
    wait_until_in_effect(&site, accepted[0].revision, "racing operators").await;

    site.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let base = accepted[0].revision;
    // The lost response may be recovered by a read-back or not; the retry shows the outcome.
    let _ = operators[1]
        .apply("lost-answer", base, set_plain_when_stale(2_000_000))
        .await;
    site.store.set_faults(StoreFaults::default());
    let retried = operators[1]
        .apply("lost-answer", base, set_plain_when_stale(2_000_000))
        .await;
    let retried = retried.expect("the retry finds the change");
    assert!(retried.repeated && retried.revision > base, "{retried:?}");
    assert_eq!(
        operators[0].revision().await.expect("read"),
        retried.revision
    );
    wait_until_in_effect(&site, retried.revision, "lost answer").await;

    site.entries[0]
        .signal(Signal::Kill)
        .expect("the entry runs");
    let entry = site.start_entry(0).expect("the entry starts again");
    site.entries[0] = entry;
    site.wait_until_ready().await.expect("the entry is ready");
    wait_until_in_effect(&site, retried.revision, "restarted entry").await;
    let next = operators[2]
        .apply("next", retried.revision, set_plain_when_stale(3_000_000))
        .await;
    let next = next.expect("accepted");
    wait_until_in_effect(&site, next.revision, "change after the restart").await;
}

fn task_start_count(site: &ProcessSite) -> usize {
    let tasks = site.executors.iter().map(StandinExecutor::task_starts);
    tasks.map(|task_start_count| task_start_count.len()).sum()
}

/// Guards against a store restored to an older state that reopens a closed zone or lets gangs
/// start, also through a restarted entry that can detect the regression only from other entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_regressed_store_starts_no_work() {
    let mut site = ProcessSite::start("config-restored", SIZE)
        .await
        .expect("site starts");
    let operator = Operator::new(site.store.address(), "operator");
    let snapshot = site.store.snapshot();
    let closed = operator
        .close_zone("closing", "az-1")
        .await
        .expect("accepted");
    wait_until_in_effect(&site, closed.revision, "closing").await;
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
                since.elapsed() < IN_EFFECT_BOUND,
                "entry {entry} did not detect the regression"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    println!(
        "restored store: detected everywhere after {:?}",
        since.elapsed()
    );
    let starts_in_closed_zone = |site: &ProcessSite| -> u64 {
        let of_zone = site.executors.iter().step_by(SIZE.zones);
        of_zone.map(StandinExecutor::started).sum()
    };
    let before = (task_start_count(&site), starts_in_closed_zone(&site));
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
    assert_eq!(
        (task_start_count(&site), starts_in_closed_zone(&site)),
        before,
        "work started"
    );
    for entry in 0..SIZE.entries {
        let lowest = revision(&site, entry, "targets_config_revision_lowest").await;
        assert!(
            lowest >= closed.revision.0,
            "an agent reverted to revision {lowest}"
        );
    }
}
