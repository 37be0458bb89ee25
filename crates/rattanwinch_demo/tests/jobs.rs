//! Tests of the path of a gang job over real connections: caller, entry, decider, agents,
//! executors.

mod job_calls;

use job_calls::get;
use job_calls::job_body;
use job_calls::site;
use job_calls::submit;
use serde_json::Value;
use serde_json::json;

/// Guards against gangs that start partially, and answers that are missing or in the wrong order.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_runs_and_returns_all_answers() {
    let site = site(1, 1).await;
    let (status, body) = submit(&site, 0, &job_body("ladder-1", 4, "work_ms=100")).await;
    assert_eq!(status, 202, "{body}");
    let body = get(&site, 0, "ladder-1?wait_ms=20000").await;
    let expected = (0..4).map(|task| json!(format!("done letrafa/ladder-1#1.{task}: work_ms=100")));
    assert_eq!(body["answers"], expected.collect::<Value>(), "{body}");
    let reasons = get(&site, 0, "ladder-1/explain").await;
    let text = reasons.to_string();
    assert!(text.contains("finished with the answers"), "{reasons}");
}

/// Guards against a reused id that runs a different job, or that returns another job's answer.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_id_with_another_body_is_rejected() {
    let site = site(2, 1).await;
    let first = job_body("ladder-2", 2, "work_ms=50");
    assert_eq!(submit(&site, 0, &first).await.0, 202);
    assert_eq!(submit(&site, 1, &first).await.0, 202, "a retry is accepted");
    let (status, body) = submit(&site, 1, &job_body("ladder-2", 2, "work_ms=51")).await;
    assert_eq!(status, 409, "{body}");
    assert_eq!(body["error"]["verdict"], json!("not_run"), "{body}");
    let done = get(&site, 1, "ladder-2?wait_ms=20000").await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
}

/// Guards against a failing task whose gang hangs, is retried without limit, or is reported as not
/// run.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_fails_every_time_ends_with_its_reason() {
    let site = site(1, 1).await;
    let (status, body) = submit(&site, 0, &job_body("ladder-4", 1, "work_ms=20 fail")).await;
    assert_eq!(status, 202, "{body}");
    let done = get(&site, 0, "ladder-4?wait_ms=30000").await;
    assert_eq!(done["state"], json!("finished"), "{done}");
    assert_eq!(done["error"]["kind"], json!("failed"), "{done}");
    assert_ne!(done["error"]["verdict"], json!("not_run"), "{done}");
}
