use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::AcceleratorSet;
use crate::AttemptKey;
use crate::Epoch;

/// One task of one attempt at a gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey {
    /// The attempt at the gang.
    pub attempt: AttemptKey,
    /// The task's place in the gang, from 0.
    pub index: u16,
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.attempt, self.index)
    }
}

crate::value! {
    /// How a member ended.
    pub enum MemberOutcome {
        /// Its task finished and its output can be collected.
        Succeeded,
        /// Its task failed; the text is the executor's.
        Failed(Arc<str>),
        /// It was stopped on a decider's order, or its hold was aborted.
        Stopped,
        /// Its hold or its task lease lapsed.
        Lapsed,
    }
}

crate::value! {
    /// Where a member stands in its life.
    pub enum MemberPhase {
        /// The accelerators are kept and the task is loaded but doesn't run.
        Held,
        /// The task runs.
        Running,
        /// The task has ended.
        Ended(MemberOutcome),
    }
}

crate::value! {
    /// What an agent reports of one member.
    pub struct MemberReport {
        /// The member.
        pub member: MemberKey,
        /// The epoch of the decider that held it.
        pub epoch: Epoch,
        /// Where it stands.
        pub phase: MemberPhase,
        /// The accelerators it has; empty once it has ended.
        pub accelerators: AcceleratorSet,
    }
}

/// A decider's order to an agent to hold one member.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct HoldOrder {
    /// The member.
    pub member: MemberKey,
    /// The decider's epoch.
    pub epoch: Epoch,
    /// The accelerators to keep for it.
    pub accelerators: AcceleratorSet,
    /// The number of tasks in the gang.
    pub gang_tasks: u16,
    /// The text for the executor.
    pub payload: Arc<str>,
    /// How long the hold lasts without a release, from the order's arrival.
    pub hold_for: Duration,
}

crate::value! { copy
    /// How an agent takes a running member off its accelerators.
    pub enum StopMode {
        /// Leaves it running at a lower rate.
        Throttle,
        /// Saves its progress, then ends it.
        Checkpoint,
        /// Ends it.
        Stop,
    }
}

impl StopMode {
    /// The stable text used in messages and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Throttle => "throttle",
            Self::Checkpoint => "checkpoint",
            Self::Stop => "stop",
        }
    }

    /// Reads the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "throttle" => Some(Self::Throttle),
            "checkpoint" => Some(Self::Checkpoint),
            "stop" => Some(Self::Stop),
            _ => None,
        }
    }
}

crate::value! {
    /// A decider's order to stop one running member.
    pub struct StopOrder {
        /// The member.
        pub member: MemberKey,
        /// How.
        pub mode: StopMode,
    }
}
