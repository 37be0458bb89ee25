//! Tests of the path of a plain request over real connections: caller, entry, agent, executor.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use rattanwinch_standins::StandinExecutor;
use serde_json::Value;
use serde_json::json;

/// The time limit for targets to register and for entries to connect to them.
const READY_BOUND: Duration = Duration::from_secs(5);

fn deadline_unix_ms(span: Duration) -> u128 {
    (UNIX_EPOCH.elapsed().expect("the clock is past 1970") + span).as_millis()
}

async fn post(site: &Site, body: &Value) -> (u16, Value) {
    let url = site.url(0, "/v1/requests");
    let response = reqwest::Client::new()
        .post(url)
        .json(body)
        .send()
        .await
        .expect("entry answers");
    let status = response.status().as_u16();
    (status, response.json().await.expect("the body is JSON"))
}

async fn small_site() -> Site {
    let size = SiteSize {
        zones: 2,
        targets: 3,
        slots: 2,
        entries: 2,
    };
    let site = Site::start(size).await.expect("site starts");
    site.wait_until_ready(READY_BOUND)
        .await
        .expect("targets connect");
    site
}

/// Guards against answers that are returned to the wrong caller.
#[tokio::test(flavor = "multi_thread")]
async fn each_caller_gets_the_answer_to_its_own_request() {
    let site = small_site().await;
    let deadline = deadline_unix_ms(Duration::from_secs(10));
    let calls = (0..24).map(|n| {
        let body = json!({"organisation": "letrafa", "id": format!("check-{n}"),
            "deadline_unix_ms": deadline, "payload": format!("work_ms={}", 30 - n)});
        let site = &site;
        async move { (n, post(site, &body).await) }
    });
    for (n, (status, body)) in futures::future::join_all(calls).await {
        assert_eq!(status, 200, "{body}");
        let expected = format!("done letrafa/check-{n}#1: work_ms={}", 30 - n);
        assert_eq!(body["answer"], json!(expected));
    }
}

/// Guards against an invalid body that runs, or that is rejected without a verdict.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_bodies_are_rejected_as_not_run() {
    let site = small_site().await;
    let deadline = deadline_unix_ms(Duration::from_secs(10));
    let started: u64 = site.executors.iter().map(StandinExecutor::started).sum();
    let bodies = [
        json!({"organisation": "a/b", "id": "1", "deadline_unix_ms": deadline, "payload": ""}),
        json!({"organisation": "letrafa", "id": "", "deadline_unix_ms": deadline, "payload": ""}),
        json!({"organisation": "letrafa", "id": "1", "deadline_unix_ms": 5, "payload": ""}),
        json!({"organisation": "letrafa", "id": "1", "deadline_unix_ms": deadline, "payload": "", "x": 1}),
        json!({"organisation": "letrafa", "id": "1", "payload": ""}),
        json!({"organisation": "letrafa", "id": "1", "deadline_unix_ms": deadline,
            "payload": "x".repeat(300_000)}),
        json!({"organisation": "letrafa", "id": "1", "deadline_unix_ms": deadline,
            "payload": "x".repeat(2_000_000)}),
    ];
    for body in bodies {
        let (status, answer) = post(&site, &body).await;
        assert!((400..=504).contains(&status), "{status} {answer}");
        assert_eq!(answer["error"]["verdict"], json!("not_run"), "{answer}");
    }
    let after: u64 = site.executors.iter().map(StandinExecutor::started).sum();
    assert_eq!(started, after, "a rejected request ran");
}
