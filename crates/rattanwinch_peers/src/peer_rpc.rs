use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireConfigCopy;
use crate::WirePeerState;

/// What an entry serves to other entries. Every call may be repeated.
#[rpc(client, server, namespace = "peer")]
pub trait PeerRpc {
    /// Exchanges state with another entry.
    #[method(name = "ping")]
    async fn ping(&self, state: WirePeerState) -> RpcResult<WirePeerState>;

    /// The configuration that the entry acts on.
    #[method(name = "config")]
    async fn config(&self) -> RpcResult<WireConfigCopy>;
}
