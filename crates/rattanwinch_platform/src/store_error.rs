use std::fmt;
use std::sync::Arc;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;

/// The result of a store call.
pub type Result<T> = std::result::Result<T, StoreError>;

/// An error of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// The error text.
    pub message: Arc<str>,
}

impl StoreError {
    /// Creates an error for a call that was not applied.
    #[must_use]
    pub fn not_applied(message: impl AsRef<str>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: Arc::from(message.as_ref()),
        }
    }

    /// Creates an error for a call that may have been applied or may still be applied later.
    #[must_use]
    pub fn may_be_applied(message: impl AsRef<str>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            message: Arc::from(message.as_ref()),
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let effect = match self.verdict {
            Verdict::NotRun => "nothing was written",
            Verdict::MayHaveRun | Verdict::Ran => "the write may have taken effect",
        };
        write!(f, "store: {} ({effect})", self.message)
    }
}

impl std::error::Error for StoreError {}

impl From<StoreError> for RequestError {
    /// Store calls of a request precede its execution, so the verdict is "not run". A caller
    /// that has already started the request must replace the verdict.
    fn from(error: StoreError) -> Self {
        Self::not_run(ErrorKind::Unavailable, error.to_string())
    }
}
