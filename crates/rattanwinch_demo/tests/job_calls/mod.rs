//! Starts sites with deciders, and sends callers' job requests.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use rattanwinch_demo::Site;
use rattanwinch_demo::SiteSize;
use serde_json::Value;
use serde_json::json;

/// The time limit for every zone to have a decider, and for jobs to start.
pub const READY_BOUND: Duration = Duration::from_secs(20);

pub fn job_body(id: &str, tasks: u32, payload: &str) -> Value {
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

/// Starts a site with three targets per zone and waits until the deciders have adopted all workers.
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
    wait_until("every worker is adopted", READY_BOUND, adopted).await;
    site
}

/// Waits until `condition` holds, and returns the waiting time; fails after `bound`.
pub async fn wait_until(what: &str, bound: Duration, condition: impl Fn() -> bool) -> Duration {
    let since = Instant::now();
    while !condition() {
        assert!(
            since.elapsed() < bound,
            "condition not met within {bound:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    since.elapsed()
}
