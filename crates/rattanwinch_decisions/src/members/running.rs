use rattanwinch_types::Epoch;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use super::Ended;
use super::Member;

rattanwinch_types::value! { copy
    /// The circumstances of a start, kept so that the invariants can be checked afterwards.
    pub struct Start {
        /// When the member was released.
        pub at: Timestamp,
        /// When its hold would have expired.
        pub hold_expires_at: Timestamp,
        /// Until when the gate was fresh.
        pub fresh_until: Timestamp,
        /// The epoch of the release.
        pub epoch: Epoch,
        /// The highest epoch known at the release.
        pub highest_epoch: Epoch,
    }
}

rattanwinch_types::value! { copy
    /// An order to take a running member off its accelerators.
    pub(super) struct Stopping {
        /// The strongest mode ordered so far.
        pub mode: StopMode,
        /// When the executor was last asked.
        pub asked_at: Timestamp,
        /// Whether the executor has accepted the order.
        pub accepted: bool,
        /// Whether an expired lease, rather than a decider, is the cause.
        pub lapsed: bool,
    }
}

rattanwinch_types::value! {
    /// The state of a member whose task runs, or may run because a call to run it was made.
    pub struct Running {
        /// The circumstances of the start; `None` for a task adopted from the executor.
        pub(super) start: Option<Start>,
        /// When its task lease ends.
        pub(super) lease_until: Timestamp,
        /// Whether the executor has confirmed that the task was run.
        pub(super) confirmed: bool,
        /// The step at which the executor confirmed to have the task; `None` if it never did.
        pub(super) loaded: Option<u64>,
        /// The order to stop it, if there is one.
        pub(super) stopping: Option<Stopping>,
    }
}

impl Running {
    pub(super) const fn started(start: Start, lease_until: Timestamp, loaded: Option<u64>) -> Self {
        Self {
            start: Some(start),
            lease_until,
            confirmed: false,
            loaded,
            stopping: None,
        }
    }

    pub(super) const fn adopted(lease_until: Timestamp, confirmed: bool) -> Self {
        Self {
            start: None,
            lease_until,
            confirmed,
            loaded: Some(0),
            stopping: None,
        }
    }
}

impl Member<Running> {
    /// The circumstances of the start; `None` for a task adopted from the executor.
    #[must_use]
    pub const fn start(&self) -> Option<Start> {
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
        self.state.confirmed
    }

    /// Whether the task ran, as far as is known.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        if self.state.confirmed {
            Verdict::Ran
        } else {
            Verdict::MayHaveRun
        }
    }

    /// The same member once the executor has confirmed the start.
    #[must_use]
    pub fn with_start_confirmed(mut self) -> Self {
        self.state.confirmed = true;
        self
    }

    /// The same member with a lease that ends no earlier than `until`.
    #[must_use]
    pub fn with_lease(mut self, until: Timestamp) -> Self {
        self.state.lease_until = self.state.lease_until.max(until);
        self
    }

    /// The same member with an order to stop that the executor is asked for at `now`; a weaker
    /// order never replaces a stronger one.
    #[must_use]
    pub(super) fn with_stop(mut self, mode: StopMode, lapsed: bool, now: Timestamp) -> Self {
        let before = self.state.stopping;
        let strongest = before.map_or(mode, |before| before.mode.max(mode));
        self.state.stopping = Some(Stopping {
            mode: strongest,
            asked_at: now,
            accepted: false,
            lapsed: lapsed || before.is_some_and(|before| before.lapsed),
        });
        self
    }

    /// Whether it has to end: an order to stop outright was given.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.state
            .stopping
            .is_some_and(|stopping| stopping.mode == StopMode::Stop)
    }

    /// Ends the member as the executor reports it.
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

    /// Ends the member because the executor refused to run it and promises that nothing ran.
    #[must_use]
    pub fn refuse_start(self, end: MemberOutcome, now: Timestamp) -> Member<Ended> {
        let ended = Ended::new(end, Verdict::NotRun, now).with_task_left(false, now);
        self.with_state(ended)
    }
}
