//! Scheduling policy of one availability zone.
//!
//! Modules import each other in one direction only: `zone` uses all others, `guarantees` uses
//! `placement`, and both, as well as `queue`, use `workers`.

mod guarantees;
mod outcomes;
mod placement;
mod queue;
mod workers;
mod zone;

use rattanwinch_types::RequestError;

pub use outcomes::Decision;
pub use outcomes::JobEnd;
pub use outcomes::Placement;
pub use outcomes::TaskPlacement;
pub use outcomes::ZoneCapacity;
pub use workers::WorkerInfo;
pub use zone::ZonePolicy;

/// Result of policy functions that may refuse a job.
pub type Result<T> = std::result::Result<T, RequestError>;
