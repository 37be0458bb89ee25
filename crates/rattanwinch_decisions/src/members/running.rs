use rattanwinch_types::Epoch;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use super::Ended;
use super::Member;

rattanwinch_types::value! { copy
    /// Conditions of a start, recorded so that the invariants can be checked afterwards.
    pub struct StartRecord {
        /// When the member was released.
        pub at: Timestamp,
        /// When its hold would have expired.
        pub hold_expires_at: Timestamp,
        /// When the gate's view would have expired.
        pub fresh_until: Timestamp,
        /// The epoch of the release.
        pub epoch: Epoch,
        /// The highest epoch known at the release.
        pub highest_epoch: Epoch,
    }
}

rattanwinch_types::value! { copy
    /// An order to throttle, checkpoint or stop a running member.
    pub(super) struct Stopping {
        /// The strongest mode ordered so far.
        pub mode: StopMode,
        /// When the order was last sent to the executor.
        pub stop_sent_at: Timestamp,
        /// Whether the executor has accepted the order.
        pub accepted: bool,
        /// Whether the cause is an expired lease and not an order of a decider.
        pub lapsed: bool,
    }
}

rattanwinch_types::value! {
    /// State of a member whose task runs, or may run because a run call was made.
    pub struct Running {
        /// Conditions of the start; `None` for a task adopted from the executor.
        pub(super) start: Option<StartRecord>,
        /// When the task lease ends.
        pub(super) lease_until: Timestamp,
        /// Whether the executor has confirmed the start.
        pub(super) start_confirmed: bool,
        /// Step at which the executor confirmed the task; `None` before that.
        pub(super) loaded_step: Option<u64>,
        /// The stop order, if there is one.
        pub(super) stopping: Option<Stopping>,
    }
}

impl Running {
    pub(super) const fn started(
        start: StartRecord,
        lease_until: Timestamp,
        loaded_step: Option<u64>,
    ) -> Self {
        Self {
            start: Some(start),
            lease_until,
            start_confirmed: false,
            loaded_step,
            stopping: None,
        }
    }

    pub(super) const fn adopted(lease_until: Timestamp, start_confirmed: bool) -> Self {
        Self {
            start: None,
            lease_until,
            start_confirmed,
            loaded_step: Some(0),
            stopping: None,
        }
    }
}

impl Member<Running> {
    /// Conditions of the start; `None` for a task adopted from the executor.
    #[must_use]
    pub const fn start(&self) -> Option<StartRecord> {
        self.state.start
    }

    /// When the task lease ends.
    #[must_use]
    pub const fn lease_until(&self) -> Timestamp {
        self.state.lease_until
    }

    /// Whether the executor has confirmed the start.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.state.start_confirmed
    }

    /// Known verdict on whether the task ran.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        if self.state.start_confirmed {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        }
    }

    /// Returns the member with the start confirmed by the executor.
    #[must_use]
    pub fn with_start_confirmed(mut self) -> Self {
        self.state.start_confirmed = true;
        self
    }

    /// Returns the member with a lease that ends no earlier than `until`.
    #[must_use]
    pub fn with_lease(mut self, until: Timestamp) -> Self {
        self.state.lease_until = self.state.lease_until.max(until);
        self
    }

    /// Returns the member with a stop order sent to the executor at `now`; a weaker order never
    /// replaces a stronger one.
    #[must_use]
    pub(super) fn with_stop(mut self, mode: StopMode, lapsed: bool, now: Timestamp) -> Self {
        let before = self.state.stopping;
        let strongest = before.map_or(mode, |before| before.mode.max(mode));
        self.state.stopping = Some(Stopping {
            mode: strongest,
            stop_sent_at: now,
            accepted: false,
            lapsed: lapsed || before.is_some_and(|before| before.lapsed),
        });
        self
    }

    /// Whether the member was ordered to stop without a checkpoint.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.state
            .stopping
            .is_some_and(|stopping| stopping.mode == StopMode::Stop)
    }

    /// Ends the member as reported by the executor.
    #[must_use]
    pub fn end(self, end: MemberOutcome, now: Timestamp) -> Member<Ended> {
        let lapsed = self.state.stopping.is_some_and(|stopping| stopping.lapsed);
        let end = match end {
            MemberOutcome::Stopped if lapsed => MemberOutcome::Lapsed,
            end => end,
        };
        let verdict = self.verdict();
        self.with_state(Ended::new(end, verdict, now))
    }

    /// Ends the member because the executor refused to run it and guarantees that nothing ran.
    #[must_use]
    pub fn refuse_start(self, end: MemberOutcome, now: Timestamp) -> Member<Ended> {
        let ended = Ended::new(end, Verdict::NotRun, now).with_possible_task(false, now);
        self.with_state(ended)
    }
}
