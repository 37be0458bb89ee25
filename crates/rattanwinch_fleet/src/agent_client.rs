use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use rattanwinch_types::InvalidName;

use crate::AgentOrders;
use crate::LeaderInfo;
use crate::OrderResults;
use crate::RpcFailure;
use crate::front_client::http_client;
use crate::rpc::AgentRpcClient;
use crate::rpc_error::within;

/// What a call to an agent returns.
pub type Result<T> = std::result::Result<T, RpcFailure>;

/// Calls one agent over HTTP; see [`crate::FrontClient`] for silent connections.
#[derive(Clone)]
pub struct AgentClient {
    address: SocketAddr,
    client: HttpClient,
}

impl fmt::Debug for AgentClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("AgentClient").field(&self.address).finish()
    }
}

impl AgentClient {
    /// Makes a client; it connects with the first call.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be set up, which its fixed settings rule out.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: http_client(address),
        }
    }

    /// The agent's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells the agent who schedules now.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn announce(&self, leader: LeaderInfo, limit: Duration) -> Result<()> {
        within(limit, self.client.announce(leader.into())).await
    }

    /// Gives orders.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`; the orders may still be carried out
    /// until they go out of date.
    pub async fn execute(&self, orders: &AgentOrders, limit: Duration) -> Result<OrderResults> {
        let answer = within(limit, self.client.execute(orders.into())).await?;
        answer
            .try_into()
            .map_err(|error: InvalidName| RpcFailure::Unanswered(Box::new(error)))
    }
}
