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

use crate::avoided::Avoided;
use crate::burn::met_service_level;
use crate::entry_state::EntryState;
use crate::target::Target;

/// Targets that a request is sent to at the most.
const MAX_TARGETS: usize = 3;

/// What callers' plain requests are handed to.
#[derive(Debug)]
pub(crate) struct PlainRequests<S>(pub Arc<EntryState<S>>);

impl<S: Store> PlainBackend for PlainRequests<S> {
    async fn run(&self, req: PlainRequest) -> Result<Answer> {
        let _in_flight = self.0.count_in_flight();
        let organisation = req.key.organisation.clone();
        let outcome = self.0.run_plain(req).await;
        if let Some(good) = met_service_level(outcome.as_ref().err()) {
            self.0.burn.record(&organisation, good);
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
            self.run_once(&req).await
        }
    }

    fn check_organisation(&self, req: &PlainRequest) -> Result<()> {
        let control = self.control.load();
        if control.revision == Revision::default() {
            let message = "this entry hasn't read the configuration yet";
            return Err(RequestError::not_run(ErrorKind::Unavailable, message));
        }
        if !control.config.has_organisation(&req.key.organisation) {
            let name = &req.key.organisation;
            let message = format!("organisation {name} isn't in the configuration");
            return Err(RequestError::not_run(ErrorKind::NotFound, message));
        }
        Ok(())
    }

    /// Tries one target after another, within the retry budget.
    async fn run_idempotent(&self, req: &PlainRequest) -> Result<Answer> {
        let mut avoided = Avoided::default();
        let mut worst = Verdict::NotRun;
        loop {
            let target = match self.pick_target(&avoided) {
                Ok(target) => target,
                Err(error) => return Err(error.with_verdict_at_least(worst)),
            };
            let error = match self.run_over_replacements(&target, req).await {
                Ok(answer) => {
                    self.retries.earn();
                    return Ok(answer);
                }
                Err(error) => error.with_verdict_at_least(worst),
            };
            worst = error.verdict;
            avoided.add(&target, &error);
            let elsewhere = matches!(error.kind, ErrorKind::Busy | ErrorKind::Unavailable);
            let closed = error.kind == ErrorKind::Closed;
            let room = avoided.targets.len() < MAX_TARGETS && self.clock.now() < req.deadline;
            // A closed zone is tried once by each request until the entry has read of the closing,
            // so these retries are bounded without the budget.
            if closed && room {
                self.control_wanted.notify_one();
            } else if !elsewhere || !room || !self.retries.spend() {
                // An idempotent request may run twice, so a lost answer is tried again as well.
                return Err(error);
            }
            counter!("plain_retries_total").increment(1);
        }
    }

    /// Sends an idempotent request to one target, again over each connection that replaces a
    /// silent one. The target isn't at fault, so it isn't avoided and no retry budget is spent; a
    /// replacement takes a second, so the deadline bounds the sends.
    async fn run_over_replacements(
        &self,
        target: &Arc<Target>,
        req: &PlainRequest,
    ) -> Result<Answer> {
        loop {
            let client = target.connection.client()?;
            let outcome = self.run_at(target, req, 1).await;
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

    /// Picks a target that takes requests now and isn't avoided.
    pub(crate) fn pick_target(&self, avoided: &Avoided) -> Result<Arc<Target>> {
        let now = self.clock.now();
        let draw = rand::random();
        self.fleet
            .pick(&self.settings.zone, avoided, draw, now)
            .ok_or_else(|| {
                let message = "no target in an open availability zone takes requests now";
                RequestError::not_run(ErrorKind::Unavailable, message)
            })
    }

    /// Sends one attempt to one target and waits until the deadline, or until its connection
    /// is given up because it fell silent.
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
        let call = tokio::time::timeout(limit, client.run_request(wire));
        let response = tokio::select! {
            response = call => response,
            _ = target.connection.given_up(&client) => return Err(connection_lost()),
        };
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

/// The request went out on a connection that was given up, so its answer won't come there.
fn connection_lost() -> RequestError {
    let message = "the connection to the target fell silent";
    RequestError::may_have_run(ErrorKind::Unavailable, message)
}
