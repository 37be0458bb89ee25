//! JSON-RPC between the processes of a site: fronts and the agents beside targets.
//!
//! [`FrontRpcServer`] is what a front serves to other fronts and to agents, [`AgentRpcServer`]
//! what an agent serves to the front that schedules. [`FrontClient`] and [`AgentClient`] call
//! them with a time limit each. The `Wire` types are the messages; the values that they carry
//! are [`CallerCall`], [`CallerAnswer`], [`LeaderInfo`], [`AgentReport`], [`AgentOrders`] and
//! [`OrderResults`].
//!
//! This package isn't for decisions; see `rattanwinch_scheduling`.

mod agent_client;
mod agent_orders;
mod agent_report;
mod caller_call;
mod front_client;
mod leader_info;
mod leader_record;
mod peer_client;
mod rpc;
mod rpc_error;
mod sizes;
mod wire;

pub use agent_client::AgentClient;
pub use agent_orders::AgentOrders;
pub use agent_orders::OrderResults;
pub use agent_report::AgentId;
pub use agent_report::AgentReport;
pub use agent_report::ReportAnswer;
pub use caller_call::CallerAction;
pub use caller_call::CallerAnswer;
pub use caller_call::CallerCall;
pub use caller_call::Refusal;
pub use front_client::FrontClient;
pub use leader_info::LeaderInfo;
pub use leader_info::LeaderWord;
pub use leader_record::LEADER_KEY;
pub use leader_record::LeaderRecord;
pub use rpc::AgentRpcServer;
pub use rpc::FrontRpcServer;
pub use rpc_error::RpcFailure;
pub use sizes::MAX_PEER_CONNECTIONS;
pub use wire::WireAnswer;
pub use wire::WireCall;
pub use wire::WireLeader;
pub use wire::WireLeaderWord;
pub use wire::WireOrders;
pub use wire::WireReport;
pub use wire::WireReportAnswer;
pub use wire::WireResults;

use std::time::Duration;

/// How long an agent goes on renewing the leases of its target without word from a scheduler
/// whose leadership was confirmed. Outages of the store and cuts of a VM last up to 9 s on the
/// users' sheets; work that runs on through them isn't thrown away.
pub const AGENT_AUTONOMY: Duration = Duration::from_secs(8);

/// The longest time that an agent spends on one batch of orders, repeated calls included.
pub const ORDER_TIME: Duration = Duration::from_millis(1500);

/// How often an agent reports to the scheduler if nothing has changed.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// After this silence of an agent every lease of its target has run out: its autonomy, an order
/// begun at the end of that, the longest lease on a clock that is 2% slow, and half a second
/// for the way of the last report.
#[must_use]
pub fn silence_limit(max_lease: Duration) -> Duration {
    AGENT_AUTONOMY + ORDER_TIME + max_lease * 102 / 100 + Duration::from_millis(500)
}
