//! State, event handlers and decisions of one availability zone.

mod avoidance;
mod block_placement;
mod check;
mod deciding;
mod evictions;
mod head_reservation;
mod job_events;
mod reclaim;
mod relocation;
mod reports;
mod worker_events;
mod zone_policy;

pub use zone_policy::ZonePolicy;
