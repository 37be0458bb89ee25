//! Tests that nothing starts in a closed availability zone, also under failures.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::Blackhole;
use rattanwinch_demo::testing::LoadGenerator;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::close_zone_at;
use rattanwinch_demo::testing::deadline_unix_ms;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreMode;
use serde_json::json;

/// Two zones; targets 0 and 2 and `entry-1` are in `az-1`.
const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 4,
    entries: 2,
};

/// The time limit for the last start in a zone after its closing was acknowledged.
const CLOSED_BOUND: Duration = Duration::from_secs(5);

/// How long starts are observed; longer than the bound, so that late ones are detected.
const OBSERVATION_TIME: Duration = Duration::from_secs(7);

/// The time limit for work to start in a zone after it was reopened.
const REOPEN_BOUND: Duration = Duration::from_secs(5);

/// The number of non-idempotent requests; it exceeds the slots of all targets, so that some wait in
/// the queue of the suspended agent.
const ORDERS: usize = 40;

/// The polling interval for starts.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counts the plain requests and the gang tasks that were started in `az-1`.
fn start_counts(site: &ProcessSite) -> (u64, usize) {
    let of_zone = site.executors.iter().step_by(SIZE.zones);
    of_zone.fold((0, 0), |(plain, tasks), executor| {
        let more = executor.task_starts().len();
        (plain + executor.started(), tasks + more)
    })
}

/// Observes starts for `OBSERVATION_TIME` and returns the times from `since` to the last start of
/// a plain request and of a gang task in `az-1`.
async fn last_starts(site: &ProcessSite, since: Instant) -> (Duration, Duration) {
    let mut known = start_counts(site);
    let mut last = (Duration::ZERO, Duration::ZERO);
    let deadline = Instant::now() + OBSERVATION_TIME;
    while Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        let now = start_counts(site);
        if now.0 != known.0 {
            last.0 = since.elapsed();
        }
        if now.1 != known.1 {
            last.1 = since.elapsed();
        }
        known = now;
    }
    last
}

struct LoadedSite {
    site: ProcessSite,
    operator: Operator,
    loads: Vec<LoadGenerator>,
}

/// Starts a site under load, with plain requests and gang tasks that start in `az-1`.
async fn start_loaded_site(name: &str) -> LoadedSite {
    let site = ProcessSite::start_with_proxies(name, SIZE).await;
    let site = site.expect("site starts");
    let operator = Operator::new(site.store.address(), "operator");
    let mut loads = Vec::new();
    for entry in 0..SIZE.entries {
        let plain = site.url(entry, "/v1/requests");
        loads.push(LoadGenerator::plain(&plain, &format!("plain-{entry}"), 4));
        let jobs = site.url(entry, "/v1/jobs");
        loads.push(LoadGenerator::jobs(&jobs, &format!("job-{entry}"), 2));
    }
    let is_loaded = || start_counts(&site).0 > 10 && start_counts(&site).1 > 2;
    wait_until(Duration::from_secs(20), "work starts in az-1", is_loaded).await;
    LoadedSite {
        site,
        operator,
        loads,
    }
}

impl LoadedSite {
    /// Closes `az-1` and returns the time of the acknowledgement.
    async fn close(&self) -> Instant {
        let closed = self.operator.close_zone("closing", "az-1").await;
        closed.expect("the closing is accepted");
        Instant::now()
    }

    async fn assert_closed(&self, case: &str, since: Instant) {
        let (plain, tasks) = last_starts(&self.site, since).await;
        println!(
            "{case}: last plain request {plain:?}, last gang task {tasks:?} after the closing"
        );
        assert!(
            plain <= CLOSED_BOUND,
            "{case}: a plain request started after {plain:?}"
        );
        assert!(
            tasks <= CLOSED_BOUND,
            "{case}: a gang task started after {tasks:?}"
        );
    }

    async fn assert_reopens(&self, case: &str) {
        let reopened = self.operator.reopen_zone("reopening", "closing").await;
        reopened.expect("the reopening is accepted");
        let (since, before) = (Instant::now(), start_counts(&self.site));
        let plain_returned = || start_counts(&self.site).0 > before.0;
        wait_until(REOPEN_BOUND, "plain requests return", plain_returned).await;
        let plain = since.elapsed();
        let tasks_returned = || start_counts(&self.site).1 > before.1;
        let left = REOPEN_BOUND.saturating_sub(plain);
        wait_until(left, "gang tasks return", tasks_returned).await;
        println!(
            "{case}: plain requests returned {plain:?}, gang tasks {:?} after the reopening",
            since.elapsed()
        );
    }
}

/// Guards against starts in a closed zone, and against a zone without work after it was reopened.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_zone_starts_nothing_until_it_is_reopened() {
    let loaded_site = start_loaded_site("closing").await;
    let since = loaded_site.close().await;
    loaded_site.assert_closed("undisturbed", since).await;
    loaded_site.assert_reopens("undisturbed").await;
    for load in loaded_site.loads {
        for (id, answer) in load.stop().await {
            assert!(
                answer.status == 200 || answer.status == 202,
                "{id}: {answer:?}"
            );
        }
    }
}

