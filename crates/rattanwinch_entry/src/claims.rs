//! Carries out what a claim needs: the writes to the store, the sending and the asking.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use rattanwinch_callers::Result;
use rattanwinch_decisions::AttemptQueryResponse;
use rattanwinch_decisions::Claim;
use rattanwinch_decisions::ClaimStep;
use rattanwinch_decisions::Claimed;
use rattanwinch_decisions::Dispatched;
use rattanwinch_decisions::Proposed;
use rattanwinch_decisions::Unclaimed;
use rattanwinch_decisions::WriteResponse;
use rattanwinch_peers::AgentRpcClient as _;
use rattanwinch_peers::WireAttemptKey;
use rattanwinch_peers::WireAttemptOutcome;
use rattanwinch_platform::Condition;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::WireClaimRecord;
use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::ClaimRecord;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use slog::warn;
use tokio::task::JoinHandle;

use crate::avoided::Avoided;
use crate::entry_state::EntryState;
use crate::target::Target;

/// The longest wait for the store's word on a claim; the caller may try again with the same id.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// The time between two tries to ask a target that doesn't answer.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// How long a target that isn't known may take to announce itself before its agent counts as
/// gone: an entry that has just started hears every live agent within it.
const ANNOUNCE_LIMIT: Duration = Duration::from_secs(3);

impl<S: Store> EntryState<S> {
    /// Runs a request that must run at most once.
    pub(crate) async fn run_once(self: &Arc<Self>, req: &PlainRequest) -> Result<Answer> {
        let mut avoided = Avoided::default();
        let mut step = ClaimStep::PickTarget(Claim::new(req.digest(), req.first_submission));
        loop {
            step = match step {
                ClaimStep::PickTarget(claim) => self.claim_attempt(req, claim, &avoided).await,
                ClaimStep::Dispatch(claim) => self.dispatch(req, claim, &mut avoided).await,
                ClaimStep::QueryTarget(claim) => self.ask(req, claim).await,
                ClaimStep::Done { outcome, record } => {
                    if let Some((record, revision)) = record {
                        let recording = self.record_outcome(req, record, revision);
                        // A refused caller may send again at once, and has to find the record.
                        if outcome.is_err() {
                            let _ = recording.await;
                        }
                    }
                    return outcome;
                }
            };
        }
    }

    async fn claim_attempt(
        &self,
        req: &PlainRequest,
        claim: Claim<Unclaimed>,
        avoided: &Avoided,
    ) -> ClaimStep {
        match self.pick_target(avoided) {
            Ok(target) => {
                let claim = claim.propose(target.name.clone(), target.incarnation);
                let response = self.write_claim(req, &claim).await;
                claim.handle_write_response(response)
            }
            Err(error) => claim.reject(error),
        }
    }

    async fn write_claim(&self, req: &PlainRequest, claim: &Claim<Proposed>) -> WriteResponse {
        let key = keys::request_id(&req.key);
        let condition = match claim.expected() {
            None => Condition::Absent(Arc::clone(&key)),
            Some(revision) => Condition::ModifiedAt(Arc::clone(&key), revision),
        };
        let bytes = WireClaimRecord::from(claim.record().clone()).to_bytes();
        let transaction =
            Transaction::new()
                .with_condition(condition)
                .with_put(key, bytes, Retention::Day);
        let limit = CLAIM_TIMEOUT.min(self.clock.now().until(req.deadline));
        let response = tokio::time::timeout(limit, self.store.transact(transaction)).await;
        match response {
            Ok(Ok(TransactionOutcome::Applied(revision))) => WriteResponse::Applied(revision),
            Ok(Ok(TransactionOutcome::Conflict(found))) => match found.first() {
                None => WriteResponse::Missing,
                Some(found) => WireClaimRecord::parse(&found.value)
                    .map_or(WriteResponse::InUse, |record| {
                        WriteResponse::Found(record, found.revision)
                    }),
            },
            Ok(Err(error)) => {
                warn!(self.logger, "claim wasn't written"; "request" => %req.key,
                    "error" => %error);
                WriteResponse::Unknown
            }
            Err(_) => WriteResponse::Unknown,
        }
    }

