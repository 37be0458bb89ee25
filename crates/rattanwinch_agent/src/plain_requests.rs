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
use crate::attempt_table::Entered;
use crate::attempt_table::Outcome;

/// What running or asking for an attempt returns.
pub(crate) type Result<T> = std::result::Result<T, RequestError>;

/// Attempts are remembered this long after their deadline, for the difference of two clocks.
const CLOCK_MARGIN: Duration = Duration::from_secs(60);

/// Counts a plain request that runs or waits, until it is dropped.
struct InFlight<E>(Arc<AgentState<E>>);

impl<E> Drop for InFlight<E> {
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
                "the agent was restarted after the request had been routed to it",
            ));
        }
        if req.idempotent {
            return self.run_in_slot(req, attempt).await;
        }
        match self.attempts.enter(&attempt, req.deadline + CLOCK_MARGIN) {
            Entered::Known(known) => known.outcome().await,
            Entered::New(running) => {
                let state = Arc::clone(self);
                // A task of its own, because the call's future is dropped with its connection
                // and the attempt's outcome must be recorded all the same.
                let run = tokio::spawn(async move {
                    let outcome = state.run_in_slot(req, attempt).await;
                    state.attempts.finish(running, outcome.clone());
                    outcome
                });
                run.await.unwrap_or_else(|error| Err(panicked(&error)))
            }
        }
    }

    /// Waits for the outcome of an attempt, or records that it will never run: `None`.
    pub async fn attempt_outcome(&self, attempt: &AttemptKey) -> Option<Outcome> {
        let forget_at = self.clock.now() + MAX_DEADLINE_AHEAD + CLOCK_MARGIN;
        let known = self.attempts.find_or_forbid(attempt, forget_at)?;
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
        // The zone may have been closed while the request waited. The executor goes by the end of
        // the permission, because the agent may be frozen before the executor gets the call.
        let now = self.clock.now();
        let gate = self.gate.load_full();
        gate.check_plain_request(now)?;
        self.assert_may_start(&gate, false, now);
        let start_before = gate.plain_until();
        let state = Arc::clone(self);
        // A task of its own, because the call's future is dropped with its connection while the
        // executor goes on: a slot that is given away then is refused by the executor.
        let run = tokio::spawn(async move {
            let _held = (in_flight, slot);
            let limit = now.until(req.deadline);
            let executor = &state.executor;
            executor
                .run_request(&attempt, &req.payload, limit, start_before)
                .await
        });
        run.await.unwrap_or_else(|error| Err(panicked(&error)))
    }

    /// Admits a request if the gate and the bound on waiting requests allow.
    fn admit(self: &Arc<Self>) -> Result<InFlight<E>> {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        let in_flight = InFlight(Arc::clone(self));
        self.gate.load().check_plain_request(self.clock.now())?;
        if before >= u32::from(self.settings.slots) + self.settings.queue {
            let message = format!("{before} requests run or wait at the target");
            return Err(RequestError::not_run(ErrorKind::Busy, message));
        }
        Ok(in_flight)
    }
}

fn panicked(error: &JoinError) -> RequestError {
    let message = format!("the attempt ended in a panic: {error}");
    RequestError::may_have_run(ErrorKind::Failed, message)
}