/// Guards against an agent that is suspended during the closing and, after it resumes, starts work
/// from its sockets or its queue based on its stale configuration.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_agent_starts_nothing_in_a_closed_zone() {
    let loaded_site = start_loaded_site("closing-frozen").await;
    let frozen = &loaded_site.site.agents[0];
    let queued = (0..ORDERS).map(|n| {
        let mut order = plain_body(&format!("order-{n}"), "work_ms=1000", false);
        order["deadline_unix_ms"] = json!(deadline_unix_ms(Duration::from_secs(60)));
        tokio::spawn(post(loaded_site.site.url(n % 2, "/v1/requests"), order))
    });
    let queued: Vec<_> = queued.collect();
    let any_order_ran = || {
        let mut runs = loaded_site
            .site
            .executors
            .iter()
            .flat_map(StandinExecutor::runs);
        runs.any(|run| run.starts_with("letrafa/order-"))
    };
    wait_until(Duration::from_secs(5), "orders run", any_order_ran).await;
    frozen.signal(Signal::Stop).expect("the agent runs");
    let since = loaded_site.close().await;
    loaded_site
        .assert_closed("one agent suspended", since)
        .await;
    frozen.signal(Signal::Continue).expect("the agent exists");
    loaded_site.assert_closed("agent resumed", since).await;
    loaded_site.assert_reopens("agent resumed").await;
    for order in queued {
        let answer = order.await.expect("the call doesn't panic");
        assert!(
            answer.status == 200 || answer.verdict() == "not_run",
            "{answer:?}"
        );
    }
}

/// Guards against a closing that is delayed by slow control reads of the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_closes_in_time_while_the_store_is_slow() {
    let loaded_site = start_loaded_site("closing-slow").await;
    let slow = StoreFaults {
        delay_ms: 800,
        ..StoreFaults::default()
    };
    loaded_site.site.store.set_faults(slow);
    let since = loaded_site.close().await;
    loaded_site.assert_closed("store slow", since).await;
    loaded_site.site.store.set_faults(StoreFaults::default());
    loaded_site.assert_reopens("store slow").await;
}

/// Guards against an entry that cannot read the store and continues to send work to a closed zone,
/// or that fails requests because every target there rejects them.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_the_store_receives_a_closing_from_other_entries() {
    let loaded_site = start_loaded_site("closing-cut-off").await;
    let cut_off = StoreFaults {
        cut_off: ["entry-1".to_owned()].into(),
        ..StoreFaults::default()
    };
    loaded_site.site.store.set_faults(cut_off);
    let since = loaded_site.close().await;
    loaded_site.assert_closed("entry cut off", since).await;
    let answers = loaded_site.loads[0].answers_since(since + CLOSED_BOUND);
    let failed = answers.iter().filter(|answer| answer.status != 200);
    let failed: Vec<_> = failed.take(3).collect();
    assert!(
        !answers.is_empty() && failed.is_empty(),
        "{failed:?} of {}",
        answers.len()
    );
    loaded_site.site.store.set_faults(StoreFaults::default());
    loaded_site.assert_reopens("entry cut off").await;
}

/// Guards against an acknowledged closing that takes effect only where the store can be read: store
/// calls take longer than a configuration counts as fresh, or the store becomes unreachable.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_closing_needs_no_further_read_of_the_store() {
    let slow = |delay_ms| StoreFaults {
        delay_ms,
        ..StoreFaults::default()
    };
    let cut_off = StoreFaults {
        cut_off: ["entry-1".to_owned()].into(),
        ..slow(2000)
    };
    let down = StoreFaults {
        mode: StoreMode::Hang,
        ..StoreFaults::default()
    };
    let cases = [
        ("2 s a call, entry cut off", cut_off.clone(), cut_off),
        ("1.2 s a call, then down", slow(1200), down),
    ];
    for (number, (case, before, after)) in cases.into_iter().enumerate() {
        let loaded_site = start_loaded_site(&format!("closing-no-read-{number}")).await;
        let revision = loaded_site.operator.revision().await.expect("a revision");
        loaded_site.site.store.set_faults(before);
        let url = loaded_site.site.url(1, "/v1/config/changes");
        let answer = close_zone_at(url, "closing", "az-1", revision).await;
        let (answer, since) = (answer.expect("valid names"), Instant::now());
        loaded_site.site.store.set_faults(after);
        assert_eq!(answer.status, 200, "{case}: {answer:?}");
        loaded_site.assert_closed(case, since).await;
        for load in [&loaded_site.loads[0], &loaded_site.loads[2]] {
            let answers = load.answers_since(since + CLOSED_BOUND);
            let failed = answers.iter().filter(|answer| answer.status != 200);
            let failed: Vec<_> = failed.take(3).collect();
            assert!(
                !answers.is_empty() && failed.is_empty(),
                "{case}: {failed:?}"
            );
        }
    }
}

/// Guards against an entry that acknowledges a closing but applies it only after a read of the
/// store: no entry can read the store after the acknowledgement.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_closing_is_propagated_without_the_store() {
    let loaded_site = start_loaded_site("closing-handed-on").await;
    let revision = loaded_site.operator.revision().await.expect("a revision");
    // Reads sent before the acknowledgement are answered after it, and are then dropped.
    loaded_site.site.store.set_faults(StoreFaults {
        delay_ms: 900,
        ..StoreFaults::default()
    });
    let url = loaded_site.site.url(1, "/v1/config/changes");
    let answer = close_zone_at(url, "closing", "az-1", revision).await;
    let proxies = loaded_site
        .site
        .proxies
        .as_ref()
        .expect("started with relays");
    for store in &proxies.stores {
        store.blackhole_new(Blackhole::BOTH);
        store.blackhole(Blackhole::BOTH);
    }
    let (answer, since) = (answer.expect("valid names"), Instant::now());
    assert_eq!(answer.status, 200, "{answer:?}");
    loaded_site.assert_closed("store gone", since).await;
}
