use std::fmt::Write as _;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::WrapErr as _;
use eyre::ensure;
use serde_json::Value;
use serde_json::json;

use crate::Site;
use crate::SiteSize;
use crate::testing::deadline_unix_ms;

/// The time limit for the start of the site and for a closing to take effect.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The time limit for a job of the demonstration.
const JOB_TIMEOUT: Duration = Duration::from_secs(30);

/// The polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The demonstration: runs the main use cases on a site and describes each in a report.
#[derive(Debug)]
pub struct Demo {
    site: Site,
    client: reqwest::Client,
    report: String,
}

impl Demo {
    /// Starts a site of the default size with stand-ins for the store and the executors.
    ///
    /// # Errors
    ///
    /// If the site does not start in time.
    pub async fn start() -> Result<Self> {
        let site = Site::start(SiteSize::default()).await?;
        site.wait_until_ready(START_TIMEOUT).await?;
        site.wait_until_adopted(START_TIMEOUT).await?;
        let client = reqwest::Client::builder().no_proxy().build()?;
        Ok(Self {
            site,
            client,
            report: String::new(),
        })
    }

    /// Runs the main use cases and returns the report.
    ///
    /// # Errors
    ///
    /// If a step fails or has an unexpected result.
    pub async fn run(mut self) -> Result<String> {
        self.write_site_summary();
        self.run_plain_requests().await.wrap_err("plain requests")?;
        self.run_order_once()
            .await
            .wrap_err("an order that must run once")?;
        self.run_gang().await.wrap_err("a gang")?;
        self.close_zone()
            .await
            .wrap_err("closing an availability zone")?;
        self.run_impossible_job()
            .await
            .wrap_err("a job that cannot run")?;
        self.write_store_calls();
        Ok(self.report)
    }

    fn write_site_summary(&mut self) {
        self.write_heading("A site");
        let (targets, entries) = (self.site.agents.len(), self.site.entries.len());
        self.write_line(&format!(
            "{entries} entries, {targets} targets in 3 availability zones, each with an agent, an \
             executor of 8 slots and 8 accelerators, and a stand-in for the platform's store."
        ));
    }

    async fn run_plain_requests(&mut self) -> Result<()> {
        self.write_heading("Plain requests");
        let started = Instant::now();
        let calls = (0..100).map(|n| {
            let body = plain_body(&format!("hook-load-{n}"), "work_ms=5", true);
            self.post(n % 2, "/v1/requests", body)
        });
        let answers = futures::future::join_all(calls).await;
        let wrong = answers
            .iter()
            .enumerate()
            .filter(|(n, answer)| !is_answer_to(answer, *n));
        ensure!(
            wrong.count() == 0,
            "an answer is missing or belongs to another request"
        );
        self.write_line(&format!(
            "100 load checks of 5 ms, half through each entry, were answered in {} ms; each \
             caller got the answer to its own request.",
            started.elapsed().as_millis()
        ));
        Ok(())
    }

    async fn run_order_once(&mut self) -> Result<()> {
        self.write_heading("An order that must run once");
        let order = plain_body("timber-cut-1", "work_ms=200", false);
        let first = self.post(0, "/v1/requests", order.clone());
        let second = self.post(1, "/v1/requests", order.clone());
        let (first, second) = futures::future::join(first, second).await;
        let (first, second) = (first?, second?);
        ensure!(
            first["answer"] == second["answer"],
            "two answers to one order"
        );
        let mut other = order;
        other["payload"] = json!("work_ms=1");
        let refusal = self.post(0, "/v1/requests", other).await?;
        let runs = crate::testing::count_runs(&self.site.executors, "letrafa/timber-cut-1");
        ensure!(runs == 1, "the order ran {runs} times");
        self.write_line(
            "The same order was sent through both entries at the same time: it ran once, and \
             both got its answer.",
        );
        self.write_line(&format!(
            "Another body under the same id was refused: {}.",
            as_text(&refusal["error"]["message"])
        ));
        Ok(())
    }

    async fn run_gang(&mut self) -> Result<()> {
        self.write_heading("A gang");
        let started = Instant::now();
        let job = gang_body("finish-render-1", 4, 8);
        self.post(0, "/v1/jobs", job).await?;
        let status = self.wait_for("finish-render-1").await?;
        let answers = status["answers"].as_array().map_or(0, Vec::len);
        ensure!(answers == 4, "{answers} of 4 answers: {status}");
        self.write_line(&format!(
            "4 tasks of 8 adjacent accelerators started together in {}, and all 4 answers came \
             back after {} ms. The decisions in chronological order:",
            as_text(&status["zone"]),
            started.elapsed().as_millis()
        ));
        let reasons = self
            .get(0, "/v1/jobs/letrafa/finish-render-1/explain")
            .await?;
        for reason in reasons.as_array().into_iter().flatten() {
            self.write_line(&format!("  - {}", as_text(&reason["text"])));
        }
        Ok(())
    }

