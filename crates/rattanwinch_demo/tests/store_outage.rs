//! Tests of a store outage of some seconds and of the recovery.

use std::time::Duration;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::LoadGenerator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::count_runs;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreMode;
use serde_json::json;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 8,
    entries: 2,
};

/// The duration of the store's outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(4);

/// The time limit for non-idempotent requests to succeed after the outage.
const RECOVERY_BOUND: Duration = Duration::from_secs(5);

/// How long calls are counted after the outage.
const COUNT_DURATION: Duration = Duration::from_secs(5);

/// The limits of writes and reads of the whole site in any one-second window: a tenth of the
/// store's assumed rate limits.
const MAX_WRITES_AND_READS_PER_SECOND: (usize, usize) = (30, 200);

/// Sends non-idempotent requests until one succeeds; returns the number of rejected ones.
async fn send_until_accepted(site: &ProcessSite, name: &str) -> usize {
    let accepted = async {
        for number in 0.. {
            let mut order = plain_body(&format!("{name}-{number}"), "work_ms=1", false);
            order["first_submission"] = json!(true);
            let answer = post(site.url(number % SIZE.entries, "/v1/requests"), order).await;
            if answer.status == 200 {
                return number;
            }
            assert_eq!(answer.verdict(), "not_run", "{answer:?}");
        }
        0
    };
    let accepted = tokio::time::timeout(RECOVERY_BOUND, accepted).await;
    accepted.expect("non-idempotent requests succeed again in time")
}

/// Guards against idempotent requests that fail during a store outage, non-idempotent requests that
/// run without a claim or are rejected with a wrong verdict or after the outage, and a burst of
/// calls when the store returns.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_requests_fail_only_during_a_store_outage() {
    for (name, mode) in [("refuses", StoreMode::Refuse), ("hangs", StoreMode::Hang)] {
        let site = ProcessSite::start(&format!("outage-{name}"), SIZE)
            .await
            .expect("site starts");
        let checks = [0, 1].map(|entry| {
            LoadGenerator::plain(
                &site.url(entry, "/v1/requests"),
                &format!("check-{entry}"),
                8,
            )
        });
        let jobs = LoadGenerator::jobs(&site.url(0, "/v1/jobs"), "job", 4);
        send_until_accepted(&site, "before").await;
        site.store.set_faults(StoreFaults {
            mode,
            ..StoreFaults::default()
        });
        let (since, mut rejected) = (std::time::Instant::now(), Vec::new());
        while since.elapsed() < OUTAGE_DURATION {
            let orders = (0..20).map(|n| {
                let id = format!("order-{}-{n}", rejected.len());
                let mut order = plain_body(&id, "work_ms=1", false);
                order["first_submission"] = json!(true);
                let sent = post(site.url(n % SIZE.entries, "/v1/requests"), order);
                async { (id, sent.await) }
            });
            rejected.extend(futures::future::join_all(orders).await);
        }
        site.store.reset_counts();
        site.store.set_faults(StoreFaults::default());
        let outage_end = std::time::Instant::now();
        let rejections = send_until_accepted(&site, "after").await;
        println!(
            "store {name}: orders succeed {:?} after the outage, {rejections} rejected",
            outage_end.elapsed()
        );
        while outage_end.elapsed() < COUNT_DURATION {
            send_until_accepted(&site, &format!("then-{}", outage_end.elapsed().as_millis())).await;
        }
        let counts = site.store.counts();
        println!(
            "store {name}: at most {} writes and {} reads per second after the outage",
            counts.most_writes_per_second, counts.most_reads_per_second
        );
        assert!(
            counts.most_writes_per_second < MAX_WRITES_AND_READS_PER_SECOND.0,
            "{counts:?}"
        );
        assert!(
            counts.most_reads_per_second < MAX_WRITES_AND_READS_PER_SECOND.1,
            "{counts:?}"
        );
        for (id, answer) in rejected {
            assert_eq!(answer.verdict(), "not_run", "{id}: {answer:?}");
            assert_eq!(
                count_runs(&site.executors, &format!("letrafa/{id}")),
                0,
                "{id}"
            );
        }
        for load in checks {
            for (id, answer) in load.stop().await {
                assert_eq!(answer.status, 200, "{id}: {answer:?}");
            }
        }
        let starts = site.executors.iter().flat_map(StandinExecutor::task_starts);
        let starts: Vec<String> = starts.collect();
        for (id, answer) in jobs.stop().await {
            // A record may be in the store although its write got no response, so an error may say
            // "may have run"; "not run" must be correct.
            let started = starts
                .iter()
                .any(|start| start.starts_with(&format!("letrafa/{id}#")));
            assert!(
                answer.status == 202 || answer.verdict() != "ran",
                "{id}: {answer:?}"
            );
            assert!(
                answer.verdict() != "not_run" || !started,
                "{id} ran: {answer:?}"
            );
        }
    }
}
