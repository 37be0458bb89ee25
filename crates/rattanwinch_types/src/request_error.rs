use std::fmt;
use std::sync::Arc;

use crate::Verdict;

crate::value! { copy
    /// The kind of a request error.
    pub enum ErrorKind {
        /// The request is invalid; a retry fails as well.
        Invalid,
        /// The same id was used before with a different body.
        Conflict,
        /// There is no such organisation, request or job.
        NotFound,
        /// There is no free capacity; the request may be retried.
        Busy,
        /// A required component is unreachable; the request may be retried.
        Unavailable,
        /// Operators have closed the availability zone.
        Closed,
        /// The deadline has passed.
        Deadline,
        /// The request was cancelled by the caller or an operator.
        Cancelled,
        /// The request can never run in this fleet.
        Impossible,
        /// The sender is no longer the decider.
        Fenced,
        /// The executor ran the request and reported a failure.
        Failed,
    }
}

impl ErrorKind {
    /// All kinds, in the order of declaration.
    pub const ALL: [Self; 11] = [
        Self::Invalid,
        Self::Conflict,
        Self::NotFound,
        Self::Busy,
        Self::Unavailable,
        Self::Closed,
        Self::Deadline,
        Self::Cancelled,
        Self::Impossible,
        Self::Fenced,
        Self::Failed,
    ];

    /// The stable text used in messages, logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::Conflict => "conflict",
            Self::NotFound => "not_found",
            Self::Busy => "busy",
            Self::Unavailable => "unavailable",
            Self::Closed => "closed",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Impossible => "impossible",
            Self::Fenced => "fenced",
            Self::Failed => "failed",
        }
    }

    /// Parses the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// The error of a request, with the verdict on whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The error kind, for programs.
    pub kind: ErrorKind,
    /// The error message, for people: what failed and what was expected.
    pub message: Arc<str>,
}

impl RequestError {
    /// Creates an error with the given verdict.
    #[must_use]
    pub fn new(verdict: Verdict, kind: ErrorKind, message: impl AsRef<str>) -> Self {
        Self {
            verdict,
            kind,
            message: Arc::from(message.as_ref()),
        }
    }

    /// Creates an error for a request that did not run and never will.
    #[must_use]
    pub fn not_run(kind: ErrorKind, message: impl AsRef<str>) -> Self {
        Self::new(Verdict::NotRun, kind, message)
    }

    /// Creates an error for a request that may have run.
    #[must_use]
    pub fn may_have_run(kind: ErrorKind, message: impl AsRef<str>) -> Self {
        Self::new(Verdict::MayHaveRun, kind, message)
    }

    /// Returns true if the request did not run and never will.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    /// Returns true if the request may be retried on another target: nothing ran, and the cause
    /// lies with the target.
    #[must_use]
    pub fn is_retryable_elsewhere(&self) -> bool {
        self.is_not_run()
            && matches!(
                self.kind,
                ErrorKind::Busy | ErrorKind::Unavailable | ErrorKind::Closed
            )
    }

    /// Raises the verdict to at least `verdict`, in the order of [`Verdict`].
    #[must_use]
    pub fn with_verdict_at_least(mut self, verdict: Verdict) -> Self {
        self.verdict = self.verdict.max(verdict);
        self
    }
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}; the request: {})",
            self.message,
            self.kind.as_str(),
            self.verdict
        )
    }
}

impl std::error::Error for RequestError {}
