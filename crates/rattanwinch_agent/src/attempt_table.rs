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

/// What became of an attempt.
pub(crate) type Outcome = Result<Answer, RequestError>;

/// Answers kept for retries, in bytes of text; an agent has 32 MB for everything. Older answers
/// stay, and the store has them all.
const MAX_KEPT_BYTES: usize = 8 * 1024 * 1024;

/// One attempt at a non-idempotent request.
#[derive(Debug)]
struct Attempt {
    /// The outcome, once there is one.
    outcome: watch::Sender<Option<Outcome>>,
    /// When it may be forgotten: a retry is refused by its deadline from then on.
    forget_at: Timestamp,
}

impl Attempt {
    fn new(outcome: Option<Outcome>, forget_at: Timestamp) -> Arc<Self> {
        Arc::new(Self {
            outcome: watch::Sender::new(outcome),
            forget_at,
        })
    }
}

/// How an attempt was found or entered.
#[derive(Debug)]
pub(crate) enum Entered {
    /// It is new; the caller must run it and report through [`RunningAttempt::finish`].
    New(RunningAttempt),
    /// It is known; its outcome comes or is there.
    Known(KnownAttempt),
}

/// An attempt that its holder has to run.
#[derive(Debug)]
pub(crate) struct RunningAttempt(Arc<Attempt>);

/// An attempt that runs or has ended.
#[derive(Debug)]
pub(crate) struct KnownAttempt(Arc<Attempt>);

impl KnownAttempt {
    /// Waits for the outcome.
    pub async fn outcome(self) -> Outcome {
        let mut rx = self.0.outcome.subscribe();
        // The sender lives in the attempt that this value holds, so the wait can't fail.
        let outcome = rx.wait_for(Option::is_some).await;
        outcome
            .ok()
            .and_then(|outcome| outcome.clone())
            .unwrap_or_else(|| {
                Err(RequestError::may_have_run(
                    ErrorKind::Failed,
                    "the attempt's outcome was lost",
                ))
            })
    }
}

/// The attempts at non-idempotent requests that this life of the agent has seen.
///
/// The map is immutable and replaced by compare-and-swap, so that requests never wait for one
/// another here.
#[derive(Debug, Default)]
pub(crate) struct AttemptTable {
    attempts: ArcSwap<HashMap<AttemptKey, Arc<Attempt>>>,
    kept_bytes: AtomicUsize,
}

impl AttemptTable {
    /// Enters an attempt that is to run, unless it is known.
    pub fn enter(&self, key: &AttemptKey, forget_at: Timestamp) -> Entered {
        let attempt = Attempt::new(None, forget_at);
        match self.insert_if_absent(key, &attempt) {
            None => Entered::New(RunningAttempt(attempt)),
            Some(known) => Entered::Known(KnownAttempt(known)),
        }
    }

    /// Finds an attempt, or records that it will never run and returns `None`.
    pub fn find_or_forbid(&self, key: &AttemptKey, forget_at: Timestamp) -> Option<KnownAttempt> {
        let refusal = RequestError::not_run(
            ErrorKind::Unavailable,
            "this attempt was recorded as never to run before it arrived",
        );
        let tombstone = Attempt::new(Some(Err(refusal)), forget_at);
        self.insert_if_absent(key, &tombstone).map(KnownAttempt)
    }

    /// Reports the outcome of an attempt to all who wait for it.
    pub fn finish(&self, running: RunningAttempt, outcome: Outcome) {
        let RunningAttempt(attempt) = running;
        let bytes = outcome.as_ref().map_or(0, |answer| answer.text().len());
        let kept = self.kept_bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        let outcome = if kept > MAX_KEPT_BYTES {
            self.kept_bytes.fetch_sub(bytes, Ordering::AcqRel);
            let message = "it ran; the agent has no room to keep the answer for a retry";
            Err(RequestError::new(Verdict::Ran, ErrorKind::Failed, message))
        } else {
            outcome
        };
        attempt.outcome.send_replace(Some(outcome));
    }

    /// Forgets what a retry can't ask for any longer.
    pub fn forget_expired(&self, now: Timestamp) {
        let before = self.attempts.load();
        let expired = before
            .iter()
            .filter(|(_, attempt)| is_forgettable(attempt, now));
        let expired: Vec<_> = expired.map(|(key, _)| key.clone()).collect();
        drop(before);
        for key in expired {
            self.forget(&key);
        }
    }

    fn forget(&self, key: &AttemptKey) {
        let before = self.attempts.rcu(|attempts| attempts.without(key));
        let Some(attempt) = before.get(key) else {
            return;
        };
        let outcome = attempt.outcome.borrow();
        if let Some(Ok(answer)) = &*outcome {
            self.kept_bytes
                .fetch_sub(answer.text().len(), Ordering::AcqRel);
        }
    }

    /// Inserts `attempt` unless the key is known; returns the known attempt.
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

fn is_forgettable(attempt: &Attempt, now: Timestamp) -> bool {
    now >= attempt.forget_at && attempt.outcome.borrow().is_some()
}
