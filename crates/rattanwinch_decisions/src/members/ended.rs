use rattanwinch_types::MemberOutcome;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use super::Member;

rattanwinch_types::value! {
    /// Task that the executor may still hold for a member that never ran.
    pub(super) enum ExecutorTask {
        /// No task.
        Absent,
        /// No response to the load call has arrived yet.
        Loading,
        /// The task may be loaded; the last stop call that drops it was sent at this time.
        Loaded(Timestamp),
    }
}

rattanwinch_types::value! {
    /// State of a member that has ended and never runs again.
    pub struct Ended {
        /// How it ended.
        pub(super) end: MemberOutcome,
        /// Whether it ran.
        pub(super) verdict: Verdict,
        /// When it ended.
        pub(super) at: Timestamp,
        /// Task that the executor may still hold; the accelerators stay occupied until it is
        /// absent.
        pub(super) executor_task: ExecutorTask,
    }
}

impl Ended {
    pub(super) const fn new(end: MemberOutcome, verdict: Verdict, at: Timestamp) -> Self {
        Self {
            end,
            verdict,
            at,
            executor_task: ExecutorTask::Absent,
        }
    }

    pub(super) fn with_possible_task(mut self, loading: bool, stop_sent_at: Timestamp) -> Self {
        self.executor_task = if loading {
            ExecutorTask::Loading
        } else {
            ExecutorTask::Loaded(stop_sent_at)
        };
        self
    }
}

impl Member<Ended> {
    /// How it ended.
    #[must_use]
    pub const fn outcome(&self) -> &MemberOutcome {
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

    /// Whether the member's accelerators are free, because the executor holds no task of it.
    #[must_use]
    pub fn has_freed_accelerators(&self) -> bool {
        self.state.executor_task == ExecutorTask::Absent
    }

    /// Returns the member with another state of its executor task.
    #[must_use]
    pub(super) fn with_executor_task(mut self, executor_task: ExecutorTask) -> Self {
        self.state.executor_task = executor_task;
        self
    }
}
