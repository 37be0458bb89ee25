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

/// What a command returns.
pub(crate) type Result<T> = std::result::Result<T, RequestError>;

/// Where the answer to a command goes; nobody may wait for it any longer.
pub(crate) type AnswerTo<T> = oneshot::Sender<Result<T>>;

/// What the task that owns the member table is told.
#[derive(Debug)]
pub(crate) enum MemberMessage {
    /// A decider takes over.
    Adopt(Epoch, AnswerTo<Vec<MemberReport>>),
    /// A decider's command to hold.
    Hold(HoldOrder, AnswerTo<()>),
    /// A decider's command to release.
    Release(MemberKey, Epoch, AnswerTo<()>),
    /// A decider's command to abort.
    Abort(MemberKey, Epoch, AnswerTo<()>),
    /// A decider's command to stop.
    Stop(StopOrder, Epoch, AnswerTo<()>),
    /// Whether the output of a member can be read.
    CheckOutput(MemberKey, AnswerTo<()>),
    /// An entry's response to a heartbeat that was sent at the given time.
    HeartbeatAnswered(Timestamp, Box<HeartbeatResponse>),
    /// The result of an action at the executor.
    Done(MemberKey, Step, Result<()>),
    /// The executor's tasks, if they could be listed.
    Listed(TaskListRequest, Result<Vec<ObservedTask>>),
}

/// The kind of an action whose result the table needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A task was loaded.
    Load,
    /// A task was run.
    Run,
    /// A task was throttled, checkpointed or stopped.
    Stop(StopMode),
}
