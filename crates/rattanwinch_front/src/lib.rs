//! The front daemon of a site.
//!
//! Every front takes callers' calls and passes them to the one front that schedules. Which one
//! that is, the store decides: see `leadership.rs`. The front that schedules runs a
//! [`rattanwinch_scheduling::Scheduler`] in one task (`coordinator.rs`), makes each change
//! durable before acting on it (`committer.rs`), and publishes the durable state of all jobs
//! (`job_board.rs`) for any thread to read.
//!
//! Start reading at [`FrontDaemon`], then `coordinator.rs`. What a message looks like is known
//! to the packages in `platform/` and to `rattanwinch_fleet`.

mod agents;
mod calls;
mod commands;
mod committer;
mod coordinator;
mod explain;
mod front_daemon;
mod front_settings;
mod front_state;
mod job_board;
mod leadership;
mod leading;
mod operator_watch;
mod records;
mod relay;
mod rpc;
mod upkeep;

pub use front_daemon::FrontDaemon;
pub use front_settings::FrontSettings;
