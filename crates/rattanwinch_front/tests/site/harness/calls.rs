//! Calls as callers make them.

use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use reqwest::RequestBuilder;
use serde_json::Value;

use crate::harness::HOST;
use crate::harness::KEY;
use crate::harness::Site;
use crate::harness::job;

impl Site {
    /// Makes a call with the API key of the site's first organisation; returns status and body.
    pub async fn call(
        &self,
        front: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
    ) -> (u16, Value) {
        self.call_with_key(front, method, path, body, KEY).await
    }

    pub async fn call_with_key(
        &self,
        front: usize,
        method: Method,
        path: &str,
        body: Option<Value>,
        key: &str,
    ) -> (u16, Value) {
        let mut req = self
            .request(front, method, path)
            .header("Authorization", format!("Bearer {key}"));
        if let Some(body) = body {
            req = req.json(&body);
        }
        send(req).await
    }

    /// Makes a call without a key.
    pub async fn call_public(
        &self,
        front: usize,
        method: Method,
        path: &str,
        body: Value,
    ) -> (u16, Value) {
        send(self.request(front, method, path).json(&body)).await
    }

    fn request(&self, front: usize, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.fronts[front].callers);
        self.http
            .request(method, url)
            .header("Host", HOST)
            .header("Deadline-Ms", "3000")
    }

    pub async fn submit(&self, front: usize, id: &str, work_ms: u64, count: u32) -> u16 {
        self.submit_body(front, id, job(work_ms, count)).await
    }

    pub async fn submit_body(&self, front: usize, id: &str, body: Value) -> u16 {
        let path = format!("/checks/{id}");
        self.call(front, Method::POST, &path, Some(body)).await.0
    }

    pub async fn state(&self, front: usize, id: &str) -> String {
        let (status, body) = self
            .call(front, Method::GET, &format!("/checks/{id}"), None)
            .await;
        match body["state"].as_str() {
            Some(state) => state.to_owned(),
            None => status.to_string(),
        }
    }

    /// Waits until a job is in a state; panics after `limit`.
    pub async fn wait_for(
        &self,
        front: usize,
        id: &str,
        wanted: &str,
        limit: Duration,
    ) -> Duration {
        let poll_started = Instant::now();
        loop {
            let state = self.state(front, id).await;
            if state == wanted {
                return poll_started.elapsed();
            }
            assert!(
                poll_started.elapsed() < limit,
                "{id} is {state}, not {wanted}, after {limit:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Repeats a submission until it is accepted.
    pub async fn submit_until_accepted(&self, front: usize, id: &str, work_ms: u64, count: u32) {
        self.submit_body_until_accepted(front, id, &job(work_ms, count))
            .await;
    }

    pub async fn submit_body_until_accepted(&self, front: usize, id: &str, body: &Value) {
        let poll_started = Instant::now();
        loop {
            let status = self.submit_body(front, id, body.clone()).await;
            if status == 200 {
                return;
            }
            assert!(
                matches!(status, 503 | 504),
                "{id} was answered with status {status}"
            );
            assert!(
                poll_started.elapsed() < Duration::from_secs(10),
                "{id} was not accepted in time"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn send(req: RequestBuilder) -> (u16, Value) {
    let answer = req.send().await.expect("the front answers");
    let status = answer.status().as_u16();
    (status, answer.json().await.unwrap_or_default())
}
