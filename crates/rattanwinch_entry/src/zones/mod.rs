//! The deciders of availability zones, and callers' jobs.
//!
//! `roles.rs` decides with `rattanwinch_decisions` which zones this entry takes over. Each decided
//! zone is one task, `decider.rs`, which owns the zone's policy and gang coordinator and receives
//! messages. `jobs.rs` is what callers' jobs are handed to; `calls.rs` is what other entries call.

mod actions;
mod adoption;
mod calls;
mod control;
mod decider;
mod jobs;
mod message;
mod moves;
mod pings;
mod registration;
mod roles;
mod store_calls;
mod workers;
mod zone_table;

pub(crate) use calls::JobCalls;
pub(crate) use calls::PeerCalls;
pub(crate) use control::DeciderKeys;
pub(crate) use control::decode_deciders;
pub(crate) use control::decode_entries;
pub(crate) use jobs::Jobs;
pub(crate) use roles::run as run_roles;
pub(crate) use zone_table::ZoneTable;
