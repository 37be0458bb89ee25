use std::time::Duration;

use rattanwinch_types::Digest;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::RequestError;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use super::Ended;
use super::MAX_HOLD_DURATION;
use super::Member;
use super::Running;
use super::StartRecord;
use super::TASK_LEASE;
use super::member::Identity;
use crate::AdmissionGate;

/// Time that the executor's lease on a loaded task exceeds the hold, so that a task released at the
/// last moment is renewed before the lease ends.
const RENEWAL_MARGIN: Duration = Duration::from_millis(500);

rattanwinch_types::value! {
    /// State of a member whose accelerators are held and whose task doesn't run.
    pub struct Held {
        /// When the hold order arrived.
        pub(super) held_at: Timestamp,
        /// When the hold expires.
        pub(super) expires_at: Timestamp,
        /// Step at which the executor confirmed that it loaded the task; `None` before that.
        pub(super) loaded_step: Option<u64>,
    }
}

/// A refused state transition, with the unchanged member and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedTransition<S> {
    /// The member, unchanged.
    pub member: Member<S>,
    /// Why the transition was refused.
    pub error: RequestError,
}

impl Member<Held> {
    /// Creates a member that is held from `now` on, for at most [`MAX_HOLD_DURATION`].
    #[must_use]
    pub fn hold(order: &HoldOrder, now: Timestamp) -> Self {
        let identity = Identity {
            key: order.member.clone(),
            epoch: order.epoch,
            accelerators: order.accelerators,
            payload: Some(Digest::of(order.payload.as_bytes())),
        };
        let state = Held {
            held_at: now,
            expires_at: now + order.hold_for.min(MAX_HOLD_DURATION),
            loaded_step: None,
        };
        Self { identity, state }
    }

    /// When the hold expires.
    #[must_use]
    pub const fn expires_at(&self) -> Timestamp {
        self.state.expires_at
    }

    /// When the executor drops the task unless it is renewed.
    #[must_use]
    pub fn load_lease_until(&self) -> Timestamp {
        self.state.expires_at + RENEWAL_MARGIN
    }

    /// Returns the member with the load confirmed by the executor.
    #[must_use]
    pub(super) fn with_load_confirmed(mut self, step: u64) -> Self {
        self.state.loaded_step = Some(step);
        self
    }

    /// Starts the member's task on the order of the decider of `epoch`.
    ///
    /// The task lease runs from the arrival of the hold, or to `renewed_until` if that is later.
    /// The decider knows both times, but it doesn't know when a release arrives if the response is
    /// lost.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] if the epoch is old, [`ErrorKind::Deadline`] if the hold has expired,
    /// [`ErrorKind::Unavailable`] if the task isn't loaded, or the gate's error; all with the
    /// verdict "not run".
    pub fn release(
        self,
        epoch: Epoch,
        highest_epoch: Epoch,
        gate: &AdmissionGate,
        renewed_until: Timestamp,
        now: Timestamp,
    ) -> Result<Member<Running>, Box<RefusedTransition<Held>>> {
        if epoch < highest_epoch {
            let message = format!(
                "epoch {} is older than the known epoch {}",
                epoch.0, highest_epoch.0
            );
            return Err(self.refuse(RequestError::not_run(ErrorKind::Fenced, message)));
        }
        if now >= self.state.expires_at {
            let message = format!("the hold of {} has expired", self.key());
            return Err(self.refuse(RequestError::not_run(ErrorKind::Deadline, message)));
        }
        if self.state.loaded_step.is_none() {
            let message = format!("the executor hasn't loaded {} yet", self.key());
            return Err(self.refuse(RequestError::not_run(ErrorKind::Unavailable, message)));
        }
        if let Err(error) = gate.check_gang_start(now) {
            return Err(self.refuse(error));
        }
        let start = StartRecord {
            at: now,
            hold_expires_at: self.state.expires_at,
            fresh_until: gate.fresh_until,
            epoch,
            highest_epoch,
        };
        let lease_until = renewed_until.max(self.state.held_at + TASK_LEASE);
        let running = Running::started(start, lease_until, self.state.loaded_step);
        Ok(self.with_state(running))
    }

    /// Ends the member, which never ran; the executor may still have its task loaded.
    #[must_use]
    pub fn end(self, end: MemberOutcome, now: Timestamp) -> Member<Ended> {
        let loading = self.state.loaded_step.is_none();
        let ended = Ended::new(end, Verdict::NotRun, now).with_possible_task(loading, now);
        self.with_state(ended)
    }

    fn refuse(self, error: RequestError) -> Box<RefusedTransition<Held>> {
        Box::new(RefusedTransition {
            member: self,
            error,
        })
    }
}
