//! The load generator: requests at fixed times, whether or not earlier ones have ended.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use hdrhistogram::Histogram;
use rattanwinch_demo::testing::deadline_in;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The time that each request has.
const LIMIT: Duration = Duration::from_secs(30);

/// What requests of one kind took, in microseconds.
#[derive(Debug)]
pub struct Measured {
    /// From the time at which the request was due to the end of its answer.
    pub latency: Histogram<u64>,
    /// From the time at which the request was due to its sending, the load generator's own delay.
    pub late: Histogram<u64>,
    /// Requests without a successful answer.
    pub failed: u64,
}

impl Measured {
    /// Nothing yet.
    ///
    /// # Errors
    ///
    /// None with the fixed precision.
    pub fn new() -> Result<Self> {
        Ok(Self {
            latency: Histogram::new(3)?,
            late: Histogram::new(3)?,
            failed: 0,
        })
    }
}

/// Sends requests to one kind of place over connections that stay open between rounds.
#[derive(Debug)]
pub struct Sender {
    client: Client,
    urls: Vec<String>,
    permits: Arc<Semaphore>,
    through: bool,
    work_ms: u64,
    sent: u32,
}

impl Sender {
    /// Sends to `urls` in turn over at most `connections`; `through` says whether they are entries.
    ///
    /// # Errors
    ///
    /// If the HTTP client can't be set up.
    pub fn new(urls: Vec<String>, through: bool, connections: usize, work_ms: u64) -> Result<Self> {
        let client = Client::builder()
            .pool_max_idle_per_host(connections)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self {
            client,
            urls,
            permits: Arc::new(Semaphore::new(connections)),
            through,
            work_ms,
            sent: 0,
        })
    }

    /// Sends `rate` requests a second for `seconds` and adds what they took to `measured`.
    ///
    /// # Errors
    ///
    /// If a latency can't be recorded.
    pub async fn run(&mut self, rate: u32, seconds: u32, measured: &mut Measured) -> Result<()> {
        let started = Instant::now();
        let mut calls = JoinSet::new();
        for n in 0..rate * seconds {
            let due = started + Duration::from_secs(1) * n / rate;
            tokio::time::sleep_until(due.into()).await;
            self.sent += 1;
            let (client, permits) = (self.client.clone(), Arc::clone(&self.permits));
            let url = self.urls[self.sent as usize % self.urls.len()].clone();
            let body = self.body();
            calls.spawn(async move {
                let _permit = permits.acquire_owned().await.ok()?;
                let late = due.elapsed();
                let response = client.post(url).json(&body).send().await.ok()?;
                let whole = response.status().is_success() && response.bytes().await.is_ok();
                whole.then(|| (due.elapsed(), late))
            });
        }
        while let Some(call) = calls.join_next().await {
            match call? {
                Some((latency, late)) => {
                    measured
                        .latency
                        .record(u64::try_from(latency.as_micros())?)?;
                    measured.late.record(u64::try_from(late.as_micros())?)?;
                }
                None => measured.failed += 1,
            }
        }
        Ok(())
    }

    fn body(&self) -> Value {
        let payload = format!("work_ms={}", self.work_ms);
        let id = format!("{}-{}", std::process::id(), self.sent);
        if self.through {
            json!({"organisation": "letrafa", "id": id, "payload": payload,
                "deadline_unix_ms": deadline_in(LIMIT)})
        } else {
            json!({"organisation": "letrafa", "id": id, "payload": payload, "attempt": 1,
                "limit_ms": LIMIT.as_millis()})
        }
    }
}
