use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use imbl::HashMap;
use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use tokio::sync::watch;

/// The outcome of an attempt.
pub(crate) type Outcome = Result<Answer, RequestError>;

/// The maximum size of all answers kept for retries, in bytes of text; an agent has 32 MB for
/// everything. When it is reached, new answers are not kept, and the store has them all.
const MAX_CACHED_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// One attempt at a non-idempotent request.
#[derive(Debug)]
struct Attempt {
    /// The outcome, once there is one.
    outcome: watch::Sender<Option<Outcome>>,
    /// When the attempt may be removed: from then on, a retry is refused because of its deadline.
    expires_at: Timestamp,
}

impl Attempt {
    fn new(outcome: Option<Outcome>, expires_at: Timestamp) -> Arc<Self> {
        Arc::new(Self {
            outcome: watch::Sender::new(outcome),
            expires_at,
        })
    }
}

/// The result of registering an attempt.
#[derive(Debug)]
pub(crate) enum Registration {
    /// The attempt is new; the caller must run it and report through [`AttemptTable::finish`].
    New(RunningAttempt),
    /// The attempt is known and runs or has ended.
    Known(KnownAttempt),
}

/// An attempt that the owner of this value has to run.
#[derive(Debug)]
pub(crate) struct RunningAttempt(Arc<Attempt>);

/// An attempt that runs or has ended.
#[derive(Debug)]
pub(crate) struct KnownAttempt(Arc<Attempt>);

impl KnownAttempt {
    /// Waits for the outcome.
    pub async fn outcome(self) -> Outcome {
        let mut rx = self.0.outcome.subscribe();
        // The sender is part of the attempt that this value holds, so the wait cannot fail.
        let outcome = rx.wait_for(Option::is_some).await;
        outcome
            .ok()
            .and_then(|outcome| outcome.clone())
            .unwrap_or_else(|| {
                Err(RequestError::may_have_run(
                    ErrorKind::Failed,
                    "internal error: the attempt ended without an outcome",
                ))
            })
    }
}

/// The attempts at non-idempotent requests that this agent process has seen.
///
/// The map is immutable and replaced by compare-and-swap, so requests never block each other here.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: ArcSwap<HashMap<AttemptKey, Arc<Attempt>>>,
    cached_answer_bytes: AtomicUsize,
}

impl AttemptTable {
    /// Registers an attempt that is to run, unless it is known.
    pub fn register(&self, key: &AttemptKey, expires_at: Timestamp) -> Registration {
        let attempt = Attempt::new(None, expires_at);
        match self.insert_if_absent(key, &attempt) {
            None => Registration::New(RunningAttempt(attempt)),
            Some(known) => Registration::Known(KnownAttempt(known)),
        }
    }

    /// Finds an attempt, or stores a tombstone that keeps it from ever running and returns `None`.
    pub fn find_or_tombstone(
        &self,
        key: &AttemptKey,
        expires_at: Timestamp,
    ) -> Option<KnownAttempt> {
        let refusal = RequestError::not_run(
            ErrorKind::Unavailable,
            "the attempt was cancelled by an outcome query that arrived before it",
        );
        let tombstone = Attempt::new(Some(Err(refusal)), expires_at);
        self.insert_if_absent(key, &tombstone).map(KnownAttempt)
    }

    /// Sets the outcome of an attempt and wakes all callers that wait for it.
    pub fn finish(&self, running: RunningAttempt, outcome: Outcome) {
        let RunningAttempt(attempt) = running;
        let bytes = outcome.as_ref().map_or(0, |answer| answer.text().len());
        let cached = self.cached_answer_bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        let outcome = if cached > MAX_CACHED_ANSWER_BYTES {
            self.cached_answer_bytes.fetch_sub(bytes, Ordering::AcqRel);
            let message = "the request ran, but the agent has no space to keep the answer";
            Err(RequestError::new(Verdict::Ran, ErrorKind::Failed, message))
        } else {
            outcome
        };
        attempt.outcome.send_replace(Some(outcome));
    }

    /// Removes ended attempts that can no longer be retried.
    pub fn remove_expired(&self, now: Timestamp) {
        let before = self.attempts.load();
        let expired = before
            .iter()
            .filter(|(_, attempt)| is_expired(attempt, now));
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        drop(before);
        for key in expired {
            self.remove(&key);
        }
    }

    fn remove(&self, key: &AttemptKey) {
        let before = self.attempts.rcu(|attempts| attempts.without(key));
        let Some(attempt) = before.get(key) else {
            return;
        };
        let outcome = attempt.outcome.borrow();
        if let Some(Ok(answer)) = &*outcome {
            self.cached_answer_bytes
                .fetch_sub(answer.text().len(), Ordering::AcqRel);
        }
    }

    /// Inserts `attempt` unless the key is known; otherwise returns the known attempt.
    fn insert_if_absent(&self, key: &AttemptKey, attempt: &Arc<Attempt>) -> Option<Arc<Attempt>> {
        let before = self.attempts.rcu(|attempts| {
            if attempts.contains_key(key) {
                Arc::clone(attempts)
            } else {
                Arc::new(attempts.update(key.clone(), Arc::clone(attempt)))
            }
        });
        before.get(key).map(Arc::clone)
    }
}

fn is_expired(attempt: &Attempt, now: Timestamp) -> bool {
    now >= attempt.expires_at && attempt.outcome.borrow().is_some()
}
