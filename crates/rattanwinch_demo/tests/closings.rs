//! Closed availability zones: nothing starts there, whatever else fails at the time.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::Load;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::Silence;
use rattanwinch_demo::testing::close_zone_at;
use rattanwinch_demo::testing::deadline_in;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::until;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreMode;
use serde_json::json;

/// Two zones; targets 0 and 2 are in `az-1`, the home of `entry-1`.
const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 4,
    slots: 4,
    entries: 2,
};

/// Nothing starts in a zone later than this after its closing was acknowledged.
const CLOSED_BOUND: Duration = Duration::from_secs(5);

/// How long starts are looked for, so that late ones are seen.
const WATCH: Duration = Duration::from_secs(7);

/// Work returns to a zone within this time after it was opened again.
const REOPEN_BOUND: Duration = Duration::from_secs(5);

/// Non-idempotent requests that more than fill the slots of all targets, so that some wait in the
/// queue of the agent that is frozen.
const QUEUED_ORDERS: usize = 40;

/// How often starts are counted.
const POLL: Duration = Duration::from_millis(5);

/// The plain requests and the gang tasks that were started in `az-1`.
fn starts(site: &ProcessSite) -> (u64, usize) {
    let of_zone = site.executors.iter().step_by(SIZE.zones);
    of_zone.fold((0, 0), |(plain, tasks), executor| {
        let more = executor.task_starts().len();
        (plain + executor.started(), tasks + more)
    })
}

/// Watches for `WATCH` and returns how long after `since` the last plain request and the last
/// gang task were started in `az-1`.
async fn last_starts(site: &ProcessSite, since: Instant) -> (Duration, Duration) {
    let mut known = starts(site);
    let mut last = (Duration::ZERO, Duration::ZERO);
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        tokio::time::sleep(POLL).await;
        let now = starts(site);
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

struct Closing {
    site: ProcessSite,
    operator: Operator,
    loads: Vec<Load>,
}

/// A site under load, with plain requests and gang tasks that start in `az-1`.
async fn loaded(name: &str) -> Closing {
    let site = ProcessSite::start_relayed(name, SIZE).await;
    let site = site.expect("site starts");
    let operator = Operator::new(site.store.address(), "operator");
    let mut loads = Vec::new();
    for entry in 0..SIZE.entries {
        let plain = site.url(entry, "/v1/requests");
        loads.push(Load::plain(&plain, &format!("plain-{entry}"), 4));
        let jobs = site.url(entry, "/v1/jobs");
        loads.push(Load::jobs(&jobs, &format!("job-{entry}"), 2));
    }
    let busy = || starts(&site).0 > 10 && starts(&site).1 > 2;
    until(Duration::from_secs(20), "work starts in az-1", busy).await;
    Closing {
        site,
        operator,
        loads,
    }
}

impl Closing {
    /// Closes `az-1` and returns when that was acknowledged.
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
        let (since, before) = (Instant::now(), starts(&self.site));
        let returned = || {
            let now = starts(&self.site);
            now.0 > before.0 && now.1 > before.1
        };
        until(REOPEN_BOUND, "work returns", returned).await;
        println!(
            "{case}: work returned {:?} after the reopening",
            since.elapsed()
        );
    }
}

/// Guards against starts in a closed zone, and against a zone that stays closed when it is opened.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_zone_starts_nothing_until_it_is_opened() {
    let closing = loaded("closing").await;
    let since = closing.close().await;
    closing.assert_closed("undisturbed", since).await;
    closing.assert_reopens("undisturbed").await;
    for load in closing.loads {
        for (id, answer) in load.stop().await {
            assert!(
                answer.status == 200 || answer.status == 202,
                "{id}: {answer:?}"
            );
        }
    }
}

