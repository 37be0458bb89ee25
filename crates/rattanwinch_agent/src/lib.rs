//! The agent on a target VM: admits plain requests to the executor's slots, holds and runs the
//! members of gangs, and sends heartbeats about the target to every entry.
//!
//! [`AgentDaemon`] is the process with its life cycle; the binary `rattanwinch-agent` only reads
//! the settings and starts it. `rattanwinch_decisions` decides what may start.

mod agent_daemon;
mod agent_rpc_handler;
mod agent_settings;
mod agent_state;
mod attempt_table;
mod gang_rpc_handler;
mod heartbeats;
mod member_actions;
mod member_actor;
mod member_handle;
mod member_message;
mod plain_requests;

pub use agent_daemon::AgentDaemon;
pub use agent_daemon::Draining;
pub use agent_daemon::Result;
pub use agent_daemon::Serving;
pub use agent_daemon::Starting;
pub use agent_settings::AgentSettings;