    async fn close_zone(&mut self) -> Result<()> {
        self.write_heading("Closing an availability zone");
        let config = self.get(0, "/v1/config").await?;
        let change = json!({"kind": "add_exception", "id": "power-works",
            "effect": {"close_zone": {"zone": "az-1"}}});
        let change = json!({"id": "tour-1", "author": "operator", "based_on": config["revision"],
            "reason": "the power supply is being replaced", "change": change});
        let started = Instant::now();
        let answer = self.post(0, "/v1/config/changes", change).await?;
        ensure!(
            answer["accepted"] == json!(true),
            "the change was refused: {answer}"
        );
        while !self.is_closed_everywhere("az-1").await? {
            ensure!(
                started.elapsed() < START_TIMEOUT,
                "the closed zone is not in effect at every entry"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.write_line(&format!(
            "Closed az-1, with a reason; every entry acted on it after {} ms.",
            started.elapsed().as_millis()
        ));
        let before = self.starts_in_first_zone();
        let calls = (0..50).map(|n| {
            let body = plain_body(&format!("after-closing-{n}"), "work_ms=1", true);
            self.post(n % 2, "/v1/requests", body)
        });
        let answers = futures::future::join_all(calls).await;
        let answered = answers.iter().filter(|answer| answer.is_ok()).count();
        let inside = self.starts_in_first_zone() - before;
        ensure!(inside == 0, "{inside} requests started in the closed zone");
        self.write_line(&format!(
            "50 more requests: {answered} answered, none of them started in az-1."
        ));
        Ok(())
    }

    async fn run_impossible_job(&mut self) -> Result<()> {
        self.write_heading("A job that cannot run");
        self.post(1, "/v1/jobs", gang_body("too-large", 128, 8))
            .await?;
        let refusal = self.wait_for("too-large").await?;
        let error = &refusal["error"];
        ensure!(
            error["verdict"] == json!("not_run"),
            "expected the verdict not_run: {refusal}"
        );
        self.write_line(&format!(
            "Refused, not run: {}.",
            as_text(&error["message"])
        ));
        Ok(())
    }

    fn write_store_calls(&mut self) {
        self.write_heading("Calls to the store");
        let counts = self.site.store.counts();
        let kinds = counts
            .calls
            .iter()
            .map(|(kind, calls)| format!("{calls} {kind}"));
        self.write_line(&format!(
            "In all: {}. In the busiest second: {} writes and {} reads, of 30 and 200 that a site \
             of this size may use.",
            kinds.collect::<Vec<_>>().join(", "),
            counts.most_writes_per_second,
            counts.most_reads_per_second
        ));
    }

    fn starts_in_first_zone(&self) -> u64 {
        let zones = SiteSize::default().zones;
        let inside = self.site.executors.iter().step_by(zones);
        inside
            .map(rattanwinch_standins::StandinExecutor::started)
            .sum()
    }

    async fn is_closed_everywhere(&self, zone: &str) -> Result<bool> {
        for entry in 0..self.site.entries.len() {
            let zones = self.get(entry, "/v1/zones").await?;
            let mut zones = zones.as_array().into_iter().flatten();
            let known = zones.find(|known| known["zone"] == json!(zone));
            if known.is_none_or(|known| known["closed_by"].is_null()) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn wait_for(&self, id: &str) -> Result<Value> {
        let started = Instant::now();
        loop {
            let status = self
                .get(1, &format!("/v1/jobs/letrafa/{id}?wait_ms=5000"))
                .await?;
            if status["state"] == json!("finished") {
                return Ok(status);
            }
            ensure!(
                started.elapsed() < JOB_TIMEOUT,
                "the job has not finished within the time limit: {status}"
            );
        }
    }

    async fn post(&self, entry: usize, path: &str, body: Value) -> Result<Value> {
        let url = self.site.url(entry, path);
        Ok(self
            .client
            .post(url)
            .json(&body)
            .send()
            .await?
            .json()
            .await?)
    }

    async fn get(&self, entry: usize, path: &str) -> Result<Value> {
        let url = self.site.url(entry, path);
        Ok(self.client.get(url).send().await?.json().await?)
    }

    fn write_heading(&mut self, text: &str) {
        let _ = writeln!(self.report, "\n== {text}");
    }

    fn write_line(&mut self, text: &str) {
        let _ = writeln!(self.report, "{text}");
    }
}

fn plain_body(id: &str, payload: &str, idempotent: bool) -> Value {
    json!({"organisation": "letrafa", "id": id, "payload": payload, "idempotent": idempotent,
        "deadline_unix_ms": deadline_unix_ms(JOB_TIMEOUT)})
}

fn gang_body(id: &str, tasks: u32, accelerators: u32) -> Value {
    json!({"organisation": "letrafa", "id": id, "tasks": tasks,
        "accelerators_per_task": accelerators, "adjacency": "zone", "idempotent": true,
        "urgency": "normal", "deadline_unix_ms": deadline_unix_ms(JOB_TIMEOUT),
        "declared_run_time_ms": 500, "payload": "work_ms=500"})
}

fn is_answer_to(answer: &Result<Value>, n: usize) -> bool {
    let expected = json!(format!("done letrafa/hook-load-{n}#1: work_ms=5"));
    answer
        .as_ref()
        .is_ok_and(|answer| answer["answer"] == expected)
}

fn as_text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}
