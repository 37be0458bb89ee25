use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireExplanation;
use crate::WireJobSpec;
use crate::WireJobStatus;
use crate::WireRequestKey;

/// The interface of the decider of an availability zone to other entries. All calls are idempotent.
#[rpc(client, server, namespace = "job")]
pub trait JobRpc {
    /// Adds a job to the queue of a zone that this entry decides; the job must already be recorded
    /// in the store.
    #[method(name = "submit_job")]
    async fn submit_job(&self, zone: String, job: WireJobSpec) -> RpcResult<WireJobStatus>;

    /// Returns a job's status, at once or when it has finished, at most `wait_ms` later.
    #[method(name = "job_status")]
    async fn job_status(&self, key: WireRequestKey, wait_ms: u64) -> RpcResult<WireJobStatus>;

    /// Cancels a job and returns its status afterwards.
    #[method(name = "cancel_job")]
    async fn cancel_job(&self, key: WireRequestKey) -> RpcResult<WireJobStatus>;

    /// Returns the decisions about a job, oldest first.
    #[method(name = "explain_job")]
    async fn explain_job(&self, key: WireRequestKey) -> RpcResult<Vec<WireExplanation>>;
}
