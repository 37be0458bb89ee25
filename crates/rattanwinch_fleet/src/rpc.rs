use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::WireAnswer;
use crate::WireCall;
use crate::WireLeader;
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
    async fn leader(&self, asker: Option<SocketAddr>) -> RpcResult<Option<WireLeader>>;

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
}
