use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanwinch_targets::Executor;
use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Incarnation;
use rattanwinch_types::MAX_DEADLINE_AHEAD;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use tokio::task::JoinError;

use crate::agent_state::AgentState;
use crate::attempt_table::Outcome;
use crate::attempt_table::Registration;

/// The result of running or querying an attempt.
pub(crate) type Result<T> = std::result::Result<T, RequestError>;

/// How long attempts are kept after their deadline, to allow for clock differences.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_secs(60);

/// Counts a plain request as in flight until it is dropped.
struct InFlightGuard<E>(Arc<AgentState<E>>);

impl<E> Drop for InFlightGuard<E> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<E: Executor> AgentState<E> {
    /// Runs an attempt at a plain request that was sent to the agent with `incarnation`.
    pub async fn run_attempt(
        self: &Arc<Self>,
        req: PlainRequest,
        attempt: AttemptKey,
        incarnation: Incarnation,
    ) -> Result<Answer> {
        if incarnation != self.incarnation {
            return Err(RequestError::not_run(
                ErrorKind::Unavailable,
                "the agent was restarted after the request was routed to it",
            ));
        }
        if req.idempotent {
            return self.run_in_slot(req, attempt).await;
        }
        match self
            .attempts
            .register(&attempt, req.deadline + CLOCK_SKEW_MARGIN)
        {
            Registration::Known(known) => known.outcome().await,
            Registration::New(running) => {
                let state = Arc::clone(self);
                // Runs in a separate task, because the call's future is dropped with its connection
                // but the attempt's outcome must still be recorded.
                let run = tokio::spawn(async move {
                    let outcome = state.run_in_slot(req, attempt).await;
                    state.attempts.finish(running, outcome.clone());
                    outcome
                });
                run.await.unwrap_or_else(|error| Err(panic_error(&error)))
            }
        }
    }

    /// Waits for the outcome of an attempt; if the attempt is unknown, records that it will never
    /// run and returns `None`.
    pub async fn attempt_outcome(&self, attempt: &AttemptKey) -> Option<Outcome> {
        let expires_at = self.clock.now() + MAX_DEADLINE_AHEAD + CLOCK_SKEW_MARGIN;
        let known = self.attempts.find_or_tombstone(attempt, expires_at)?;
        Some(known.outcome().await)
    }

    /// Waits for a slot and runs the request in it.
    async fn run_in_slot(
        self: &Arc<Self>,
        req: PlainRequest,
        attempt: AttemptKey,
    ) -> Result<Answer> {
        let in_flight = self.admit()?;
        let limit = self.clock.now().until(req.deadline);
        let slot = Arc::clone(&self.slots).acquire_owned();
        let Ok(Ok(slot)) = tokio::time::timeout(limit, slot).await else {
            let message = "the deadline passed while the request waited for a slot";
            return Err(RequestError::not_run(ErrorKind::Deadline, message));
        };
        // The zone may have been closed while the request waited. The executor enforces the end of
        // the permission, because the agent may be frozen before the call reaches the executor.
        let now = self.clock.now();
        let gate = self.gate.load_full();
        gate.check_plain_request(now)?;
        self.check_start_invariants(&gate, false, now);
        let start_before = gate.plain_until();
        let state = Arc::clone(self);
        // Runs in a separate task, because the call's future is dropped with its connection while
        // the executor continues: the executor would refuse a request for a slot freed too early.
        let run = tokio::spawn(async move {
            let _held = (in_flight, slot);
            let limit = now.until(req.deadline);
            let executor = &state.executor;
            executor
                .run_request(&attempt, &req.payload, limit, start_before)
                .await
        });
        run.await.unwrap_or_else(|error| Err(panic_error(&error)))
    }

    /// Admits a request if the gate and the limit on waiting requests allow it.
    fn admit(self: &Arc<Self>) -> Result<InFlightGuard<E>> {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let in_flight = InFlightGuard(Arc::clone(self));
        self.gate.load().check_plain_request(self.clock.now())?;
        if before >= u32::from(self.settings.slots) + self.settings.queue {
            let message = format!("the target's queue is full: {before} requests run or wait");
            return Err(RequestError::not_run(ErrorKind::Busy, message));
        }
        Ok(in_flight)
    }
}

fn panic_error(error: &JoinError) -> RequestError {
    let message = format!("internal error: the task of the attempt panicked: {error}");
    RequestError::may_have_run(ErrorKind::Failed, message)
}
