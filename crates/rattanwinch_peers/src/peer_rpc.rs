use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireConfigCopy;
use crate::WirePeerState;

/// The interface of an entry to other entries. All calls are idempotent.
#[rpc(client, server, namespace = "peer")]
pub trait PeerRpc {
    /// Exchanges state with another entry.
    #[method(name = "ping")]
    async fn ping(&self, state: WirePeerState) -> RpcResult<WirePeerState>;

    /// Returns the configuration that the entry has applied.
    #[method(name = "config")]
    async fn config(&self) -> RpcResult<WireConfigCopy>;
}
