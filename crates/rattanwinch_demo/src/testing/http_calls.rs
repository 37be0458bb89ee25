use std::time::Duration;
use std::time::UNIX_EPOCH;

use rattanwinch_standins::StandinExecutor;
use serde_json::Value;
use serde_json::json;

/// The polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The default deadline of a plain request, from its submission.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// The response of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpAnswer {
    /// The HTTP status; 0 if the connection failed.
    pub status: u16,
    /// The body; null if there is none.
    pub body: Value,
}

impl HttpAnswer {
    /// Returns the verdict of a success or error, or `may_have_run` if the connection failed.
    #[must_use]
    pub fn verdict(&self) -> &str {
        let verdict = self.body["verdict"].as_str();
        let of_error = self.body["error"]["verdict"].as_str();
        verdict.or(of_error).unwrap_or("may_have_run")
    }
}

/// Returns the time `span` from now in milliseconds since the Unix epoch.
#[must_use]
pub fn deadline_unix_ms(span: Duration) -> u64 {
    let deadline = UNIX_EPOCH.elapsed().unwrap_or_default() + span;
    u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the body of a plain request of the organisation `letrafa`.
#[must_use]
pub fn plain_body(id: &str, payload: &str, idempotent: bool) -> Value {
    json!({"organisation": "letrafa", "id": id, "payload": payload, "idempotent": idempotent,
        "deadline_unix_ms": deadline_unix_ms(DEFAULT_DEADLINE)})
}

/// Posts a body over a new connection.
pub async fn post(url: String, body: Value) -> HttpAnswer {
    let failed = HttpAnswer {
        status: 0,
        body: Value::Null,
    };
    let Ok(client) = reqwest::Client::builder().no_proxy().build() else {
        return failed;
    };
    let Ok(response) = client.post(url).json(&body).send().await else {
        return failed;
    };
    let status = response.status().as_u16();
    HttpAnswer {
        status,
        body: response.json().await.unwrap_or(Value::Null),
    }
}

/// Reads the value of the metric `name`, including labels, from the `/metrics` page at `url`;
/// `None` if the entry does not answer or has no such metric.
pub async fn read_metric(url: String, name: &str) -> Option<f64> {
    let text = reqwest::get(url).await.ok()?.text().await.ok()?;
    let mut values = text.lines().filter_map(|line| line.strip_prefix(name));
    values.find_map(|value| value.strip_prefix(' ')?.trim().parse().ok())
}

/// Counts how often the executors started any attempt of the request `organisation/id`.
#[must_use]
pub fn count_runs(executors: &[StandinExecutor], request: &str) -> usize {
    let prefix = format!("{request}#");
    let runs = executors.iter().flat_map(StandinExecutor::runs);
    runs.filter(|run| run.starts_with(&prefix)).count()
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// If the condition does not hold within `bound`.
pub async fn wait_until(bound: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let held = tokio::time::timeout(bound, waiting).await;
    assert!(held.is_ok(), "condition not met within {bound:?}: {what}");
}
