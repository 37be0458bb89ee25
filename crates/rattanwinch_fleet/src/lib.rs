//! JSON-RPC between the processes of a site: fronts, and the agents beside targets.
//!
//! [`FrontRpcServer`] is the API of a front for other fronts and agents, [`AgentRpcServer`] the API
//! of an agent for the leader. [`FrontClient`] and [`AgentClient`] call them with a timeout per
//! call. The `Wire` types are the messages; their decoded forms are [`CallerCall`],
//! [`CallerAnswer`], [`LeaderInfo`], [`AgentReport`], [`AgentOrders`] and [`OrderResults`].
//!
//! Scheduling decisions are made in `rattanwinch_scheduling`.

mod agent_client;
mod agent_orders;
mod agent_report;
mod caller_call;
mod front_client;
mod front_sampler;
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
pub use front_sampler::FrontSampler;
pub use leader_info::FrontInfo;
pub use leader_info::LeaderInfo;
pub use leader_info::LeaderStatus;
pub use leader_record::LEADER_KEY;
pub use leader_record::LeaderRecord;
pub use rpc::AgentRpcServer;
pub use rpc::FrontRpcServer;
pub use rpc_error::RpcError;
pub use sizes::MAX_PEER_CONNECTIONS;
pub use wire::WireAnswer;
pub use wire::WireCall;
pub use wire::WireLeader;
pub use wire::WireLeaderStatus;
pub use wire::WireOrders;
pub use wire::WireReport;
pub use wire::WireReportAnswer;
pub use wire::WireResults;

use std::time::Duration;

/// How long an agent renews its target's leases after its last contact with a confirmed leader.
///
/// By the users' requirements, outages of the store and network failures of a VM last up to 9 s,
/// and work that keeps running through them isn't lost.
pub const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum time that an agent spends on one batch of orders, retries included.
pub const ORDER_BATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval of an agent's reports to the leader if nothing has changed.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// The longest lease that an agent grants, if its target allows as much.
///
/// It covers the restart of an agent and an executor that leaves calls unanswered for some seconds.
/// A longer one would only delay the restart of work whose target is gone.
const MAX_LEASE_LENGTH: Duration = Duration::from_secs(6);

/// The length of the leases that an agent grants, given the longest one that its target allows.
#[must_use]
pub fn lease_length(max_lease: Duration) -> Duration {
    max_lease.min(MAX_LEASE_LENGTH)
}

/// Silence of an agent after which all leases of its target have expired.
///
/// The sum of [`LEADER_CONTACT_TIMEOUT`], a batch of orders that begins at its end, the
/// maximum lease on a clock that is 2% slow, and half a second for the delivery of the last report.
#[must_use]
pub fn target_silence_timeout(max_lease: Duration) -> Duration {
    LEADER_CONTACT_TIMEOUT
        + ORDER_BATCH_TIMEOUT
        + lease_length(max_lease) * 102 / 100
        + Duration::from_millis(500)
}
