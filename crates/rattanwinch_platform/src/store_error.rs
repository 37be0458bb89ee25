use std::fmt;
use std::sync::Arc;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;

/// What a call to the store returns.
pub type Result<T> = std::result::Result<T, StoreError>;

/// A call to the store that wasn't answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreError {
    /// Whether the call may have taken effect.
    pub verdict: Verdict,
    /// What went wrong.
    pub message: Arc<str>,
}

impl StoreError {
    /// An error of a call that certainly had no effect.
    #[must_use]
    pub fn not_applied(message: impl AsRef<str>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            message: Arc::from(message.as_ref()),
        }
    }

    /// An error of a call that may have taken effect, now or later.
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
    /// The store's part of a request comes before anything runs, so the verdict on the request
    /// is the caller's to worsen.
    fn from(error: StoreError) -> Self {
        Self::not_run(ErrorKind::Unavailable, error.to_string())
    }
}
