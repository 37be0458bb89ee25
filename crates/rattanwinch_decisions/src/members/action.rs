use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use super::member_table::Result;
use crate::AdmissionGate;

/// Executor calls that a command or a result requires, in order.
pub type Actions = SmallVec<[Action; 2]>;

rattanwinch_types::value! {
    /// A call that the agent makes to its executor.
    ///
    /// Leases are given as points in time, so that the agent computes the remaining time right
    /// before the call and a pause in between can't extend a lease.
    pub enum Action {
        /// Load a task without running it; the result goes to `MemberTable::handle_load_result`.
        Load {
            /// The hold order with the task to load.
            order: HoldOrder,
            /// When the executor has to drop the task unless it is renewed.
            lease_until: Timestamp,
        },
        /// Run a loaded task; the result goes to `MemberTable::handle_run_result`.
        Run {
            /// The member.
            member: MemberKey,
            /// Deadline for making the call.
            start_before: Timestamp,
        },
        /// Throttle, checkpoint or stop a task; the result goes to
        /// `MemberTable::handle_stop_result`.
        Stop {
            /// The member.
            member: MemberKey,
            /// Stop mode.
            mode: StopMode,
        },
        /// Extend the leases of running tasks; the result is ignored.
        Renew {
            /// The members.
            members: SmallVec<[MemberKey; 1]>,
            /// The end of the new lease.
            lease_until: Timestamp,
        },
        /// Let the executor forget an ended task; the result is ignored.
        Forget(MemberKey),
    }
}

impl Action {
    /// Checks that the call may still be made. The agent calls this right before the executor call
    /// with a fresh time, because it may have been frozen since the action was decided.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Deadline`] if the hold or the gate's freshness at the decision has expired, or
    /// the current error of the gate; nothing has run because of the action.
    pub fn check_still_allowed(&self, gate: &AdmissionGate, now: Timestamp) -> Result<()> {
        let expired_error = |what: &str| {
            let message = format!("{what} expired before the executor was called");
            Err(RequestError::not_run(ErrorKind::Deadline, message))
        };
        match self {
            Self::Load { lease_until, .. } if now >= *lease_until => expired_error("the hold"),
            Self::Run { start_before, .. } if now >= *start_before => {
                expired_error("the hold or the view of closed availability zones")
            }
            Self::Run { .. } => gate.check_gang_start(now),
            _ => Ok(()),
        }
    }
}
