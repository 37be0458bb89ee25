//! The front daemon of a site.
//!
//! Every front accepts callers' calls and forwards them to the one front that schedules, the
//! leader. The leader is elected through the store: see `leadership.rs`. It runs a
//! [`rattanwinch_scheduling::Scheduler`] in one task (`coordinator.rs`), makes each change durable
//! before acting on it (`committer.rs`), and publishes the durable state of all jobs
//! (`published_jobs.rs`) for any thread to read.
//!
//! Start reading at [`FrontDaemon`], then `coordinator.rs`. Message formats are defined in the
//! packages in `platform/` and in `rattanwinch_fleet`.

mod agents;
mod calls;
mod commands;
mod committer;
mod coordinator;
mod event_log;
mod front_daemon;
mod front_settings;
mod front_state;
mod leadership;
mod learned_metrics;
mod local_leader;
mod operator_watch;
mod published_jobs;
mod records;
mod relay;
mod rpc;
mod upkeep;

pub use front_daemon::FrontDaemon;
pub use front_settings::FrontSettings;
