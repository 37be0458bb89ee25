//! The agent daemon beside a target of a site.
//!
//! [`SideDaemon`] receives the heartbeats of the executor on its VM, renews the lease of its runs
//! while it has contact to the leader, reports to the leader, and carries out its orders. Start
//! reading at [`SideDaemon`], then `target_view.rs` for the agent's view of the executor.
//!
//! Scheduling decisions are made in `rattanwinch_scheduling`.

mod executor_watch;
mod leader_search;
mod lease_grants;
mod orders;
mod reporter;
mod side_daemon;
mod side_settings;
mod side_state;
mod target_view;

pub use lease_grants::Grant;
pub use lease_grants::LeaseGrants;
pub use side_daemon::SideDaemon;
pub use side_settings::SideSettings;
pub use target_view::TargetView;
