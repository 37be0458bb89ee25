use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireHeartbeat;
use crate::WireHeartbeatResponse;

/// What an entry serves to agents. Every call may be repeated.
#[rpc(client, server, namespace = "entry")]
pub trait EntryRpc {
    /// Takes an agent's heartbeat.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: WireHeartbeat) -> RpcResult<WireHeartbeatResponse>;
}
