use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::AcceleratorSet;
use crate::AttemptKey;
use crate::Epoch;

/// Identifies a member: one task of one attempt at a gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberKey {
    /// The attempt at the gang.
    pub attempt: AttemptKey,
    /// The index of the task in the gang, from 0.
    pub index: u16,
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.attempt, self.index)
    }
}

crate::value! {
    /// The outcome of a member.
    pub enum MemberOutcome {
        /// The task finished and its output can be collected.
        Succeeded,
        /// The task failed; the text is the executor's error message.
        Failed(Arc<str>),
        /// The member was stopped by a decider, or its hold was aborted.
        Stopped,
        /// The hold or the task lease expired.
        Lapsed,
    }
}

crate::value! {
    /// The lifecycle phase of a member.
    pub enum MemberPhase {
        /// The accelerators are reserved and the task is loaded but does not run.
        Held,
        /// The task runs.
        Running,
        /// The task has ended.
        Ended(MemberOutcome),
    }
}

crate::value! {
    /// An agent's report on one member.
    pub struct MemberReport {
        /// The member.
        pub member: MemberKey,
        /// The epoch of the decider that ordered the hold.
        pub epoch: Epoch,
        /// The lifecycle phase of the member.
        pub phase: MemberPhase,
        /// The accelerators that the member occupies; empty once it has ended.
        pub accelerators: AcceleratorSet,
    }
}

/// A decider's order to an agent to hold a member: reserve accelerators and load the task.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct HoldOrder {
    /// The member.
    pub member: MemberKey,
    /// The epoch of the decider.
    pub epoch: Epoch,
    /// The accelerators to reserve.
    pub accelerators: AcceleratorSet,
    /// The number of tasks in the gang.
    pub gang_tasks: u16,
    /// The payload passed to the executor.
    pub payload: Arc<str>,
    /// How long the hold lasts without a release, measured from the arrival of the order.
    pub hold_for: Duration,
}

crate::value! { copy
    /// How an agent stops or slows a running member.
    pub enum StopMode {
        /// Throttles the member, which continues at a lower rate.
        Throttle,
        /// Writes a checkpoint, then stops the member.
        Checkpoint,
        /// Stops the member without a checkpoint.
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

    /// Parses the stable text.
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
    /// A decider's order to stop or throttle a running member.
    pub struct StopOrder {
        /// The member.
        pub member: MemberKey,
        /// How the member is stopped.
        pub mode: StopMode,
    }
}
