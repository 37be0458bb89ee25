use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use super::member_table::Result;
use crate::AdmissionGate;

/// What one command or result asks of the executor, in order.
pub type Actions = SmallVec<[Action; 2]>;

rattanwinch_types::value! {
    /// A call that the agent has to make to its executor.
    ///
    /// Leases are given as points in time, so that the agent computes what is left of them right
    /// before the call; a pause in between then can't lengthen a lease.
    pub enum Action {
        /// Load a task without running it. The result goes to `MemberTable::handle_load_result`.
        Load {
            /// What to load.
            order: HoldOrder,
            /// When the executor has to drop the task unless it is renewed.
            lease_until: Timestamp,
        },
        /// Run a loaded task. The result goes to `MemberTable::handle_run_result`.
        Run {
            /// The member.
            member: MemberKey,
            /// The call must not be made at or after this time.
            start_before: Timestamp,
        },
        /// Throttle, checkpoint or stop a task. The result goes to `MemberTable::handle_stop_result`.
        Stop {
            /// The member.
            member: MemberKey,
            /// How.
            mode: StopMode,
        },
        /// Extend the leases of running tasks; the result isn't needed.
        Renew {
            /// The members.
            members: SmallVec<[MemberKey; 1]>,
            /// The end of the new lease.
            lease_until: Timestamp,
        },
        /// Let the executor forget an ended task; the result isn't needed.
        Forget(MemberKey),
    }
}

impl Action {
    /// Whether the call may still be made. The agent asks right before it, with the time read
    /// then, because it may have been frozen since the action was decided.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Deadline`] if a hold has expired or the gate's freshness of the decision has,
    /// or what the gate answers now; nothing has run on account of the action.
    pub fn check_still_allowed(&self, gate: &AdmissionGate, now: Timestamp) -> Result<()> {
        let late = |what: &str| {
            let message = format!("{what} expired before the executor was called");
            Err(RequestError::not_run(ErrorKind::Deadline, message))
        };
        match self {
            Self::Load { lease_until, .. } if now >= *lease_until => late("the hold"),
            Self::Run { start_before, .. } if now >= *start_before => {
                late("the hold or the freshness")
            }
            Self::Run { .. } => gate.check_gang_start(now),
            _ => Ok(()),
        }
    }
}
