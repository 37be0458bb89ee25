use rattanwinch_decisions::ObservedTask;
use rattanwinch_decisions::TaskListRequest;
use rattanwinch_types::Epoch;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Timestamp;
use tokio::sync::oneshot;

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, RequestError>;

/// The sender for the reply to a command; the receiver may already be gone.
pub(crate) type ReplySender<T> = oneshot::Sender<Result<T>>;

/// A message to the member actor.
#[derive(Debug)]
pub(crate) enum MemberMessage {
    /// A decider takes the zone over.
    Adopt(Epoch, ReplySender<Vec<MemberReport>>),
    /// A decider's hold command.
    Hold(HoldOrder, ReplySender<()>),
    /// A decider's release command.
    Release(MemberKey, Epoch, ReplySender<()>),
    /// A decider's abort command.
    Abort(MemberKey, Epoch, ReplySender<()>),
    /// A decider's stop command.
    Stop(StopOrder, Epoch, ReplySender<()>),
    /// Checks whether the output of a member can be read.
    CheckOutput(MemberKey, ReplySender<()>),
    /// An entry's response to a heartbeat that was sent at the given time.
    HeartbeatResponse(Timestamp, Box<HeartbeatResponse>),
    /// The result of an action at the executor.
    Done(MemberKey, ActionKind, Result<()>),
    /// The executor's tasks, or the error of listing them.
    TaskList(TaskListRequest, Result<Vec<ObservedTask>>),
}

/// The kind of an action at the executor whose result the member table needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ActionKind {
    /// Loading a task.
    Load,
    /// Running a task.
    Run,
    /// Throttling, checkpointing or stopping a task.
    Stop(StopMode),
}
