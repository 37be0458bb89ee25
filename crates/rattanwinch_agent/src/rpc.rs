use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_peers::AgentRpcServer;
use rattanwinch_peers::InvalidMessage;
use rattanwinch_peers::WireAnswer;
use rattanwinch_peers::WireAttemptKey;
use rattanwinch_peers::WireAttemptOutcome;
use rattanwinch_peers::WirePlainAttempt;
use rattanwinch_peers::rpc_error;
use rattanwinch_targets::Executor;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Incarnation;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;

use crate::agent_state::AgentState;

/// The calls that entries make to an agent.
#[derive(Debug)]
pub(crate) struct AgentCalls<E>(pub Arc<AgentState<E>>);

pub(crate) fn invalid(error: &InvalidMessage) -> RequestError {
    RequestError::not_run(ErrorKind::Invalid, error.to_string())
}

#[async_trait]
impl<E: Executor> AgentRpcServer for AgentCalls<E> {
    async fn ping(&self) -> RpcResult<u64> {
        Ok(self.0.incarnation.0)
    }

    async fn run_request(&self, wire: WirePlainAttempt) -> RpcResult<WireAnswer> {
        let incarnation = Incarnation(wire.incarnation);
        let number = wire.attempt.attempt;
        let req = PlainRequest::try_from(wire).map_err(|error| rpc_error(invalid(&error)))?;
        let attempt = AttemptKey {
            key: req.key.clone(),
            attempt: number,
        };
        let outcome = self.0.run_attempt(req, attempt, incarnation).await;
        outcome.map(WireAnswer::from).map_err(rpc_error)
    }

    async fn attempt_outcome(&self, attempt: WireAttemptKey) -> RpcResult<WireAttemptOutcome> {
        let attempt = AttemptKey::try_from(attempt).map_err(|error| rpc_error(invalid(&error)))?;
        let outcome = self.0.attempt_outcome(&attempt).await;
        Ok(outcome.map_or(WireAttemptOutcome::NeverRuns, WireAttemptOutcome::from))
    }
}
