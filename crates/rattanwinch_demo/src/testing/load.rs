use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::HttpAnswer;
use super::deadline_unix_ms;
use super::plain_body;
use super::post;

/// The delay between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The deadline of each request, from its submission.
const REQUEST_DEADLINE: Duration = Duration::from_secs(8);

/// The answers so far, each with its arrival time and the id of its request.
type Answers = Arc<Mutex<Vec<(Instant, String, HttpAnswer)>>>;

/// A closed-loop load generator: each caller sends its next request after the answer to the last.
#[derive(Debug)]
pub struct LoadGenerator {
    answers: Answers,
    stop: CancellationToken,
    callers: JoinSet<()>,
}

impl LoadGenerator {
    /// Starts callers that send idempotent plain requests to one entry.
    #[must_use]
    pub fn plain(url: &str, name: &str, callers: usize) -> Self {
        Self::start(url, name, callers, |id| plain_body(id, "work_ms=5", true))
    }

    /// Starts callers that submit jobs with one task and do not wait for them to finish.
    #[must_use]
    pub fn jobs(url: &str, name: &str, callers: usize) -> Self {
        Self::start(url, name, callers, |id| {
            json!({"organisation": "letrafa", "id": id, "tasks": 1, "accelerators_per_task": 1,
                "adjacency": "zone", "idempotent": true, "urgency": "normal",
                "deadline_unix_ms": deadline_unix_ms(REQUEST_DEADLINE), "declared_run_time_ms": 100,
                "payload": "work_ms=20"})
        })
    }

    fn start(
        url: &str,
        name: &str,
        callers: usize,
        body: impl Fn(&str) -> serde_json::Value + Send + Copy + 'static,
    ) -> Self {
        let (answers, stop) = (Answers::default(), CancellationToken::new());
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (answers, stop) = (Arc::clone(&answers), stop.clone());
            let (url, name) = (url.to_owned(), format!("{name}-{caller}"));
            tasks.spawn(async move {
                let mut number = 0;
                while !stop.is_cancelled() {
                    let id = format!("{name}-{number}");
                    let answer = post(url.clone(), body(&id)).await;
                    lock(&answers).push((Instant::now(), id, answer));
                    number += 1;
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
            });
        }
        Self {
            answers,
            stop,
            callers: tasks,
        }
    }

    /// Returns the answers that arrived after `since`.
    #[must_use]
    pub fn answers_since(&self, since: Instant) -> Vec<HttpAnswer> {
        let answers = lock(&self.answers);
        let later = answers.iter().filter(|(at, ..)| *at > since);
        later.map(|(.., answer)| answer.clone()).collect()
    }

    /// Stops the callers after their last answers, and returns all answers with their ids.
    pub async fn stop(mut self) -> Vec<(String, HttpAnswer)> {
        self.stop.cancel();
        while self.callers.join_next().await.is_some() {}
        let answers = std::mem::take(&mut *lock(&self.answers));
        let answers = answers.into_iter();
        answers.map(|(_, id, answer)| (id, answer)).collect()
    }
}

/// Locks a mutex and ignores poisoning, since operations under the lock do not panic.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
