//! Sites with deciders, and callers' calls for jobs.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use serde_json::Value;
use serde_json::json;

/// Every zone has a decider, and jobs come to an end, within this time.
pub const READY_BOUND: Duration = Duration::from_secs(20);

pub fn job(id: &str, tasks: u32, payload: &str) -> Value {
    let deadline = UNIX_EPOCH.elapsed().expect("the clock is past 1970") + Duration::from_secs(60);
    let deadline = u64::try_from(deadline.as_millis()).expect("fits");
    json!({"organisation": "letrafa", "id": id, "tasks": tasks, "accelerators_per_task": 4,
        "adjacency": "zone", "idempotent": true, "urgency": "normal",
        "deadline_unix_ms": deadline, "declared_run_time_ms": 100, "payload": payload})
}

pub async fn submit(site: &Site, entry: usize, body: &Value) -> (u16, Value) {
    let sent = reqwest::Client::new()
        .post(site.url(entry, "/v1/jobs"))
        .json(body)
        .send();
    let response = sent.await.expect("entry answers");
    let status = response.status().as_u16();
    (status, response.json().await.expect("the body is JSON"))
}

pub async fn get(site: &Site, entry: usize, path: &str) -> Value {
    let url = site.url(entry, &format!("/v1/jobs/letrafa/{path}"));
    let response = reqwest::get(url).await.expect("entry answers");
    response.json().await.expect("the body is JSON")
}

/// Starts a site of three targets a zone and waits until the deciders have all workers.
pub async fn site(entries: usize, zones: usize) -> Site {
    let size = SiteSize {
        zones,
        targets: 3 * zones,
        slots: 2,
        entries,
    };
    let site = Site::start(size).await.expect("site starts");
    site.wait_until_ready(READY_BOUND).await.expect("ready");
    let adopted = || {
        site.entries.iter().all(|entry| {
            let known: u32 = entry
                .zone_summaries()
                .iter()
                .map(|zone| zone.accelerators)
                .sum();
            known as usize == site.agents.len() * 8
        })
    };
    until("every worker is adopted", READY_BOUND, adopted).await;
    site
}

/// Waits until `condition` holds, at most `bound`; returns how long that took.
pub async fn until(what: &str, bound: Duration, condition: impl Fn() -> bool) -> Duration {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < bound, "{what}: not within {bound:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    since.elapsed()
}