/// Guards against an agent that slept through the closing and, when it goes on, starts what
/// waits in its sockets or its queue on the view that it had before.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_was_frozen_starts_nothing_in_a_closed_zone() {
    let closing = loaded("closing-frozen").await;
    let frozen = &closing.site.agents[0];
    let queued = (0..QUEUED_ORDERS).map(|n| {
        let mut order = plain_body(&format!("order-{n}"), "work_ms=1000", false);
        order["deadline_unix_ms"] = json!(deadline_in(Duration::from_secs(60)));
        tokio::spawn(post(closing.site.url(n % 2, "/v1/requests"), order))
    });
    let queued: Vec<_> = queued.collect();
    let ran_any = || {
        let mut runs = closing
            .site
            .executors
            .iter()
            .flat_map(StandinExecutor::runs);
        runs.any(|run| run.starts_with("letrafa/order-"))
    };
    until(Duration::from_secs(5), "orders run", ran_any).await;
    frozen.signal(Signal::Stop).expect("the agent runs");
    let since = closing.close().await;
    closing.assert_closed("one agent frozen", since).await;
    frozen.signal(Signal::Continue).expect("the agent exists");
    closing.assert_closed("agent continued", since).await;
    closing.assert_reopens("agent continued").await;
    for order in queued {
        let answer = order.await.expect("the call doesn't panic");
        assert!(
            answer.status == 200 || answer.verdict() == "not_run",
            "{answer:?}"
        );
    }
}

/// Guards against a closing that waits for control reads which the slow store makes late.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_closes_in_time_while_the_store_is_slow() {
    let closing = loaded("closing-slow").await;
    let slow = StoreFaults {
        delay_ms: 800,
        ..StoreFaults::default()
    };
    closing.site.store.set_faults(slow);
    let since = closing.close().await;
    closing.assert_closed("store slow", since).await;
    closing.site.store.set_faults(StoreFaults::default());
    closing.assert_reopens("store slow").await;
}

/// Guards against an entry that can't read the store and goes on sending work to a closed zone,
/// or fails its callers because every target there refuses.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_the_store_learns_of_a_closing_from_the_others() {
    let closing = loaded("closing-cut-off").await;
    let cut_off = StoreFaults {
        cut_off: ["entry-1".to_owned()].into(),
        ..StoreFaults::default()
    };
    closing.site.store.set_faults(cut_off);
    let since = closing.close().await;
    closing.assert_closed("entry cut off", since).await;
    let answers = closing.loads[0].answers_since(since + CLOSED_BOUND);
    let failed = answers.iter().filter(|answer| answer.status != 200);
    let failed: Vec<_> = failed.take(3).collect();
    assert!(
        !answers.is_empty() && failed.is_empty(),
        "{failed:?} of {}",
        answers.len()
    );
    closing.site.store.set_faults(StoreFaults::default());
    closing.assert_reopens("entry cut off").await;
}

/// Guards against a closing that an entry acknowledges and that is in force only where the store
/// can be read: its calls take longer than a view stays fresh, or it can't be reached any more.
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
        let closing = loaded(&format!("closing-no-read-{number}")).await;
        let revision = closing.operator.revision().await.expect("a revision");
        closing.site.store.set_faults(before);
        let url = closing.site.url(1, "/v1/config/changes");
        let answer = close_zone_at(url, "closing", "az-1", revision).await;
        let (answer, since) = (answer.expect("valid names"), Instant::now());
        closing.site.store.set_faults(after);
        assert_eq!(answer.status, 200, "{case}: {answer:?}");
        closing.assert_closed(case, since).await;
        for load in [&closing.loads[0], &closing.loads[2]] {
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

/// Guards against an entry that acknowledges a closing and waits for a read of the store to act on
/// it: nobody can read the store from the acknowledgement on.
#[tokio::test(flavor = "multi_thread")]
async fn an_acknowledged_closing_is_handed_on_without_the_store() {
    let closing = loaded("closing-handed-on").await;
    let revision = closing.operator.revision().await.expect("a revision");
    // Reads that are sent before the acknowledgement are answered after it, and then get lost.
    closing.site.store.set_faults(StoreFaults {
        delay_ms: 900,
        ..StoreFaults::default()
    });
    let url = closing.site.url(1, "/v1/config/changes");
    let answer = close_zone_at(url, "closing", "az-1", revision).await;
    let relays = closing.site.relays.as_ref().expect("started with relays");
    for store in &relays.stores {
        store.set_new(Silence::BOTH);
        store.silence(Silence::BOTH);
    }
    let (answer, since) = (answer.expect("valid names"), Instant::now());
    assert_eq!(answer.status, 200, "{answer:?}");
    closing.assert_closed("store gone", since).await;
}
