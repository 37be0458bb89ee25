use std::sync::Arc;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;

rattanwinch_types::value! {
    /// State of a task as reported by the executor.
    pub enum ObservedState {
        /// The task is loaded and doesn't run.
        Loaded,
        /// The task runs.
        Running,
        /// The task succeeded; its output can be read.
        Succeeded,
        /// The task failed, with the executor's error text.
        Failed(Arc<str>),
        /// The task was stopped or checkpointed on order.
        Stopped,
        /// The lease expired, so the executor ended the task.
        Expired,
    }
}

impl ObservedState {
    /// How the task ended; `None` while it is loaded or runs.
    #[must_use]
    pub fn end(&self) -> Option<MemberOutcome> {
        match self {
            Self::Loaded | Self::Running => None,
            Self::Succeeded => Some(MemberOutcome::Succeeded),
            Self::Failed(text) => Some(MemberOutcome::Failed(Arc::clone(text))),
            Self::Stopped => Some(MemberOutcome::Stopped),
            Self::Expired => Some(MemberOutcome::Lapsed),
        }
    }
}

rattanwinch_types::value! {
    /// A task in the executor's list.
    pub struct ObservedTask {
        /// The member that the task belongs to.
        pub member: MemberKey,
        /// Epoch of the decider that ordered the load.
        pub epoch: Epoch,
        /// Accelerators that the task uses.
        pub accelerators: AcceleratorSet,
        /// Reported state.
        pub state: ObservedState,
    }
}
