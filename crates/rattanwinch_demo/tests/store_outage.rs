//! A store that is away for some seconds, and its return.

use std::time::Duration;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::Load;
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

/// The store's outage.
const OUTAGE: Duration = Duration::from_secs(4);

/// Non-idempotent requests work within this time after the store is back.
const BACK_BOUND: Duration = Duration::from_secs(5);

/// How long the calls are counted after the store is back.
const COUNTED: Duration = Duration::from_secs(5);

/// The budget of the whole site in any one-second window: a tenth of the store's assumed rates.
const BUDGET: (usize, usize) = (30, 200);

/// Sends orders until one is accepted; the number of those that were refused.
async fn until_accepted(site: &ProcessSite, name: &str) -> usize {
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
    let accepted = tokio::time::timeout(BACK_BOUND, accepted).await;
    accepted.expect("orders are accepted again in time")
}

/// Guards against idempotent requests that stop with the store, non-idempotent ones that run
/// without a claim or are refused with an untrue verdict or for good, and a burst of calls that
/// waited for the store to return.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_refuses_orders_only_while_it_lasts() {
    for (name, mode) in [("refuses", StoreMode::Refuse), ("hangs", StoreMode::Hang)] {
        let site = ProcessSite::start(&format!("outage-{name}"), SIZE)
            .await
            .expect("site starts");
        let checks = [0, 1].map(|entry| {
            Load::plain(
                &site.url(entry, "/v1/requests"),
                &format!("check-{entry}"),
                8,
            )
        });
        let jobs = Load::jobs(&site.url(0, "/v1/jobs"), "job", 4);
        until_accepted(&site, "before").await;
        site.store.set_faults(StoreFaults {
            mode,
            ..StoreFaults::default()
        });
        let (since, mut refused) = (std::time::Instant::now(), Vec::new());
        while since.elapsed() < OUTAGE {
            let orders = (0..20).map(|n| {
                let id = format!("order-{}-{n}", refused.len());
                let mut order = plain_body(&id, "work_ms=1", false);
                order["first_submission"] = json!(true);
                let sent = post(site.url(n % SIZE.entries, "/v1/requests"), order);
                async { (id, sent.await) }
            });
            refused.extend(futures::future::join_all(orders).await);
        }
        site.store.reset_counts();
        site.store.set_faults(StoreFaults::default());
        let back = std::time::Instant::now();
        let refusals = until_accepted(&site, "after").await;
        println!(
            "store {name}: orders work {:?} after its return, {refusals} refused",
            back.elapsed()
        );
        while back.elapsed() < COUNTED {
            until_accepted(&site, &format!("then-{}", back.elapsed().as_millis())).await;
        }
        let counts = site.store.counts();
        println!(
            "store {name}: at most {} writes and {} reads in a second after its return",
            counts.most_writes_per_second, counts.most_reads_per_second
        );
        assert!(counts.most_writes_per_second < BUDGET.0, "{counts:?}");
        assert!(counts.most_reads_per_second < BUDGET.1, "{counts:?}");
        for (id, answer) in refused {
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
            // A record whose write wasn't answered may be in the store, so that a refusal says
            // "may have run"; "not run" has to be true.
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
