use std::net::SocketAddr;
use std::time::Duration;

use crate::AgentOrders;
use crate::LeaderInfo;
use crate::OrderResults;
use crate::RpcError;
use crate::peer_client::PeerClient;
use crate::rpc::AgentRpcClient;
use crate::rpc_error::with_timeout;

/// Result of a call to an agent.
pub type Result<T> = std::result::Result<T, RpcError>;

/// Calls one agent over HTTP.
#[derive(Clone, Debug)]
pub struct AgentClient {
    peer: PeerClient,
}

impl AgentClient {
    /// Creates a client; it connects with the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            peer: PeerClient::new(address),
        }
    }

    /// The agent's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Announces the leader to the agent.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`.
    pub async fn announce(&self, leader: LeaderInfo, timeout: Duration) -> Result<()> {
        with_timeout(timeout, self.peer.http.announce(leader.into())).await
    }

    /// Sends orders.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`; the agent may still carry out the orders
    /// until they expire.
    pub async fn execute(&self, orders: &AgentOrders, timeout: Duration) -> Result<OrderResults> {
        let answer = with_timeout(timeout, self.peer.http.execute(orders.into())).await?;
        Ok(answer.into())
    }
}
