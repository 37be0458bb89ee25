//! Tests of plain requests while entries and agents are killed, suspended and replaced.

use std::time::Duration;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::count_runs;
use rattanwinch_demo::testing::deadline_unix_ms;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_standins::StandinExecutor;
use serde_json::json;

const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 2,
    slots: 4,
    entries: 2,
};

/// The time limit for a request to reach its executor.
const SENT_BOUND: Duration = Duration::from_secs(5);

async fn site(name: &str) -> ProcessSite {
    ProcessSite::start(name, SIZE).await.expect("site starts")
}

fn executor_with_run(executors: &[StandinExecutor], run: &str) -> usize {
    let ran = |executor: &StandinExecutor| executor.runs().iter().any(|ran| ran.starts_with(run));
    executors
        .iter()
        .position(ran)
        .expect("the request was started")
}

/// Guards against a second run, and against an incorrect "not run", when the agent that has the
/// request is killed before it answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_leaves_the_request_as_may_have_run() {
    let site = site("killed-agent").await;
    let mut body = plain_body("order-1", "work_ms=60000", false);
    body["deadline_unix_ms"] = json!(deadline_unix_ms(Duration::from_secs(6)));
    let call = tokio::spawn(post(site.url(0, "/v1/requests"), body.clone()));
    let ran = || count_runs(&site.executors, "letrafa/order-1") == 1;
    wait_until(SENT_BOUND, "the request started", ran).await;
    let index = executor_with_run(&site.executors, "letrafa/order-1");
    site.agents[index]
        .signal(Signal::Kill)
        .expect("the agent runs");
    let _new_agent = site.start_agent(index).expect("a new agent starts");
    let answer = call.await.expect("the call doesn't panic");
    assert_eq!(answer.verdict(), "may_have_run", "{answer:?}");
    let retry = post(site.url(1, "/v1/requests"), body).await;
    assert_eq!(retry.verdict(), "may_have_run", "{retry:?}");
    assert_eq!(count_runs(&site.executors, "letrafa/order-1"), 1);
}

/// Guards against a second run, and a lost answer, when the entry is killed while the request runs.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_killed_entry_a_retry_elsewhere_gets_the_answer() {
    let site = site("killed-entry").await;
    let body = plain_body("order-2", "work_ms=1500", false);
    let call = tokio::spawn(post(site.url(0, "/v1/requests"), body.clone()));
    let ran = || count_runs(&site.executors, "letrafa/order-2") == 1;
    wait_until(SENT_BOUND, "the request started", ran).await;
    site.entries[0]
        .signal(Signal::Kill)
        .expect("the entry runs");
    let lost = call.await.expect("the call doesn't panic");
    assert_eq!(lost.status, 0, "{lost:?}");
    let retry = post(site.url(1, "/v1/requests"), body).await;
    assert_eq!(retry.status, 200, "{retry:?}");
    assert_eq!(count_runs(&site.executors, "letrafa/order-2"), 1);
}

/// Guards against requests that hang at a suspended agent while others are available.
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_requests_are_retried_away_from_a_suspended_agent() {
    let site = site("frozen-agent").await;
    site.agents[0].signal(Signal::Stop).expect("the agent runs");
    for n in 0..20 {
        let mut body = plain_body(&format!("check-{n}"), "work_ms=1", true);
        body["deadline_unix_ms"] = json!(deadline_unix_ms(Duration::from_secs(8)));
        let answer = post(site.url(n % 2, "/v1/requests"), body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    site.agents[0]
        .signal(Signal::Continue)
        .expect("the agent exists");
}

/// Guards against a graceful shutdown that aborts requests.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdowns_abort_no_request() {
    let mut site = site("planned-stops").await;
    let calls: Vec<_> = (0..24)
        .map(|n| {
            let body = plain_body(&format!("check-{n}"), "work_ms=400", n % 2 == 0);
            tokio::spawn(post(site.url(0, "/v1/requests"), body))
        })
        .collect();
    let started = || {
        site.executors
            .iter()
            .map(StandinExecutor::started)
            .sum::<u64>()
            >= 8
    };
    wait_until(SENT_BOUND, "requests started", started).await;
    site.entries[0]
        .signal(Signal::Terminate)
        .expect("the entry runs");
    site.agents[0]
        .signal(Signal::Terminate)
        .expect("the agent runs");
    for call in calls {
        let answer = call.await.expect("the call doesn't panic");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let entry = &mut site.entries[0];
    wait_until(Duration::from_secs(20), "the entry ended", || {
        matches!(entry.exit_success(), Ok(Some(true)))
    })
    .await;
}
