use rattanwinch_decisions::HeartbeatOrders;
use rattanwinch_decisions::WriteOutcome;
use rattanwinch_types::Answer;
use rattanwinch_types::Explanation;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Incarnation;
use rattanwinch_types::JobRecord;
use rattanwinch_types::JobStatus;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use tokio::sync::oneshot;

/// A record with its revision.
pub(super) type Found = Option<(Box<JobRecord>, Revision)>;

/// What the task of a decided zone receives.
#[derive(Debug)]
pub(crate) enum ZoneMessage {
    /// An agent's heartbeat.
    Heartbeat(Box<Heartbeat>, oneshot::Sender<HeartbeatOrders>),
    /// A job that the store has at this revision.
    Submit(Box<JobRecord>, Revision, oneshot::Sender<JobStatus>),
    /// A question for a job, to be answered at its end or at the given time; `None` if the job
    /// isn't known.
    Status(RequestKey, Timestamp, oneshot::Sender<Option<JobStatus>>),
    /// A cancellation; the response is the status after it.
    Cancel(RequestKey, oneshot::Sender<Option<JobStatus>>),
    /// A question for the decisions about a job.
    Explain(RequestKey, oneshot::Sender<Option<Vec<Explanation>>>),
    /// The response to a call that the task made.
    Response(Response),
}

/// What came of a call that a zone's task made.
#[derive(Debug)]
pub(crate) enum Response {
    /// Of an adoption; `None` if the agent didn't answer or refused.
    Adopted(TargetName, Incarnation, Option<Vec<MemberReport>>),
    /// Of a hold at a worker.
    Held(TargetName, MemberKey, Result<(), RequestError>),
    /// Of a release.
    Released(MemberKey, Result<(), RequestError>),
    /// Of an abort that was accepted.
    Aborted(MemberKey),
    /// Of a collection.
    Collected(MemberKey, Result<Answer, RequestError>),
    /// Of a write of a job's record.
    Written(RequestKey, WriteOutcome),
    /// Of a read of a job's record.
    Read(RequestKey, Found),
    /// Of a move of a job to another zone; false if it stays.
    Moved(RequestKey, ZoneName, bool),
}
