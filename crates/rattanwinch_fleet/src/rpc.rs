use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireAnswer;
use crate::WireCall;
use crate::WireLeader;
use crate::WireLeaderWord;
use crate::WireOrders;
use crate::WireReport;
use crate::WireReportAnswer;
use crate::WireResults;

/// What a front serves to other fronts and to agents. Every call may be repeated.
#[rpc(client, server, namespace = "front")]
pub trait FrontRpc {
    /// The front that schedules, as far as this one knows; its leadership was confirmed lately.
    /// `asker` is where the asking front serves others, if a front asks.
    #[method(name = "leader")]
    async fn leader(&self, asker: Option<SocketAddr>) -> RpcResult<Option<WireLeaderWord>>;

    /// How long ago this front last heard the one that schedules, in milliseconds.
    #[method(name = "leader_silence_ms")]
    async fn leader_silence_ms(&self) -> RpcResult<u64>;

    /// Tells that the named front schedules now.
    #[method(name = "announce")]
    async fn announce(&self, leader: WireLeader) -> RpcResult<()>;

    /// Answers a caller's call; fails with [`crate::RpcFailure::NotLeading`] on a front that
    /// doesn't schedule, which then has done nothing.
    #[method(name = "call")]
    async fn call(&self, call: WireCall) -> RpcResult<WireAnswer>;

    /// Takes an agent's report; fails as [`Self::call`] does.
    #[method(name = "report")]
    async fn report(&self, report: WireReport) -> RpcResult<WireReportAnswer>;
}

/// What an agent serves to the front that schedules. Every call may be repeated.
#[rpc(client, server, namespace = "agent")]
pub trait AgentRpc {
    /// Carries out orders.
    #[method(name = "execute")]
    async fn execute(&self, orders: WireOrders) -> RpcResult<WireResults>;

    /// Tells that the named front schedules now and expects the agent's report.
    #[method(name = "announce")]
    async fn announce(&self, leader: WireLeader) -> RpcResult<()>;
}
