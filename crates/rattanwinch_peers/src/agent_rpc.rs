use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireAnswer;
use crate::WireAttemptKey;
use crate::WireAttemptOutcome;
use crate::WirePlainAttempt;

/// The interface of an agent to entries for plain requests. All calls are idempotent.
#[rpc(client, server, namespace = "agent")]
pub trait AgentRpc {
    /// Checks the connection; returns the agent's incarnation.
    #[method(name = "ping")]
    async fn ping(&self) -> RpcResult<u64>;

    /// Runs one attempt at a plain request in a slot.
    #[method(name = "run_request")]
    async fn run_request(&self, attempt: WirePlainAttempt) -> RpcResult<WireAnswer>;

    /// Waits for the outcome of an attempt at a non-idempotent request, or records that an unknown
    /// attempt will never run.
    #[method(name = "attempt_outcome")]
    async fn attempt_outcome(&self, attempt: WireAttemptKey) -> RpcResult<WireAttemptOutcome>;
}
