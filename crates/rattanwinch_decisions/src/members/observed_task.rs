use std::sync::Arc;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;

rattanwinch_types::value! {
    /// Where the executor says that a task stands.
    pub enum ObservedState {
        /// It is loaded and doesn't run.
        Loaded,
        /// It runs.
        Running,
        /// It finished; its output can be read.
        Succeeded,
        /// It failed, with the executor's text.
        Failed(Arc<str>),
        /// It was stopped or checkpointed on order.
        Stopped,
        /// Its lease expired, so the executor ended it.
        Expired,
    }
}

impl ObservedState {
    /// How the task ended, or `None` while it is loaded or runs.
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
    /// One task in the executor's list.
    pub struct ObservedTask {
        /// The member that the task is.
        pub member: MemberKey,
        /// The epoch of the decider that loaded it.
        pub epoch: Epoch,
        /// The accelerators that it uses.
        pub accelerators: AcceleratorSet,
        /// Where it stands.
        pub state: ObservedState,
    }
}
