//! The decisions of rattanwinch: pure functions of state, input and time.
//!
//! Nothing here does I/O, reads a clock or knows the encoding of a message; randomness comes
//! only from a seeded argument. Entries and agents feed in what they learn and carry out what
//! is decided, so that another front end can use the same code.
//!
//! Start reading at [`Gate`], which says what an agent may start now, [`pick_target`], which
//! routes a plain request, and [`ZonePolicy`], which decides which gang job starts where.

mod gate;
mod policy;
mod routing;

pub use gate::Gate;
pub use policy::Decision;
pub use policy::GuaranteeReport;
pub use policy::JobEnd;
pub use policy::Placement;
pub use policy::TaskPlacement;
pub use policy::WorkerInfo;
pub use policy::ZoneCapacity;
pub use policy::ZonePolicy;
pub use routing::TargetLoad;
pub use routing::pick_target;
