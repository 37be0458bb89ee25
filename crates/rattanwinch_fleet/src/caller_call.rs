use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::JobState;
use rattanwinch_types::value;

value! {
    /// The action that a caller requests.
    pub enum CallerAction {
        /// Submit a job; the body is parsed by the leader, which knows the queue.
        Submit(Arc<str>),
        /// Query the state of a job, or of a queue if the path names no job.
        Query,
        /// Cancel a job.
        Cancel,
    }
}

/// A caller's call, as received by any front.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerCall {
    /// Value of the `Host` header.
    pub host: Arc<str>,
    /// The path: the queue's prefix and the job's id.
    pub path: Arc<str>,
    /// The caller's API key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for an answer.
    pub deadline: Duration,
    /// The requested action.
    pub action: CallerAction,
}

impl fmt::Debug for CallerCall {
    /// Leaves out the key and the body, which may be secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerCall")
            .field("host", &self.host)
            .field("path", &self.path)
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}

impl CallerCall {
    /// Name of the requested action in logs and metrics.
    #[must_use]
    pub const fn action_name(&self) -> &'static str {
        match self.action {
            CallerAction::Submit(_) => "submit",
            CallerAction::Query => "look",
            CallerAction::Cancel => "cancel",
        }
    }
}

value! {
    /// Why a call wasn't carried out.
    pub enum Refusal {
        /// The body is invalid.
        Malformed(Arc<str>),
        /// The body is too large.
        TooLarge,
        /// The API key is missing or unknown.
        UnknownKey,
        /// The job belongs to another organisation than the API key.
        OtherOrganisation,
        /// No queue has that host and path.
        UnknownQueue,
        /// The method isn't supported.
        NotAllowed,
        /// The job is unknown.
        UnknownJob,
        /// The call can't be carried out now, and hasn't been.
        NotRun {
            /// Delay before the caller should retry.
            retry_after: Duration,
        },
        /// The job is not accepted, since it could not end while it is of use to its caller.
        NoRoom {
            /// Delay before the caller should submit the job again.
            retry_after: Duration,
        },
        /// The call may have been carried out; it can be repeated with the same id.
        MayHaveRun,
    }
}

impl Refusal {
    /// Returns true if the refusal of one attempt is true of the whole call, although an earlier
    /// attempt may have been carried out.
    ///
    /// Keys, queues and leaders change between two attempts, so a refusal says nothing about the
    /// attempts before it.
    const fn covers_earlier_attempts(&self, action: &CallerAction) -> bool {
        match action {
            CallerAction::Submit(_) => false,
            // Whatever became of the earlier attempt, no task of the job will start.
            CallerAction::Cancel => matches!(self, Self::UnknownJob),
            // A query has no effect.
            CallerAction::Query => true,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => f.write_str(cause),
            Self::TooLarge => f.write_str("the request body is too large"),
            Self::UnknownKey => f.write_str("the API key is missing or unknown"),
            Self::OtherOrganisation => f.write_str("the job belongs to another organisation"),
            Self::UnknownQueue => f.write_str("no queue has this host and path"),
            Self::NotAllowed => f.write_str("expected POST, GET or DELETE"),
            Self::UnknownJob => f.write_str("unknown job"),
            Self::NotRun { .. } => {
                f.write_str("not run: the scheduler could not be reached in time")
            }
            Self::NoRoom { .. } => {
                f.write_str("not run: there is too much work to end the job while it is of use")
            }
            Self::MayHaveRun => f.write_str("may have run: the scheduler did not answer in time"),
        }
    }
}

value! {
    /// The answer to a call.
    pub enum CallerAnswer {
        /// The job is accepted; this is durable.
        Accepted,
        /// The job is cancelled; this is durable.
        Cancelled,
        /// The state of a job.
        State(JobState),
        /// Number of a queue's accepted jobs of which no task has started.
        Pending(u64),
        /// The call was refused; [`Refusal::MayHaveRun`] if it may have been carried out.
        Refused(Refusal),
    }
}

impl CallerAnswer {
    /// Returns the answer to a call of which an earlier attempt may have been carried out, given
    /// the answer to its last attempt.
    #[must_use]
    pub fn after_uncertain_attempt(self, action: &CallerAction) -> Self {
        match self {
            Self::Refused(refusal) if !refusal.covers_earlier_attempts(action) => {
                Self::Refused(Refusal::MayHaveRun)
            }
            answer => answer,
        }
    }
}
