use std::fmt;

use crate::StoreError;

/// The gRPC code of a lease or key that doesn't exist.
const CODE_NOT_FOUND: i32 = 5;

/// What a call to the gateway returns.
pub(crate) type Result<T> = std::result::Result<T, CallError>;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The budget of calls is used up; nothing was sent.
    OverBudget,
    /// No connection could be made; nothing was sent.
    NotSent(String),
    /// The store refused the call as a whole; nothing was applied.
    Refused {
        /// The gRPC code.
        code: i32,
        /// The store's text.
        message: String,
    },
    /// The call was sent and its answer was lost; it may be applied, now or later.
    Lost(String),
}

impl CallError {
    /// The text of the metric label.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::OverBudget => "over_budget",
            Self::NotSent(_) => "not_sent",
            Self::Refused { .. } => "refused",
            Self::Lost(_) => "lost",
        }
    }

    /// Whether the store said that a lease of the call doesn't exist.
    pub const fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused { code, .. } if *code == CODE_NOT_FOUND)
    }

    /// The error of a call that only read, so nothing can have been applied.
    pub fn of_read(&self) -> StoreError {
        StoreError::not_applied(self.to_string())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OverBudget => f.write_str("the process's budget of calls is used up"),
            Self::NotSent(text) => write!(f, "no connection: {text}"),
            Self::Refused { code, message } => write!(f, "call refused (code {code}): {message}"),
            Self::Lost(text) => write!(f, "response lost: {text}"),
        }
    }
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Lost(_) => Self::may_be_applied(error.to_string()),
            _ => Self::not_applied(error.to_string()),
        }
    }
}
