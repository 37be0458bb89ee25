use std::sync::Arc;

use rattanwinch_types::Answer;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::StopMode;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

/// How an agent answered a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldAnswer {
    /// Not yet.
    Pending,
    /// It holds the member.
    Held,
    /// It doesn't, or it didn't answer.
    Refused,
    /// Its executor failed to load the task.
    Failed,
}

/// One task of an attempt that is being held.
#[derive(Clone, Debug)]
pub(super) struct HeldTask {
    /// Where it is placed.
    pub placed: PlacedTask,
    /// The agent's answer.
    pub answer: HoldAnswer,
}

/// Where the start of an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldStep {
    /// The holds are sent at this time, after a back-off.
    Delayed(Timestamp),
    /// The holds are sent and not all answered.
    Asking,
    /// The commit is on its way to the store.
    Committing,
    /// The outcome of the commit is unknown; the record is read again at this time.
    Unknown(Timestamp),
    /// The record is being read.
    Reading,
}

/// What is known of a task of a committed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Committed by an earlier decider; its agent hasn't reported it yet.
    Unreported,
    /// Held; the release was sent, or is to be sent.
    Releasing,
    /// It runs.
    Running,
    /// It succeeded; its output is there once it has been collected.
    Succeeded(Option<Answer>),
    /// It is known not to run any longer, and never to run again.
    Ended,
}

/// One task of a committed attempt.
#[derive(Clone, Debug)]
pub(super) struct CommittedTask {
    /// Where it is placed.
    pub placed: PlacedTask,
    /// What is known of it.
    pub phase: TaskPhase,
    /// When its agent last reported it, or had it renewed by an earlier decider.
    pub reported_at: Timestamp,
    /// When the last message about it was sent.
    pub sent_at: Timestamp,
}

impl CommittedTask {
    /// True if it certainly doesn't run and never will.
    pub const fn is_over(&self) -> bool {
        matches!(self.phase, TaskPhase::Succeeded(_) | TaskPhase::Ended)
    }
}

/// Why an attempt ends as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// A task failed; the text is the executor's.
    Failed(TargetName, Arc<str>),
    /// A member's worker was lost, or a member disappeared.
    Lost(TargetName, Arc<str>),
    /// The holds were too old to be released when the commit was confirmed.
    HoldsExpired,
    /// Other work needs the accelerators.
    Evicted(Arc<str>),
    /// The caller cancelled it.
    Cancelled,
    /// The deadline passed.
    Deadline,
}

/// An attempt that ends as a whole.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    /// Why.
    pub cause: EndCause,
    /// How its members are ended now.
    pub mode: StopMode,
    /// When members that still run are stopped at once.
    pub escalate_at: Timestamp,
}
