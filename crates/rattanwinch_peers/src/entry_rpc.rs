use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireHeartbeat;
use crate::WireHeartbeatResponse;

/// The interface of an entry to agents. All calls are idempotent.
#[rpc(client, server, namespace = "entry")]
pub trait EntryRpc {
    /// Receives an agent's heartbeat.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: WireHeartbeat) -> RpcResult<WireHeartbeatResponse>;
}
