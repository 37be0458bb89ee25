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

/// A job record with its revision; `None` if the store has no valid record.
pub(super) type StoredRecord = Option<(Box<JobRecord>, Revision)>;

/// A message to the task that decides a zone.
#[derive(Debug)]
pub(crate) enum ZoneMessage {
    /// An agent's heartbeat.
    Heartbeat(Box<Heartbeat>, oneshot::Sender<HeartbeatOrders>),
    /// A job and the revision at which the store has its record.
    Submit(Box<JobRecord>, Revision, oneshot::Sender<JobStatus>),
    /// Queries the status of a job, to be answered when the job ends or at the given time; `None`
    /// if the job is unknown.
    Status(RequestKey, Timestamp, oneshot::Sender<Option<JobStatus>>),
    /// Cancels a job; the reply is its status afterwards.
    Cancel(RequestKey, oneshot::Sender<Option<JobStatus>>),
    /// Queries the decisions about a job.
    Explain(RequestKey, oneshot::Sender<Option<Vec<Explanation>>>),
    /// The response to a call that the task made.
    Response(Response),
}

/// The result of a call that the task made.
#[derive(Debug)]
pub(crate) enum Response {
    /// The result of an adoption request; `None` if the agent refused or did not answer.
    Adopted(TargetName, Incarnation, Option<Vec<MemberReport>>),
    /// The result of a hold at a worker.
    Held(TargetName, MemberKey, Result<(), RequestError>),
    /// The result of a release.
    Released(MemberKey, Result<(), RequestError>),
    /// An abort that the agent accepted.
    Aborted(MemberKey),
    /// The result of collecting a member's output.
    Collected(MemberKey, Result<Answer, RequestError>),
    /// The result of writing a job's record.
    Written(RequestKey, WriteOutcome),
    /// The result of reading a job's record.
    Read(RequestKey, StoredRecord),
    /// The result of moving a job to another zone; false if the job stays.
    Moved(RequestKey, ZoneName, bool),
}
