//! The policy of one zone: its state, what changes it, and the decisions.

mod avoidance;
mod check;
mod deciding;
mod evictions;
mod head_of_queue;
mod job_events;
mod reclaim;
mod relocation;
mod reports;
mod restoring;
mod worker_events;
mod zone_policy;

pub use zone_policy::ZonePolicy;
