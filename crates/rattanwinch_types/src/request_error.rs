use std::fmt;
use std::sync::Arc;

use crate::Verdict;

crate::value! { copy
    /// Why a request wasn't answered.
    pub enum ErrorKind {
        /// The request itself is wrong; sending it again won't help.
        Invalid,
        /// The same id was used before with another body.
        Conflict,
        /// No such organisation, request or job.
        NotFound,
        /// The system has no room now; the same request may be sent again.
        Busy,
        /// A part that is needed can't be reached now; the same request may be sent again.
        Unavailable,
        /// Operators have closed the availability zone.
        Closed,
        /// The deadline passed.
        Deadline,
        /// The caller or an operator cancelled it.
        Cancelled,
        /// It can never run in this fleet.
        Impossible,
        /// The sender isn't the decider any longer.
        Fenced,
        /// The executor ran it and reported a failure.
        Failed,
    }
}

impl ErrorKind {
    /// Every kind, in the order of declaration.
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

    /// Reads the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// A request that wasn't answered: why, and whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestError {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The class of the error, for programs.
    pub kind: ErrorKind,
    /// What was wrong, where, and what was expected, for people.
    pub message: Arc<str>,
}

impl RequestError {
    /// Makes an error with the given verdict.
    #[must_use]
    pub fn new(verdict: Verdict, kind: ErrorKind, message: impl AsRef<str>) -> Self {
        Self {
            verdict,
            kind,
            message: Arc::from(message.as_ref()),
        }
    }

    /// Makes an error for a request that didn't run and never will.
    #[must_use]
    pub fn not_run(kind: ErrorKind, message: impl AsRef<str>) -> Self {
        Self::new(Verdict::NotRun, kind, message)
    }

    /// Makes an error for a request that may have run.
    #[must_use]
    pub fn may_have_run(kind: ErrorKind, message: impl AsRef<str>) -> Self {
        Self::new(Verdict::MayHaveRun, kind, message)
    }

    /// True if the request certainly didn't run and never will.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    /// True if another target may be tried: nothing ran and the cause is the place, not the
    /// request.
    #[must_use]
    pub fn is_retryable_elsewhere(&self) -> bool {
        self.is_not_run()
            && matches!(
                self.kind,
                ErrorKind::Busy | ErrorKind::Unavailable | ErrorKind::Closed
            )
    }

    /// The same error with a verdict that is no better than `verdict`.
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
