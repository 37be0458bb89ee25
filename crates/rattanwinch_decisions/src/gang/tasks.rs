use std::sync::Arc;

use rattanwinch_types::Answer;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::StopMode;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

/// Response of an agent to a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldResponse {
    /// No response yet.
    Pending,
    /// The agent holds the member.
    Held,
    /// The agent refused or did not respond.
    Refused,
    /// The agent's executor failed to load the task.
    Failed,
}

/// One task of an attempt that is being held.
#[derive(Clone, Debug)]
pub(super) struct HeldTask {
    /// Placement of the task.
    pub placed: PlacedTask,
    /// The agent's response.
    pub response: HoldResponse,
}

/// Step in the start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HoldStep {
    /// The holds are sent at this time, after a backoff.
    Delayed(Timestamp),
    /// The holds are sent, and responses are pending.
    AwaitingResponses,
    /// The commit is being written to the store.
    Committing,
    /// The outcome of the commit is unknown; the record is read at this time.
    InDoubt(Timestamp),
    /// The record is being read.
    Reading,
}

/// Known phase of a task of a committed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// Committed by an earlier decider; the agent has not reported the task yet.
    Unreported,
    /// Held; the release was sent or is due.
    Releasing,
    /// The task runs.
    Running,
    /// The task succeeded; contains the output once it has been collected.
    Succeeded(Option<Answer>),
    /// The task doesn't run and never will.
    Ended,
}

/// One task of a committed attempt.
#[derive(Clone, Debug)]
pub(super) struct CommittedTask {
    /// Placement of the task.
    pub placed: PlacedTask,
    /// Known phase.
    pub phase: TaskPhase,
    /// When the agent last reported the task, or when this decider restored the job.
    pub reported_at: Timestamp,
    /// When the last message about the task was sent.
    pub sent_at: Timestamp,
}

impl CommittedTask {
    /// Whether the task doesn't run and never will.
    pub const fn has_ended(&self) -> bool {
        matches!(self.phase, TaskPhase::Succeeded(_) | TaskPhase::Ended)
    }
}

/// Why an attempt ends as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EndCause {
    /// A task failed, with the executor's error text.
    Failed(TargetName, Arc<str>),
    /// A member's worker was lost, or a member disappeared.
    Lost(TargetName, Arc<str>),
    /// The holds were too old to be released when the commit was confirmed.
    HoldsExpired,
    /// The gang was evicted for other work.
    Evicted(Arc<str>),
    /// The caller cancelled the job.
    Cancelled,
    /// The deadline passed.
    Deadline,
}

/// An attempt that is ending as a whole.
#[derive(Clone, Debug)]
pub(super) struct Ending {
    /// Cause of the end.
    pub cause: EndCause,
    /// Current stop mode for its members.
    pub mode: StopMode,
    /// When members that still run are stopped without a checkpoint.
    pub escalate_at: Timestamp,
}
