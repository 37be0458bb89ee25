//! The path of a gang job over real connections: caller, entry, decider, agents, executors.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use serde_json::Value;
use serde_json::json;

/// Every zone has a decider within this time.
const READY_BOUND: Duration = Duration::from_secs(10);

/// Urgent work starts within this time, also when its decider dies.
const URGENT_BOUND: Duration = Duration::from_millis(2800);

fn job(id: &str, tasks: u32, payload: &str) -> Value {
    let deadline = UNIX_EPOCH.elapsed().expect("the clock is past 1970") + Duration::from_secs(60);
    let deadline = u64::try_from(deadline.as_millis()).expect("fits");
    json!({"organisation": "letrafa", "id": id, "tasks": tasks, "accelerators_per_task": 4,
        "adjacency": "zone", "idempotent": true, "urgency": "normal", "deadline_unix_ms": deadline,
        "declared_run_time_ms": 100, "payload": payload})
}

async fn submit(site: &Site, entry: usize, body: &Value) -> (u16, Value) {
    let sent = reqwest::Client::new()
        .post(site.url(entry, "/v1/jobs"))
        .json(body)
        .send();
    let response = sent.await.expect("entry answers");
    let status = response.status().as_u16();
    (status, response.json().await.expect("the body is JSON"))
}

async fn get(site: &Site, entry: usize, path: &str) -> Value {
    let url = site.url(entry, &format!("/v1/jobs/letrafa/{path}"));
    let response = reqwest::get(url).await.expect("entry answers");
    response.json().await.expect("the body is JSON")
}

async fn site(entries: usize, zones: usize) -> Site {
    let size = SiteSize {
        zones,
        targets: 3 * zones,
        slots: 2,
        entries,
    };
    let site = Site::start(size).await.expect("site starts");
    site.wait_until_ready(READY_BOUND).await.expect("ready");
    wait_for_deciders(&site, zones).await;
    site
}

async fn wait_for_deciders(site: &Site, zones: usize) {
    let since = Instant::now();
    let decided = || -> usize {
        let zones = site.entries.iter().map(|entry| entry.decided_zones().len());
        zones.sum()
    };
    while decided() < zones {
        assert!(since.elapsed() < READY_BOUND, "a zone has no decider");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against gangs that start in part, and answers that are missing or in another order.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_runs_and_its_whole_answer_returns() {
    let site = site(1, 1).await;
    let (status, body) = submit(&site, 0, &job("ladder-1", 4, "work_ms=100")).await;
    assert_eq!(status, 202, "{body}");
    let body = get(&site, 0, "ladder-1?wait_ms=20000").await;
    let answers = body["answers"].as_array().cloned().unwrap_or_default();
    let expected = (0..4).map(|task| json!(format!("done letrafa/ladder-1#1.{task}: work_ms=100")));
    assert_eq!(answers, expected.collect::<Vec<_>>(), "{body}");
    let reasons = get(&site, 0, "ladder-1/explain").await;
    assert!(!reasons.as_array().expect("a list").is_empty(), "{reasons}");
}

/// Guards against a reused id that runs as another job, or that returns another job's answer.
#[tokio::test(flavor = "multi_thread")]
async fn the_same_id_with_another_body_is_refused() {
    let site = site(2, 1).await;
    let first = job("ladder-2", 2, "work_ms=50");
    assert_eq!(submit(&site, 0, &first).await.0, 202);
    assert_eq!(submit(&site, 1, &first).await.0, 202, "a retry is accepted");
    let (status, body) = submit(&site, 1, &job("ladder-2", 2, "work_ms=51")).await;
    assert_eq!(status, 409, "{body}");
    assert_eq!(body["error"]["verdict"], json!("not_run"), "{body}");
    let done = get(&site, 1, "ladder-2?wait_ms=20000").await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
}

/// Guards against a takeover that is too slow for urgent work, or that loses a recorded job.
#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_job_starts_in_time_when_its_decider_dies() {
    let mut site = site(3, 1).await;
    let decides = |site: &Site| {
        let mut entries = site.entries.iter();
        entries.position(|entry| !entry.decided_zones().is_empty())
    };
    let dead = decides(&site).expect("one entry decides");
    let died_at = Instant::now();
    site.entries.remove(dead).stop_abruptly().await;
    let mut body = job("ladder-3", 2, "work_ms=2000");
    body["urgency"] = json!("urgent");
    let (status, answer) = submit(&site, 0, &body).await;
    assert_eq!(status, 202, "{answer}");
    loop {
        let body = get(&site, 0, "ladder-3").await;
        let waited = died_at.elapsed();
        if body["state"] == json!("running") {
            println!("started {} ms after the decider died", waited.as_millis());
            break;
        }
        assert!(
            waited < URGENT_BOUND,
            "not started after {waited:?}: {body}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let done = get(&site, 1, "ladder-3?wait_ms=20000").await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
}
