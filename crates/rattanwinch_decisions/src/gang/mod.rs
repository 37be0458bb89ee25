//! The life of gangs at the decider of an availability zone.
//!
//! [`Job`] is one job in its life cycle; [`GangCoordinator`] keeps all jobs of a zone, takes in
//! responses, heartbeats and time, and says what to send and what to write.

mod action;
mod coordinator;
mod inputs;
mod job;
mod limits;
mod records;
mod settle;
mod tasks;
mod timers;

pub use action::AttemptEnd;
pub use action::GangAction;
pub use action::HeartbeatOrders;
pub use action::WriteOutcome;
pub use coordinator::BrokenRule;
pub use coordinator::GangCoordinator;
pub use job::Committed;
pub use job::Finished;
pub use job::Holding;
pub use job::Job;
pub use job::Queued;
pub use limits::GangLimits;
pub use limits::HOLD_FOR;
pub use limits::HOLD_TIMEOUT;
pub use limits::RELEASE_MARGIN;
