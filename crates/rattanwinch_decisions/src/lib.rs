//! The decisions of rattanwinch: pure functions of state, input and time.
//!
//! Nothing here does I/O, reads a clock or knows the encoding of a message; randomness comes
//! only from a seeded argument. Entries and agents feed in what they learn and carry out what
//! is decided, so that another front end can use the same code.
//!
//! Start reading at [`AdmissionGate`], which says what an agent may start now, and [`pick_target`], which
//! routes a plain request. [`Role`] says which entry decides an availability zone, [`ZonePolicy`]
//! decides which gang job starts where in it, [`GangCoordinator`] starts, watches and ends one
//! gang, and [`MemberTable`] holds and runs its members at an agent. [`Claim`] is how a
//! non-idempotent request runs at most once, and [`apply_change`] changes the configuration.

mod admission_gate;
mod burn;
mod claims;
mod config_changes;
mod gang;
mod members;
mod policy;
mod role;
mod routing;
mod zone_choice;

pub use admission_gate::AdmissionGate;
pub use burn::BurnAlert;
pub use burn::BurnReport;
pub use burn::BurnWindow;
pub use burn::BurnWindows;
pub use burn::MAX_BURN_ORGANISATIONS;
pub use burn::OrganisationBurn;
pub use burn::RequestCount;
pub use claims::AttemptQueryResponse;
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
pub use config_changes::apply_change;
pub use config_changes::describe_effects;
pub use gang::AttemptEnd;
pub use gang::BrokenRule;
pub use gang::Committed;
pub use gang::Finished;
pub use gang::GangAction;
pub use gang::GangCoordinator;
pub use gang::GangLimits;
pub use gang::HOLD_FOR;
pub use gang::HOLD_TIMEOUT;
pub use gang::HeartbeatOrders;
pub use gang::Holding;
pub use gang::Job;
pub use gang::Queued;
pub use gang::RELEASE_MARGIN;
pub use gang::WriteOutcome;
pub use members::Action;
pub use members::Actions;
pub use members::Ended;
pub use members::HOLD_LIMIT;
pub use members::Held;
pub use members::HoldOutcome;
pub use members::Invariant;
pub use members::MAX_ENDED_MEMBERS;
pub use members::MAX_TOMBSTONES;
pub use members::Member;
pub use members::MemberState;
pub use members::MemberTable;
pub use members::ObservedState;
pub use members::ObservedTask;
pub use members::Refused;
pub use members::ReleaseOutcome;
pub use members::Running;
pub use members::Start;
pub use members::TASK_LEASE;
pub use members::TOMBSTONE_RETENTION;
pub use members::TaskListRequest;
pub use members::Violation;
pub use policy::Decision;
pub use policy::JobEnd;
pub use policy::Placement;
pub use policy::TaskPlacement;
pub use policy::WorkerInfo;
pub use policy::ZoneCapacity;
pub use policy::ZonePolicy;
pub use role::Adopting;
pub use role::DeciderKey;
pub use role::Deciding;
pub use role::Following;
pub use role::PEER_SUSPECT_TIMEOUT;
pub use role::PING_INTERVAL;
pub use role::Peers;
pub use role::RANK_DELAY;
pub use role::RENEWS_UNCONFIRMED_FOR;
pub use role::REPLACED_RENEWS_FOR;
pub use role::Role;
pub use role::RoleView;
pub use role::ZONE_LOST_AFTER;
pub use role::ZoneReachability;
pub use role::may_renew;
pub use role::rank_entries;
pub use routing::TargetLoad;
pub use routing::pick_target;
pub use zone_choice::ZoneCandidate;
pub use zone_choice::choose_zone;
