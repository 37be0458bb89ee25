use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireAnswer;
use crate::WireCall;
use crate::WireLeader;
use crate::WireLeaderStatus;
use crate::WireOrders;
use crate::WireReport;
use crate::WireReportAnswer;
use crate::WireResults;

/// RPC API of a front for other fronts and agents. Every call may be repeated.
#[rpc(client, server, namespace = "front")]
pub trait FrontRpc {
    /// Returns the leader, if this front has had recent contact with it. `asker` is the address of
    /// the asking front, if a front asks, `cpu_percent` its share of a core, and `can_lead`
    /// states whether the store has answered it recently.
    #[method(name = "leader")]
    async fn leader(
        &self,
        asker: Option<SocketAddr>,
        cpu_percent: Option<u32>,
        can_lead: Option<bool>,
    ) -> RpcResult<Option<WireLeaderStatus>>;

    /// Returns the time since this front's last contact with the leader, in milliseconds.
    #[method(name = "leader_silence_ms")]
    async fn leader_silence_ms(&self) -> RpcResult<u64>;

    /// Announces the leader.
    #[method(name = "announce")]
    async fn announce(&self, leader: WireLeader) -> RpcResult<()>;

    /// Handles a caller's call. Fails with [`crate::RpcError::NotLeading`] on a front that isn't
    /// the leader, which then has done nothing.
    #[method(name = "call")]
    async fn call(&self, call: WireCall) -> RpcResult<WireAnswer>;

    /// Handles an agent's report; fails as [`Self::call`] does.
    #[method(name = "report")]
    async fn report(&self, report: WireReport) -> RpcResult<WireReportAnswer>;
}

/// RPC API of an agent for the leader. Every call may be repeated.
#[rpc(client, server, namespace = "agent")]
pub trait AgentRpc {
    /// Carries out orders.
    #[method(name = "execute")]
    async fn execute(&self, orders: WireOrders) -> RpcResult<WireResults>;

    /// Announces the leader, which expects the agent's report.
    #[method(name = "announce")]
    async fn announce(&self, leader: WireLeader) -> RpcResult<()>;
}
