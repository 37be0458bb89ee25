use rattanwinch_types::MemberOutcome;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use super::Member;

rattanwinch_types::value! {
    /// What the executor may still have of a member that never ran.
    pub(super) enum TaskLeft {
        /// Nothing.
        Nothing,
        /// The call that loads the task hasn't been answered.
        Loading,
        /// The task may be loaded; the executor was last asked at this time to drop it.
        Loaded(Timestamp),
    }
}

rattanwinch_types::value! {
    /// The state of a member that has ended and never runs again.
    pub struct Ended {
        /// How it ended.
        pub(super) end: MemberOutcome,
        /// Whether it ran.
        pub(super) verdict: Verdict,
        /// When it ended.
        pub(super) at: Timestamp,
        /// What the executor may still have; until it is nothing, the accelerators stay taken.
        pub(super) left: TaskLeft,
    }
}

impl Ended {
    pub(super) const fn new(end: MemberOutcome, verdict: Verdict, at: Timestamp) -> Self {
        Self {
            end,
            verdict,
            at,
            left: TaskLeft::Nothing,
        }
    }

    pub(super) fn with_task_left(mut self, loading: bool, asked_at: Timestamp) -> Self {
        self.left = if loading {
            TaskLeft::Loading
        } else {
            TaskLeft::Loaded(asked_at)
        };
        self
    }
}

impl Member<Ended> {
    /// How it ended.
    #[must_use]
    pub const fn how(&self) -> &MemberOutcome {
        &self.state.end
    }

    /// Whether it ran.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        self.state.verdict
    }

    /// When it ended.
    #[must_use]
    pub const fn ended_at(&self) -> Timestamp {
        self.state.at
    }

    /// Whether its accelerators are free: the executor has nothing of it any longer.
    #[must_use]
    pub fn is_cleared(&self) -> bool {
        self.state.left == TaskLeft::Nothing
    }

    /// The same member with what the executor may still have.
    #[must_use]
    pub(super) fn with_left(mut self, left: TaskLeft) -> Self {
        self.state.left = left;
        self
    }
}
