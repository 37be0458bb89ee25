//! The members of gangs that one agent holds and runs.

mod action;
mod ended;
mod held;
mod invariant;
mod member;
mod member_state;
mod member_table;
mod observed_task;
mod running;
mod table_results;
mod table_upkeep;
mod tombstones;

pub use action::Action;
pub use action::Actions;
pub use ended::Ended;
pub use held::Held;
pub use held::Refused;
pub use invariant::Invariant;
pub use invariant::Violation;
pub use member::HOLD_LIMIT;
pub use member::Member;
pub use member::TASK_LEASE;
pub use member_state::MemberState;
pub use member_table::HoldOutcome;
pub use member_table::MAX_ENDED_MEMBERS;
pub use member_table::MemberTable;
pub use member_table::ReleaseOutcome;
pub use observed_task::ObservedState;
pub use observed_task::ObservedTask;
pub use running::Running;
pub use running::Start;
pub use table_results::TaskListRequest;
pub use tombstones::MAX_TOMBSTONES;
pub use tombstones::TOMBSTONE_RETENTION;
