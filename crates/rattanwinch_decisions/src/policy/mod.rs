//! The policy of one availability zone's decider.

mod avoidance;
mod blocks;
mod check;
mod deciding;
mod decision;
mod evictions;
mod guarantee_plan;
mod head_of_queue;
mod job;
mod job_end;
mod job_events;
mod job_history;
mod job_queue;
mod placement;
mod reasons;
mod reclaim;
mod refill;
mod relocation;
mod reports;
mod restoring;
mod rules;
mod run_times;
mod solver;
mod wait_cause;
mod worker;
mod worker_events;
mod worker_info;
mod worker_pool;
mod zone_capacity;
mod zone_policy;

use rattanwinch_types::RequestError;

pub use decision::Decision;
pub use job_end::JobEnd;
pub use placement::Placement;
pub use placement::TaskPlacement;
pub use worker_info::WorkerInfo;
pub use zone_capacity::ZoneCapacity;
pub use zone_policy::ZonePolicy;

/// What the policy's functions return that may refuse a job.
pub type Result<T> = std::result::Result<T, RequestError>;