    async fn dispatch(
        &self,
        req: &PlainRequest,
        claim: Claim<Claimed>,
        avoided: &mut Avoided,
    ) -> ClaimStep {
        let attempt = claim.attempt();
        let (name, incarnation) = (claim.target().clone(), claim.incarnation());
        let target = self
            .fleet
            .target(&name)
            .filter(|known| known.incarnation == incarnation);
        let Some(target) = target else {
            avoided.targets.push(name);
            return claim.handle_dispatch_outcome(Err(agent_replaced()));
        };
        // The claim may have waited seconds for the store, and the agent stops soon after it has
        // told that it leaves: a request sent then could lose its answer.
        let outcome = if target.is_leaving() {
            Err(agent_leaving())
        } else {
            self.run_at(&target, req, attempt).await
        };
        if let Err(error) = &outcome {
            avoided.add(&target, error);
        }
        claim.handle_dispatch_outcome(outcome)
    }

    /// Asks the target about an attempt until it answers, is gone, or the deadline passes.
    async fn ask(&self, req: &PlainRequest, claim: Claim<Dispatched>) -> ClaimStep {
        counter!("claims_asked_total").increment(1);
        let started = self.clock.now();
        let key = AttemptKey {
            key: req.key.clone(),
            attempt: claim.attempt(),
        };
        loop {
            let now = self.clock.now();
            if now >= req.deadline {
                return claim.handle_query_response(AttemptQueryResponse::Unreachable);
            }
            match self.fleet.target(claim.target()) {
                Some(target) if target.incarnation == claim.incarnation() => {
                    if let Some(response) = ask_target(&target, &key, now.until(req.deadline)).await
                    {
                        return claim.handle_query_response(response);
                    }
                }
                Some(_) => return claim.handle_query_response(AttemptQueryResponse::AgentReplaced),
                None if now.since(started) >= ANNOUNCE_LIMIT => {
                    return claim.handle_query_response(AttemptQueryResponse::AgentReplaced);
                }
                None => {}
            }
            tokio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Records how a request ended, so that a retry gets the answer after the agent is gone.
    fn record_outcome(
        self: &Arc<Self>,
        req: &PlainRequest,
        record: ClaimRecord,
        revision: Revision,
    ) -> JoinHandle<()> {
        let key = keys::request_id(&req.key);
        let bytes = WireClaimRecord::from(record).to_bytes();
        let transaction = Transaction::new()
            .with_condition(Condition::ModifiedAt(Arc::clone(&key), revision))
            .with_put(key, bytes, Retention::Day);
        let state = Arc::clone(self);
        tokio::spawn(async move {
            let _in_flight = state.count_in_flight();
            // The caller has its answer; without the record, a retry asks the agent.
            if let Err(error) = state.store.transact(transaction).await {
                counter!("claim_outcomes_unrecorded_total").increment(1);
                warn!(state.logger, "outcome wasn't recorded"; "error" => %error);
            }
        })
    }
}

async fn ask_target(
    target: &Arc<Target>,
    key: &AttemptKey,
    limit: Duration,
) -> Option<AttemptQueryResponse> {
    let client = target.connection.client().ok()?;
    let call = client.attempt_outcome(WireAttemptKey::from(key.clone()));
    let response = tokio::select! {
        response = tokio::time::timeout(limit, call) => response.ok()?.ok()?,
        _ = target.connection.given_up(&client) => return None,
    };
    match response {
        WireAttemptOutcome::Answered(answer) => Answer::try_from(answer)
            .ok()
            .map(|answer| AttemptQueryResponse::Ended(Ok(answer))),
        WireAttemptOutcome::Refused(error) => RequestError::try_from(error)
            .ok()
            .map(|error| AttemptQueryResponse::Ended(Err(error))),
        WireAttemptOutcome::NeverRuns => Some(AttemptQueryResponse::NeverRuns),
    }
}

/// The target has begun to leave since it was picked, so nothing is sent.
fn agent_leaving() -> RequestError {
    let message = "the target began to leave before the request was sent";
    RequestError::not_run(ErrorKind::Unavailable, message)
}

/// The agent that the attempt was claimed for has been replaced, so nothing is sent.
fn agent_replaced() -> RequestError {
    let message = "the target's agent was replaced before the request was sent";
    RequestError::not_run(ErrorKind::Unavailable, message)
}
