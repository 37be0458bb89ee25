use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::JobState;
use rattanwinch_types::value;

value! {
    /// What a caller wants.
    pub enum CallerAction {
        /// Hand in a job; the body is read where the queue is known.
        Submit(Arc<str>),
        /// Learn the state of a job, or of a queue if the path names no job.
        Look,
        /// Cancel a job.
        Cancel,
    }
}

/// A caller's call, as any front takes it.
#[derive(Clone, PartialEq, Eq)]
pub struct CallerCall {
    /// The host that the caller named.
    pub host: Arc<str>,
    /// The path, which holds the queue's prefix and the job's id.
    pub path: Arc<str>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for an answer.
    pub deadline: Duration,
    /// What the caller wants.
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
    /// What the caller wants, for logs and metrics.
    #[must_use]
    pub const fn action_name(&self) -> &'static str {
        match self.action {
            CallerAction::Submit(_) => "submit",
            CallerAction::Look => "look",
            CallerAction::Cancel => "cancel",
        }
    }
}

value! {
    /// Why a call wasn't carried out.
    pub enum Refusal {
        /// The body can't be read.
        Malformed(Arc<str>),
        /// The body is too large.
        TooLarge,
        /// The key is missing or unknown.
        UnknownKey,
        /// The job belongs to another organisation than the key.
        OtherOrganisation,
        /// No queue has that host and path.
        UnknownQueue,
        /// The method means nothing here.
        NotAllowed,
        /// There is no such job.
        UnknownJob,
        /// The call can't be carried out now, and hasn't been.
        NotRun {
            /// When to try again.
            retry_after: Duration,
        },
        /// The call may have been carried out; it can be repeated with the same id.
        MayHaveRun,
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => f.write_str(cause),
            Self::TooLarge => f.write_str("the body is too large"),
            Self::UnknownKey => f.write_str("the key is missing or unknown"),
            Self::OtherOrganisation => f.write_str("the job belongs to another organisation"),
            Self::UnknownQueue => f.write_str("no queue has this host and path"),
            Self::NotAllowed => f.write_str("expected POST, GET or DELETE"),
            Self::UnknownJob => f.write_str("there is no such job"),
            Self::NotRun { .. } => f.write_str("not run: no scheduler could be reached in time"),
            Self::MayHaveRun => f.write_str("may have run: the scheduler gave no answer in time"),
        }
    }
}

value! {
    /// The answer to a call.
    pub enum CallerAnswer {
        /// The job is accepted and durable.
        Accepted,
        /// The job is cancelled, which is durable.
        Cancelled,
        /// The state of a job.
        State(JobState),
        /// How many accepted jobs of a queue have no task that has started.
        Pending(u64),
        /// The call wasn't carried out, or maybe it was.
        Refused(Refusal),
    }
}
