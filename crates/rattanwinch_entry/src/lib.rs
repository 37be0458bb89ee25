//! The entry process: accepts callers' requests, routes plain ones to targets, and receives the
//! heartbeats of agents.
//!
//! [`EntryDaemon`] is the process with its life cycle; the binary `rattanwinch-entry` only reads
//! the settings and starts it. `rattanwinch_decisions` makes the routing decisions. The path of a
//! plain request starts in `plain_requests.rs`, which reads the targets in `fleet.rs`. The deciders
//! of availability zones and callers' jobs are in `zones/`.

mod burn;
mod claims;
mod config_copies;
mod control_read;
mod control_reads;
mod control_view;
mod entry_daemon;
mod entry_settings;
mod entry_state;
mod fleet;
mod fleet_report;
mod heartbeats;
mod http;
mod in_flight;
mod plain_requests;
mod retry_budget;
mod retry_exclusions;
mod target;
mod zones;

pub use entry_daemon::Draining;
pub use entry_daemon::EntryDaemon;
pub use entry_daemon::Result;
pub use entry_daemon::Serving;
pub use entry_daemon::Starting;
pub use entry_settings::EntrySettings;
