//! Coordination of gangs at the decider of an availability zone.
//!
//! [`Job`] is one job with its state as a type; [`GangCoordinator`] keeps all jobs of a zone,
//! handles responses, heartbeats and timers, and returns the messages to send and the records to
//! write.

mod action;
mod attempt_end;
mod coordinator;
mod inputs;
mod job;
mod limits;
mod records;
mod tasks;
mod timers;

pub use action::AttemptEnd;
pub use action::GangAction;
pub use action::HeartbeatOrders;
pub use action::WriteOutcome;
pub use coordinator::GangCoordinator;
pub use coordinator::GangInvariantViolation;
pub use job::Committed;
pub use job::Finished;
pub use job::Holding;
pub use job::Job;
pub use job::Queued;
pub use limits::GangLimits;
pub use limits::HOLD_DURATION;
pub use limits::HOLD_TIMEOUT;
pub use limits::RELEASE_MARGIN;
