use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_types::InvalidName;

use crate::AgentOrders;
use crate::LeaderInfo;
use crate::OrderResults;
use crate::RpcFailure;
use crate::peer_client::PeerClient;
use crate::rpc::AgentRpcClient;
use crate::rpc_error::within;

/// What a call to an agent returns.
pub type Result<T> = std::result::Result<T, RpcFailure>;

/// Calls one agent over HTTP.
#[derive(Clone, Debug)]
pub struct AgentClient {
    peer: PeerClient,
}

impl AgentClient {
    /// Makes a client; it connects with the first call.
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

    /// Tells the agent who schedules now.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn announce(&self, leader: LeaderInfo, limit: Duration) -> Result<()> {
        within(limit, self.peer.http.announce(leader.into())).await
    }

    /// Gives orders.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`; the orders may still be carried out
    /// until they go out of date.
    pub async fn execute(&self, orders: &AgentOrders, limit: Duration) -> Result<OrderResults> {
        let answer = within(limit, self.peer.http.execute(orders.into())).await?;
        answer
            .try_into()
            .map_err(|error: InvalidName| RpcFailure::Unanswered(Box::new(error)))
    }
}
