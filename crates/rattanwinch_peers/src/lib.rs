//! The protocol between rattanwinch's own processes: JSON-RPC, implemented with `jsonrpsee`.
//!
//! [`AgentRpcServer`] and [`GangRpcServer`] are the interfaces of an agent to entries and to the
//! decider of its zone; [`EntryRpcServer`] is the interface of an entry to agents,
//! [`PeerRpcServer`] and [`JobRpcServer`] those to other entries. [`AgentConnection`] keeps a
//! WebSocket to one agent open and replaces it when it stops responding; [`EntryClient`] calls an
//! entry.
//!
//! This package contains only messages and connections; other packages decide which messages to
//! send and when. All wire types convert to and from the plain types of `rattanwinch_types`.

mod agent_connection;
mod agent_rpc;
mod entry_client;
mod entry_rpc;
mod gang_rpc;
mod job_rpc;
mod peer_rpc;
mod rpc_error;
mod rpc_server;
mod wire;

pub use agent_connection::AgentConnection;
pub use agent_connection::CONNECTION_PING_INTERVAL;
pub use agent_connection::CONNECTION_PING_TIMEOUT;
pub use agent_rpc::AgentRpcClient;
pub use agent_rpc::AgentRpcServer;
pub use entry_client::EntryClient;
pub use entry_rpc::EntryRpcClient;
pub use entry_rpc::EntryRpcServer;
pub use gang_rpc::GangRpcClient;
pub use gang_rpc::GangRpcServer;
pub use job_rpc::JobRpcClient;
pub use job_rpc::JobRpcServer;
pub use peer_rpc::PeerRpcClient;
pub use peer_rpc::PeerRpcServer;
pub use rpc_error::request_error;
pub use rpc_error::rpc_error;
pub use rpc_server::MAX_MESSAGE_BYTES;
pub use rpc_server::RpcServer;
pub use wire::InvalidMessage;
pub use wire::WireAnswer;
pub use wire::WireAttemptKey;
pub use wire::WireAttemptOutcome;
pub use wire::WireConfigCopy;
pub use wire::WireExplanation;
pub use wire::WireHeartbeat;
pub use wire::WireHeartbeatResponse;
pub use wire::WireHoldOrder;
pub use wire::WireJobSpec;
pub use wire::WireJobState;
pub use wire::WireJobStatus;
pub use wire::WireMemberKey;
pub use wire::WireMemberReport;
pub use wire::WirePeerState;
pub use wire::WirePlainAttempt;
pub use wire::WireRequestError;
pub use wire::WireRequestKey;
pub use wire::WireStopOrder;
