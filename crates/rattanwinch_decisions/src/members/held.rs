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
use super::HOLD_LIMIT;
use super::Member;
use super::Running;
use super::Start;
use super::TASK_LEASE;
use super::member::Identity;
use crate::AdmissionGate;

/// The executor keeps a loaded task this much longer than the hold lasts, so that a run at the
/// last moment is followed by the first renewal before the executor's lease ends.
const RENEWAL_MARGIN: Duration = Duration::from_millis(500);

rattanwinch_types::value! {
    /// The state of a member whose accelerators are kept and whose task doesn't run.
    pub struct Held {
        /// When the hold order arrived.
        pub(super) held_at: Timestamp,
        /// When the hold expires.
        pub(super) expires_at: Timestamp,
        /// Whether the executor has confirmed that it loaded the task, and at which step.
        pub(super) loaded: Option<u64>,
    }
}

/// A transition that was refused: the member as it was, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused<S> {
    /// The member, unchanged.
    pub member: Member<S>,
    /// Why it was refused.
    pub error: RequestError,
}

impl Member<Held> {
    /// A member that is held from `now` on, for at most [`HOLD_LIMIT`].
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
            expires_at: now + order.hold_for.min(HOLD_LIMIT),
            loaded: None,
        };
        Self { identity, state }
    }

    /// When the hold expires.
    #[must_use]
    pub const fn expires_at(&self) -> Timestamp {
        self.state.expires_at
    }

    /// When the executor has to drop the task unless it is renewed.
    #[must_use]
    pub fn load_until(&self) -> Timestamp {
        self.state.expires_at + RENEWAL_MARGIN
    }

    /// The same member once the executor has loaded its task.
    #[must_use]
    pub(super) fn with_load_confirmed(mut self, step: u64) -> Self {
        self.state.loaded = Some(step);
        self
    }

    /// Starts the member's task on the word of the decider of `epoch`.
    ///
    /// The task lease runs from the arrival of the hold, or from the last renewal (`renewed`) if
    /// that is later: the decider knows either moment, but not when a release arrives that it
    /// got no answer to.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Fenced`] if the epoch is old, [`ErrorKind::Deadline`] if the hold has expired,
    /// [`ErrorKind::Unavailable`] if the task isn't loaded or the gate lets nothing start; all
    /// with the verdict "not run".
    pub fn release(
        self,
        epoch: Epoch,
        highest_epoch: Epoch,
        gate: &AdmissionGate,
        renewed: Timestamp,
        now: Timestamp,
    ) -> Result<Member<Running>, Box<Refused<Held>>> {
        if epoch < highest_epoch {
            let message = format!("epoch {} is older than {}", epoch.0, highest_epoch.0);
            return Err(self.refuse(RequestError::not_run(ErrorKind::Fenced, message)));
        }
        if now >= self.state.expires_at {
            let message = format!("the hold of {} has expired", self.key());
            return Err(self.refuse(RequestError::not_run(ErrorKind::Deadline, message)));
        }
        if self.state.loaded.is_none() {
            let message = format!("the executor hasn't loaded {} yet", self.key());
            return Err(self.refuse(RequestError::not_run(ErrorKind::Unavailable, message)));
        }
        if let Err(error) = gate.check_gang_start(now) {
            return Err(self.refuse(error));
        }
        let start = Start {
            at: now,
            hold_expires_at: self.state.expires_at,
            fresh_until: gate.fresh_until,
            epoch,
            highest_epoch,
        };
        let lease_until = renewed.max(self.state.held_at + TASK_LEASE);
        let running = Running::started(start, lease_until, self.state.loaded);
        Ok(self.with_state(running))
    }

    /// Ends the member, which never ran. The executor may still have its task loaded.
    #[must_use]
    pub fn end(self, end: MemberOutcome, now: Timestamp) -> Member<Ended> {
        let loading = self.state.loaded.is_none();
        let ended = Ended::new(end, Verdict::NotRun, now).with_task_left(loading, now);
        self.with_state(ended)
    }

    fn refuse(self, error: RequestError) -> Box<Refused<Held>> {
        Box::new(Refused {
            member: self,
            error,
        })
    }
}
