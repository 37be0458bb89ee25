use std::fmt;

use crate::StoreError;

/// The gRPC status code `NOT_FOUND`, for a lease or key that does not exist.
const CODE_NOT_FOUND: i32 = 5;

/// The result of a gateway call.
pub(crate) type Result<T> = std::result::Result<T, CallError>;

/// An error of a gateway call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The rate limiter rejected the call; nothing was sent.
    RateLimited,
    /// No connection could be established; nothing was sent.
    NotSent(String),
    /// The store rejected the call; nothing was applied.
    Refused {
        /// The gRPC status code.
        code: i32,
        /// The store's error message.
        message: String,
    },
    /// The call was sent but its response was lost; it may be applied, now or later.
    Lost(String),
}

impl CallError {
    /// Returns the value of the metric label.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::RateLimited => "over_budget",
            Self::NotSent(_) => "not_sent",
            Self::Refused { .. } => "refused",
            Self::Lost(_) => "lost",
        }
    }

    /// Whether the store rejected the call because a lease does not exist.
    pub const fn is_not_found(&self) -> bool {
        matches!(self, Self::Refused { code, .. } if *code == CODE_NOT_FOUND)
    }

    /// Converts the error of a read call, which cannot have been applied.
    pub fn to_read_error(&self) -> StoreError {
        StoreError::not_applied(self.to_string())
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RateLimited => {
                f.write_str("call not sent: the rate limit of this process is reached")
            }
            Self::NotSent(text) => write!(f, "cannot connect to the store: {text}"),
            Self::Refused { code, message } => write!(
                f,
                "call rejected by the store (gRPC code {code}): {message}"
            ),
            Self::Lost(text) => write!(f, "response to the call lost: {text}"),
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
