use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rattanwinch_callers::PlainBackend;
use rattanwinch_callers::Result;
use rattanwinch_peers::AgentRpcClient as _;
use rattanwinch_peers::WirePlainAttempt;
use rattanwinch_peers::request_error;
use rattanwinch_platform::Store;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use rattanwinch_types::Verdict;

use crate::burn::met_service_level;
use crate::entry_state::EntryState;
use crate::retry_exclusions::RetryExclusions;
use crate::target::Target;

/// The maximum number of targets that one request is sent to.
const MAX_TARGETS_PER_REQUEST: usize = 3;

/// Runs callers' plain requests.
#[derive(Debug)]
pub(crate) struct EntryPlainBackend<S>(pub Arc<EntryState<S>>);

impl<S: Store> PlainBackend for EntryPlainBackend<S> {
    async fn run(&self, req: PlainRequest) -> Result<Answer> {
        let _in_flight = self.0.count_in_flight();
        let organisation = req.key.organisation.clone();
        let outcome = self.0.run_plain(req).await;
        if let Some(good) = met_service_level(outcome.as_ref().err()) {
            self.0.burn_counters.record(&organisation, good);
        }
        let verdict = outcome
            .as_ref()
            .map_or_else(|error| error.verdict, |_| Verdict::Ran);
        counter!("plain_requests_total", "verdict" => verdict.as_str()).increment(1);
        outcome
    }
}

impl<S: Store> EntryState<S> {
    async fn run_plain(self: &Arc<Self>, req: PlainRequest) -> Result<Answer> {
        req.check(self.clock.now())?;
        self.check_organisation(&req)?;
        if req.idempotent {
            self.run_idempotent(&req).await
        } else {
            self.run_at_most_once(&req).await
        }
    }

    fn check_organisation(&self, req: &PlainRequest) -> Result<()> {
        let control = self.control.load();
        if control.revision == Revision::default() {
            let message = "this entry has not read the configuration yet";
            return Err(RequestError::not_run(ErrorKind::Unavailable, message));
        }
        if !control.config.has_organisation(&req.key.organisation) {
            let name = &req.key.organisation;
            let message = format!("organisation {name} is not configured");
            return Err(RequestError::not_run(ErrorKind::NotFound, message));
        }
        Ok(())
    }

    /// Tries targets one after another, within the retry budget.
    async fn run_idempotent(&self, req: &PlainRequest) -> Result<Answer> {
        let mut exclusions = RetryExclusions::default();
        let mut worst_verdict = Verdict::NotRun;
        loop {
            let target = match self.pick_target(&exclusions) {
                Ok(target) => target,
                Err(error) => return Err(error.with_verdict_at_least(worst_verdict)),
            };
            let error = match self.run_with_reconnects(&target, req).await {
                Ok(answer) => {
                    self.retry_budget.deposit();
                    return Ok(answer);
                }
                Err(error) => error.with_verdict_at_least(worst_verdict),
            };
            worst_verdict = error.verdict;
            exclusions.record_failure(&target, &error);
            let retryable = matches!(error.kind, ErrorKind::Busy | ErrorKind::Unavailable);
            let closed = error.kind == ErrorKind::Closed;
            let attempt_left = exclusions.targets.len() < MAX_TARGETS_PER_REQUEST
                && self.clock.now() < req.deadline;
            // Each request tries a closed zone at most once, until the entry has read of the
            // closure, so these retries are bounded without the budget.
            if closed && attempt_left {
                self.control_read_requested.notify_one();
            } else if !retryable || !attempt_left || !self.retry_budget.try_withdraw() {
                // An idempotent request may run twice, so one whose answer was lost is retried as
                // well.
                return Err(error);
            }
            counter!("plain_retries_total").increment(1);
        }
    }

    /// Sends an idempotent request to one target, and sends it again over each connection that
    /// replaces an unresponsive one. The target is not at fault, so it is not excluded and no retry
    /// budget is spent. A replacement takes a second, so the deadline bounds the number of sends.
    async fn run_with_reconnects(
        &self,
        target: &Arc<Target>,
        req: &PlainRequest,
    ) -> Result<Answer> {
        loop {
            let client = target.connection.client()?;
            let outcome = self.run_on_target(target, req, 1).await;
            let Err(error) = outcome else {
                return outcome;
            };
            let replaced = target
                .connection
                .client()
                .is_ok_and(|now| !Arc::ptr_eq(&now, &client));
            if !replaced || error.verdict != Verdict::MayHaveRun || self.clock.now() >= req.deadline
            {
                return Err(error);
            }
            counter!("plain_resends_total").increment(1);
        }
    }

    /// Picks a target that accepts requests and is not excluded.
    pub(crate) fn pick_target(&self, exclusions: &RetryExclusions) -> Result<Arc<Target>> {
        let now = self.clock.now();
        let draw = rand::random();
        self.fleet
            .pick(&self.settings.zone, exclusions, draw, now)
            .ok_or_else(|| {
                let message = "no target in an open availability zone accepts requests now";
                RequestError::not_run(ErrorKind::Unavailable, message)
            })
    }

    /// Sends one attempt to one target, and waits for the answer until the deadline passes or the
    /// connection is replaced as unresponsive.
    pub(crate) async fn run_on_target(
        &self,
        target: &Arc<Target>,
        req: &PlainRequest,
        attempt: u32,
    ) -> Result<Answer> {
        let client = target.connection.client()?;
        let _in_flight = target.track_request();
        let wire = WirePlainAttempt::new(req, attempt, target.incarnation);
        let limit = self.clock.now().until(req.deadline);
        let call = tokio::time::timeout(limit, client.run_request(wire));
        let response = tokio::select! {
            response = call => response,
            _ = target.connection.wait_until_disconnected(&client) => return Err(connection_lost()),
        };
        match response {
            Ok(Ok(answer)) => Answer::try_from(answer).map_err(|error| {
                let message = format!("invalid answer from the agent: {error}");
                RequestError::may_have_run(ErrorKind::Unavailable, message)
            }),
            Ok(Err(error)) => Err(request_error(&error)),
            Err(_) => Err(deadline_passed(limit)),
        }
    }
}

fn deadline_passed(limit: Duration) -> RequestError {
    let message = format!(
        "the target did not answer within the remaining {} ms",
        limit.as_millis()
    );
    RequestError::may_have_run(ErrorKind::Deadline, message)
}

/// The request was sent over a connection that was replaced since, so no answer can arrive.
fn connection_lost() -> RequestError {
    let message = "the connection to the target stopped responding before the answer arrived";
    RequestError::may_have_run(ErrorKind::Unavailable, message)
}
