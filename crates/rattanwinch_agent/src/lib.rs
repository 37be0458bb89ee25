//! The agent beside a target: it admits plain requests to the executor's slots, holds and runs
//! the members of gangs, and tells every entry about its target.
//!
//! [`AgentDaemon`] is the whole process in its life cycle; the binary `rattanwinch-agent` only
//! reads the settings and starts it. What may start is decided by `rattanwinch_decisions`.

mod agent_daemon;
mod agent_settings;
mod agent_state;
mod attempt_table;
mod gang_calls;
mod heartbeats;
mod member_actions;
mod member_message;
mod member_owner;
mod members;
mod plain_requests;
mod rpc;

pub use agent_daemon::AgentDaemon;
pub use agent_daemon::Draining;
pub use agent_daemon::Result;
pub use agent_daemon::Serving;
pub use agent_daemon::Starting;
pub use agent_settings::AgentSettings;
