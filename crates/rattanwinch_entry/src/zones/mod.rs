//! The deciders of availability zones, and callers' jobs.
//!
//! `roles.rs` decides with `rattanwinch_decisions` which zones this entry takes over. Each zone
//! that it decides is one task, in `decider.rs`, which owns the zone's policy and gang coordinator
//! and receives messages. `jobs.rs` implements the backend of callers' jobs; `calls.rs` handles the
//! calls of other entries.

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

pub(crate) use calls::JobRpcHandler;
pub(crate) use calls::PeerRpcHandler;
pub(crate) use control::DeciderKeys;
pub(crate) use control::decode_deciders;
pub(crate) use control::decode_entries;
pub(crate) use jobs::EntryJobBackend;
pub(crate) use roles::run as run_roles;
pub(crate) use zone_table::ZoneTable;
