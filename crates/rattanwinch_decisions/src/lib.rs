//! The decisions of rattanwinch: pure functions of state, input and time.
//!
//! Nothing here does I/O, reads a clock or knows the encoding of a message; randomness comes
//! only from a seeded argument. Entries and agents feed in what they learn and carry out what
//! is decided, so that another front end can use the same code.
//!
//! Start reading at [`Gate`], which says what an agent may start now, [`pick_target`], which
//! routes a plain request, and [`MemberTable`], which holds and runs the members of gangs.

mod gate;
mod members;
mod routing;

pub use gate::Gate;
pub use members::Action;
pub use members::Actions;
pub use members::Ended;
pub use members::HOLD_LIMIT;
pub use members::Held;
pub use members::Hold;
pub use members::Invariant;
pub use members::ListRequest;
pub use members::MAX_ENDED_MEMBERS;
pub use members::MAX_TOMBSTONES;
pub use members::Member;
pub use members::MemberState;
pub use members::MemberTable;
pub use members::ObservedState;
pub use members::ObservedTask;
pub use members::Refused;
pub use members::Release;
pub use members::Running;
pub use members::Start;
pub use members::TASK_LEASE;
pub use members::TOMBSTONE_RETENTION;
pub use members::Violation;
pub use routing::TargetLoad;
pub use routing::pick_target;
