//! The decisions of rattanwinch: pure functions of state, input and time.
//!
//! Nothing here does I/O, reads a clock or knows the encoding of a message; randomness comes
//! only from a seeded argument. Entries and agents feed in what they learn and carry out what
//! is decided, so that another front end can use the same code.
//!
//! Start reading at [`Gate`], which says what an agent may start now, and [`pick_target`], which
//! routes a plain request. [`Claim`] is how a non-idempotent request runs at most once,
//! [`MemberTable`] holds and runs the members of gangs, [`ZonePolicy`] places jobs, and [`apply`]
//! changes the configuration.

mod burn;
mod claims;
mod config_changes;
mod gate;
mod members;
mod policy;
mod routing;

pub use burn::BurnAlert;
pub use burn::BurnReport;
pub use burn::BurnWindow;
pub use burn::BurnWindows;
pub use burn::MAX_BURN_ORGANISATIONS;
pub use burn::OrganisationBurn;
pub use burn::RequestCount;
pub use claims::AskResponse;
pub use claims::Claim;
pub use claims::ClaimStep;
pub use claims::Claimed;
pub use claims::Dispatched;
pub use claims::Proposed;
pub use claims::Unclaimed;
pub use claims::WriteResponse;
pub use config_changes::ChangeError;
pub use config_changes::ConfigChange;
pub use config_changes::DefaultKey;
pub use config_changes::MAX_AUTHOR_BYTES;
pub use config_changes::MAX_REASON_BYTES;
pub use config_changes::apply;
pub use config_changes::effect;
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
