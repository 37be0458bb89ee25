use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rattanwinch_callers::PlainBackend;
use rattanwinch_callers::Result;
use rattanwinch_peers::AgentRpcClient as _;
use rattanwinch_peers::WirePlainAttempt;
use rattanwinch_peers::request_error;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use smallvec::SmallVec;

use crate::entry_state::EntryState;
use crate::target::Target;

/// Targets that a request is sent to at the most.
const MAX_TARGETS: usize = 3;

/// Counts a caller's request, until it is dropped.
struct InFlight<'a>(&'a AtomicU32);

impl<'a> InFlight<'a> {
    fn enter(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::AcqRel);
        Self(counter)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl PlainBackend for EntryState {
    async fn run(&self, req: PlainRequest) -> Result<Answer> {
        let _in_flight = InFlight::enter(&self.in_flight);
        let outcome = self.run_plain(req).await;
        let verdict = outcome
            .as_ref()
            .map_or_else(|error| error.verdict.as_str(), |_| "ran");
        counter!("plain_requests_total", "verdict" => verdict).increment(1);
        outcome
    }
}

impl EntryState {
    async fn run_plain(&self, req: PlainRequest) -> Result<Answer> {
        req.check(self.clock.now())?;
        if !req.idempotent {
            let message = "this entry takes idempotent requests only";
            return Err(RequestError::not_run(ErrorKind::Invalid, message));
        }
        self.run_idempotent(&req).await
    }

    /// Tries one target after another, within the retry budget.
    async fn run_idempotent(&self, req: &PlainRequest) -> Result<Answer> {
        let mut failed: SmallVec<[TargetName; MAX_TARGETS]> = SmallVec::new();
        loop {
            let target = self.pick_target(&failed)?;
            let error = match self.run_at(&target, req, 1).await {
                Ok(answer) => {
                    self.retries.earn();
                    return Ok(answer);
                }
                Err(error) => error,
            };
            failed.push(target.name.clone());
            // An idempotent request may run twice, so a lost answer is tried again as well.
            let elsewhere = matches!(error.kind, ErrorKind::Busy | ErrorKind::Unavailable);
            let room = failed.len() < MAX_TARGETS && self.clock.now() < req.deadline;
            if !elsewhere || !room || !self.retries.spend() {
                return Err(error);
            }
            counter!("plain_retries_total").increment(1);
        }
    }

    fn pick_target(&self, excluded: &[TargetName]) -> Result<Arc<Target>> {
        let now = self.clock.now();
        let draw = rand::random();
        self.fleet
            .pick(&self.settings.zone, excluded, draw, now)
            .ok_or_else(|| {
                let message = "no target in an open availability zone takes requests now";
                RequestError::not_run(ErrorKind::Unavailable, message)
            })
    }

    /// Sends one attempt to one target and waits until the deadline.
    pub(crate) async fn run_at(
        &self,
        target: &Arc<Target>,
        req: &PlainRequest,
        attempt: u32,
    ) -> Result<Answer> {
        let client = target.connection.client()?;
        let _sent = target.count_sent();
        let wire = WirePlainAttempt::new(req, attempt, target.incarnation);
        let limit = self.clock.now().until(req.deadline);
        let response = tokio::time::timeout(limit, client.run_request(wire)).await;
        match response {
            Ok(Ok(answer)) => Answer::try_from(answer).map_err(|error| {
                let message = format!("the agent's answer is damaged: {error}");
                RequestError::may_have_run(ErrorKind::Unavailable, message)
            }),
            Ok(Err(error)) => Err(request_error(&error)),
            Err(_) => Err(deadline_passed(limit)),
        }
    }
}

fn deadline_passed(limit: Duration) -> RequestError {
    let message = format!(
        "the target didn't answer in the {} ms left",
        limit.as_millis()
    );
    RequestError::may_have_run(ErrorKind::Deadline, message)
}
