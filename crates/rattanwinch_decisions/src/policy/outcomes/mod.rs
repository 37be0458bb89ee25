//! Results of the policy, with explanations for users.

mod decision;
mod job_end;
mod placement;
pub(crate) mod reasons;
mod zone_capacity;

pub use decision::Decision;
pub use job_end::JobEnd;
pub use placement::Placement;
pub use placement::TaskPlacement;
pub use zone_capacity::ZoneCapacity;
