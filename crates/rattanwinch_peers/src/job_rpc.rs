use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireExplanation;
use crate::WireJobSpec;
use crate::WireJobStatus;
use crate::WireRequestKey;

/// What the decider of an availability zone serves to other entries. Every call may be repeated.
#[rpc(client, server, namespace = "job")]
pub trait JobRpc {
    /// Takes a job into the queue of a zone that this entry decides; the submission is already
    /// recorded in the store by this call.
    #[method(name = "submit_job")]
    async fn submit_job(&self, zone: String, job: WireJobSpec) -> RpcResult<WireJobStatus>;

    /// Answers a job's status, at once or when it has finished, at most `wait_ms` later.
    #[method(name = "job_status")]
    async fn job_status(&self, key: WireRequestKey, wait_ms: u64) -> RpcResult<WireJobStatus>;

    /// Cancels a job and answers its status after that.
    #[method(name = "cancel_job")]
    async fn cancel_job(&self, key: WireRequestKey) -> RpcResult<WireJobStatus>;

    /// Answers the decisions about a job, oldest first.
    #[method(name = "explain_job")]
    async fn explain_job(&self, key: WireRequestKey) -> RpcResult<Vec<WireExplanation>>;
}
