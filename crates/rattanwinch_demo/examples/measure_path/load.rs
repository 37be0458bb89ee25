//! Open-loop load generator: sends requests at a fixed rate, independently of their answers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use hdrhistogram::Histogram;
use rattanwinch_demo::testing::deadline_unix_ms;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// The deadline of each request, from its submission.
const REQUEST_DEADLINE: Duration = Duration::from_secs(30);

/// The measured latencies of one kind of requests, in microseconds.
#[derive(Debug)]
pub struct Measurements {
    /// The time from the scheduled sending of a request to the end of its answer.
    pub latency: Histogram<u64>,
    /// The time from the scheduled to the actual sending, which is the load generator's own delay.
    pub send_delay: Histogram<u64>,
    /// The number of requests without a successful answer.
    pub failed: u64,
}

impl Measurements {
    /// Creates empty measurements.
    ///
    /// # Errors
    ///
    /// Never: the precision of the histograms is valid.
    pub fn new() -> Result<Self> {
        Ok(Self {
            latency: Histogram::new(3)?,
            send_delay: Histogram::new(3)?,
            failed: 0,
        })
    }
}

/// Sends requests to one kind of server over connections that stay open between rounds.
#[derive(Debug)]
pub struct Sender {
    client: Client,
    urls: Vec<String>,
    permits: Arc<Semaphore>,
    through_entries: bool,
    work_ms: u64,
    sent: u32,
}

impl Sender {
    /// Creates a sender that uses `urls` in turn over at most `connections` connections;
    /// `through_entries` is true if the URLs are those of entries.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(
        urls: Vec<String>,
        through_entries: bool,
        connections: usize,
        work_ms: u64,
    ) -> Result<Self> {
        let client = Client::builder()
            .pool_max_idle_per_host(connections)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self {
            client,
            urls,
            permits: Arc::new(Semaphore::new(connections)),
            through_entries,
            work_ms,
            sent: 0,
        })
    }

    /// Sends `rate` requests per second for `seconds` and adds their latencies to `measured`.
    ///
    /// # Errors
    ///
    /// If a latency cannot be recorded.
    pub async fn run(
        &mut self,
        rate: u32,
        seconds: u32,
        measured: &mut Measurements,
    ) -> Result<()> {
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
                let send_delay = due.elapsed();
                let response = client.post(url).json(&body).send().await.ok()?;
                let complete = response.status().is_success() && response.bytes().await.is_ok();
                complete.then(|| (due.elapsed(), send_delay))
            });
        }
        while let Some(call) = calls.join_next().await {
            match call? {
                Some((latency, send_delay)) => {
                    measured
                        .latency
                        .record(u64::try_from(latency.as_micros())?)?;
                    measured
                        .send_delay
                        .record(u64::try_from(send_delay.as_micros())?)?;
                }
                None => measured.failed += 1,
            }
        }
        Ok(())
    }

    fn body(&self) -> Value {
        let payload = format!("work_ms={}", self.work_ms);
        let id = format!("{}-{}", std::process::id(), self.sent);
        if self.through_entries {
            json!({"organisation": "letrafa", "id": id, "payload": payload,
                "deadline_unix_ms": deadline_unix_ms(REQUEST_DEADLINE)})
        } else {
            json!({"organisation": "letrafa", "id": id, "payload": payload, "attempt": 1,
                "limit_ms": REQUEST_DEADLINE.as_millis()})
        }
    }
}
