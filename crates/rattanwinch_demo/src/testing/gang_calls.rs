use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::HttpAnswer;
use super::ProcessSite;
use super::deadline_in;
use super::post;

/// The time that a test's job has by default.
const DEADLINE: Duration = Duration::from_secs(120);

/// How often a job's state is asked for while it is waited for.
const POLL: Duration = Duration::from_millis(50);

/// The body of an idempotent gang of `tasks` tasks with 8 accelerators each.
#[must_use]
pub fn gang_body(id: &str, tasks: u32, payload: &str) -> Value {
    json!({"organisation": "letrafa", "id": id, "tasks": tasks, "accelerators_per_task": 8,
        "adjacency": "zone", "idempotent": true, "urgency": "normal",
        "deadline_unix_ms": deadline_in(DEADLINE), "declared_run_time_ms": 1000,
        "payload": payload})
}

impl ProcessSite {
    /// Submits a job at the entry with the given number.
    pub async fn submit_job(&self, entry: usize, body: &Value) -> HttpAnswer {
        post(self.url(entry, "/v1/jobs"), body.clone()).await
    }

    /// Asks an entry for a job: `path` is its id, and what follows it in the URL.
    pub async fn ask_job(&self, entry: usize, path: &str) -> Value {
        let url = self.url(entry, &format!("/v1/jobs/letrafa/{path}"));
        match reqwest::get(url).await {
            Ok(response) => response.json().await.unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    /// Cancels a job at an entry; true if the entry accepted that.
    pub async fn cancel_job(&self, entry: usize, id: &str) -> bool {
        let url = self.url(entry, &format!("/v1/jobs/letrafa/{id}"));
        let sent = reqwest::Client::new().delete(url).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until an entry says that the job has finished, and returns what it says.
    ///
    /// # Panics
    ///
    /// If the job hasn't finished within `bound`.
    pub async fn finished_job(&self, entry: usize, id: &str, bound: Duration) -> Value {
        let since = Instant::now();
        loop {
            let body = self.ask_job(entry, &format!("{id}?wait_ms=1000")).await;
            if body["state"] == json!("finished") {
                return body;
            }
            assert!(since.elapsed() < bound, "{id} not finished: {body}");
            tokio::time::sleep(POLL).await;
        }
    }
}
