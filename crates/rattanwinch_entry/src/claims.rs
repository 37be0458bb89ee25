//! Runs non-idempotent requests: writes claims to the store, sends attempts, and queries their
//! outcomes.

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

use crate::entry_state::EntryState;
use crate::retry_exclusions::RetryExclusions;
use crate::target::Target;

/// The time that the store may take to write a claim; after it the caller may retry with the same
/// id.
const CLAIM_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval between outcome queries to a target that does not respond.
const OUTCOME_QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// The time that an unknown target has to send a heartbeat before its agent counts as gone. An
/// entry that has just started receives heartbeats from every live agent within it.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

impl<S: Store> EntryState<S> {
    /// Runs a request at most once.
    pub(crate) async fn run_at_most_once(self: &Arc<Self>, req: &PlainRequest) -> Result<Answer> {
        let mut exclusions = RetryExclusions::default();
        let mut step = ClaimStep::PickTarget(Claim::new(req.digest(), req.first_submission));
        loop {
            step = match step {
                ClaimStep::PickTarget(claim) => self.claim_attempt(req, claim, &exclusions).await,
                ClaimStep::Dispatch(claim) => self.dispatch(req, claim, &mut exclusions).await,
                ClaimStep::QueryTarget(claim) => self.query_outcome(req, claim).await,
                ClaimStep::Done { outcome, record } => {
                    if let Some((record, revision)) = record {
                        let recording = self.record_outcome(req, record, revision);
                        // A caller that gets an error may retry at once, and the retry has to find
                        // the record.
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
        exclusions: &RetryExclusions,
    ) -> ClaimStep {
        match self.pick_target(exclusions) {
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
        let limit = CLAIM_WRITE_TIMEOUT.min(self.clock.now().until(req.deadline));
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
                warn!(self.logger, "failed to write the claim to the store; its state is unknown";
                    "request" => %req.key,
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
        exclusions: &mut RetryExclusions,
    ) -> ClaimStep {
        let attempt = claim.attempt();
        let (name, incarnation) = (claim.target().clone(), claim.incarnation());
        let target = self
            .fleet
            .target(&name)
            .filter(|known| known.incarnation == incarnation);
        let Some(target) = target else {
            exclusions.targets.push(name);
            return claim.handle_dispatch_outcome(Err(agent_replaced()));
        };
        // Writing the claim may have taken seconds, and an agent stops soon after it reports that
        // it is leaving: the answer to a request sent now could be lost.
        let outcome = if target.is_leaving() {
            Err(agent_leaving())
        } else {
            self.run_on_target(&target, req, attempt).await
        };
        if let Err(error) = &outcome {
            exclusions.record_failure(&target, error);
        }
        claim.handle_dispatch_outcome(outcome)
    }

    /// Queries the target for an attempt's outcome until it responds, is gone, or the deadline
    /// passes.
    async fn query_outcome(&self, req: &PlainRequest, claim: Claim<Dispatched>) -> ClaimStep {
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
                    if let Some(response) =
                        query_target(&target, &key, now.until(req.deadline)).await
                    {
                        return claim.handle_query_response(response);
                    }
                }
                Some(_) => return claim.handle_query_response(AttemptQueryResponse::AgentReplaced),
                None if now.since(started) >= FIRST_HEARTBEAT_TIMEOUT => {
                    return claim.handle_query_response(AttemptQueryResponse::AgentReplaced);
                }
                None => {}
            }
            tokio::time::sleep(OUTCOME_QUERY_INTERVAL).await;
        }
    }

    /// Records a request's outcome, so that a retry gets the answer after the agent is gone.
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
            // The caller has its answer. Without the record, a retry queries the agent.
            if let Err(error) = state.store.transact(transaction).await {
                counter!("claim_outcomes_unrecorded_total").increment(1);
                warn!(state.logger, "failed to record the request's outcome in the store";
                    "error" => %error);
            }
        })
    }
}

async fn query_target(
    target: &Arc<Target>,
    key: &AttemptKey,
    limit: Duration,
) -> Option<AttemptQueryResponse> {
    let client = target.connection.client().ok()?;
    let call = client.attempt_outcome(WireAttemptKey::from(key.clone()));
    let response = tokio::select! {
        response = tokio::time::timeout(limit, call) => response.ok()?.ok()?,
        _ = target.connection.wait_until_disconnected(&client) => return None,
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

/// The target started leaving after it was picked, so the request is not sent.
fn agent_leaving() -> RequestError {
    let message = "the target started leaving before the request was sent to it";
    RequestError::not_run(ErrorKind::Unavailable, message)
}

/// The agent that the attempt was claimed for has been replaced, so the request is not sent.
fn agent_replaced() -> RequestError {
    let message = "the target's agent was replaced before the request was sent to it";
    RequestError::not_run(ErrorKind::Unavailable, message)
}
