//! Tests of non-idempotent requests over real connections and under failures.

use std::time::Duration;

use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::HttpAnswer;
use rattanwinch_demo::testing::count_runs;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_standins::StoreFaults;
use serde_json::Value;
use serde_json::json;

async fn small_site() -> Site {
    let size = SiteSize {
        zones: 2,
        targets: 3,
        slots: 8,
        entries: 2,
    };
    let site = Site::start(size).await.expect("site starts");
    site.wait_until_ready(Duration::from_secs(5))
        .await
        .expect("targets connect");
    site
}

async fn post_plain(site: &Site, entry: usize, body: &Value) -> HttpAnswer {
    post(site.url(entry, "/v1/requests"), body.clone()).await
}

/// Guards against a retry at another entry that runs the request again.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_at_another_entry_gets_the_first_answer() {
    let site = small_site().await;
    let body = plain_body("order-1", "work_ms=5", false);
    let first = post_plain(&site, 0, &body).await;
    assert_eq!(first.status, 200, "{first:?}");
    let second = post_plain(&site, 1, &body).await;
    assert_eq!(second.status, 200, "{second:?}");
    assert_eq!(first.body["answer"], second.body["answer"]);
    assert_eq!(count_runs(&site.executors, "letrafa/order-1"), 1);
}

/// Guards against a duplicate that runs or fails while the first request still runs.
#[tokio::test(flavor = "multi_thread")]
async fn duplicates_join_the_running_request() {
    let site = small_site().await;
    let body = plain_body("order-2", "work_ms=300", false);
    let calls = (0..8).map(|n| post_plain(&site, n % 2, &body));
    let answers = futures::future::join_all(calls).await;
    for answer in &answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body["answer"], answers[0].body["answer"]);
    }
    assert_eq!(count_runs(&site.executors, "letrafa/order-2"), 1);
}

/// Guards against a different body with a used id that runs or gets the first request's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_reused_id_with_another_body_is_rejected() {
    let site = small_site().await;
    let first = plain_body("order-3", "work_ms=1", false);
    assert_eq!(post_plain(&site, 0, &first).await.status, 200);
    let mut other = first.clone();
    other["payload"] = json!("work_ms=2");
    let refusal = post_plain(&site, 1, &other).await;
    assert_eq!(refusal.status, 409, "{refusal:?}");
    assert_eq!(refusal.verdict(), "not_run");
    assert_eq!(count_runs(&site.executors, "letrafa/order-3"), 1);
}

/// Guards against a claim that is written again, and a request that is sent twice, after the
/// response to the claim was lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_store_response_causes_no_second_run() {
    let site = small_site().await;
    for n in 0..10 {
        site.store.set_faults(StoreFaults {
            lose_answers: 1,
            ..StoreFaults::default()
        });
        let id = format!("order-4-{n}");
        let body = plain_body(&id, "work_ms=1", false);
        let first = post_plain(&site, 0, &body).await;
        let runs = count_runs(&site.executors, &format!("letrafa/{id}"));
        assert!(runs <= 1, "{first:?}");
        if first.verdict() == "not_run" {
            assert_eq!(runs, 0, "{first:?}");
        }
        site.store.set_faults(StoreFaults::default());
        let second = post_plain(&site, 1, &body).await;
        assert_eq!(second.status, 200, "{second:?}");
        assert_eq!(count_runs(&site.executors, &format!("letrafa/{id}")), 1);
    }
}

/// Guards against non-idempotent requests that run without a claim while the store is down, and
/// against idempotent requests that fail then.
#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_only_idempotent_requests_run() {
    let site = small_site().await;
    site.store.stop().await;
    let mut order = plain_body("order-5", "", false);
    order["first_submission"] = json!(true);
    let refusal = post_plain(&site, 0, &order).await;
    assert_eq!(refusal.status, 503, "{refusal:?}");
    assert_eq!(refusal.verdict(), "not_run");
    assert_eq!(count_runs(&site.executors, "letrafa/order-5"), 0);
    let answer = post_plain(&site, 0, &plain_body("check-5", "", true)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}
