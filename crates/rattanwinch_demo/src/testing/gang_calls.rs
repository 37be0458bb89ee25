use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::HttpAnswer;
use super::ProcessSite;
use super::deadline_unix_ms;
use super::post;

/// The default deadline of a job, from its submission.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);

/// The polling interval while waiting for a job.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the body of an idempotent gang with `tasks` tasks of 8 accelerators each.
#[must_use]
pub fn gang_body(id: &str, tasks: u32, payload: &str) -> Value {
    json!({"organisation": "letrafa", "id": id, "tasks": tasks, "accelerators_per_task": 8,
        "adjacency": "zone", "idempotent": true, "urgency": "normal",
        "deadline_unix_ms": deadline_unix_ms(DEFAULT_DEADLINE), "declared_run_time_ms": 1000,
        "payload": payload})
}

impl ProcessSite {
    /// Submits a job to the entry with the given index.
    pub async fn submit_job(&self, entry: usize, body: &Value) -> HttpAnswer {
        post(self.url(entry, "/v1/jobs"), body.clone()).await
    }

    /// Sends a GET request for a job to an entry; `path` is the job's id with an optional rest of
    /// the URL.
    pub async fn get_job(&self, entry: usize, path: &str) -> Value {
        let url = self.url(entry, &format!("/v1/jobs/letrafa/{path}"));
        match reqwest::get(url).await {
            Ok(response) => response.json().await.unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    /// Cancels a job at an entry; true if the entry accepted the cancellation.
    pub async fn cancel_job(&self, entry: usize, id: &str) -> bool {
        let url = self.url(entry, &format!("/v1/jobs/letrafa/{id}"));
        let sent = reqwest::Client::new().delete(url).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until an entry reports that the job has finished, and returns the job's status.
    ///
    /// # Panics
    ///
    /// If the job does not finish within `bound`.
    pub async fn wait_for_job(&self, entry: usize, id: &str, bound: Duration) -> Value {
        let since = Instant::now();
        loop {
            let body = self.get_job(entry, &format!("{id}?wait_ms=1000")).await;
            if body["state"] == json!("finished") {
                return body;
            }
            assert!(
                since.elapsed() < bound,
                "job {id} not finished within {bound:?}: {body}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
