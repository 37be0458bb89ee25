use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireAnswer;
use crate::WireHoldOrder;
use crate::WireMemberKey;
use crate::WireMemberReport;
use crate::WireStopOrder;

/// The interface of an agent to the decider of its availability zone. All calls are idempotent.
#[rpc(client, server, namespace = "gang")]
pub trait GangRpc {
    /// Accepts a decider's epoch and returns all members; a lower epoch is refused as fenced.
    #[method(name = "adopt")]
    async fn adopt(&self, epoch: i64) -> RpcResult<Vec<WireMemberReport>>;

    /// Holds accelerators for one member and loads its task.
    #[method(name = "hold")]
    async fn hold(&self, order: WireHoldOrder) -> RpcResult<()>;

    /// Runs a held member.
    #[method(name = "release")]
    async fn release(&self, member: WireMemberKey, epoch: i64) -> RpcResult<()>;

    /// Aborts a member in any phase, and records that the attempt must not start here later.
    #[method(name = "abort")]
    async fn abort(&self, member: WireMemberKey, epoch: i64) -> RpcResult<()>;

    /// Throttles, checkpoints or stops a running member.
    #[method(name = "stop")]
    async fn stop(&self, order: WireStopOrder, epoch: i64) -> RpcResult<()>;

    /// Returns the output of a member that succeeded.
    #[method(name = "collect")]
    async fn collect(&self, member: WireMemberKey) -> RpcResult<WireAnswer>;
}
