use std::fmt;
use std::time::Duration;

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;

/// The code of [`RpcFailure::NotLeading`].
const NOT_LEADING: i32 = -32_001;

/// Why a call to another process of the site gave no answer.
#[derive(Debug)]
pub enum RpcFailure {
    /// The front doesn't schedule and has done nothing.
    NotLeading,
    /// The call may have been carried out, or may still be.
    Unanswered(Box<dyn std::error::Error + Send + Sync>),
}

impl RpcFailure {
    /// True if the call has certainly not been carried out.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotLeading)
    }
}

impl fmt::Display for RpcFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeading => f.write_str("the front doesn't schedule"),
            Self::Unanswered(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for RpcFailure {}

impl From<RpcFailure> for ErrorObjectOwned {
    fn from(failure: RpcFailure) -> Self {
        Self::owned(NOT_LEADING, failure.to_string(), None::<()>)
    }
}

impl From<ClientError> for RpcFailure {
    fn from(error: ClientError) -> Self {
        match &error {
            ClientError::Call(object) if object.code() == NOT_LEADING => Self::NotLeading,
            _ => Self::Unanswered(Box::new(error)),
        }
    }
}

/// Waits for a call, at most `limit`.
pub(crate) async fn within<T>(
    limit: Duration,
    call: impl Future<Output = std::result::Result<T, ClientError>>,
) -> std::result::Result<T, RpcFailure> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.into()),
        Err(elapsed) => Err(RpcFailure::Unanswered(Box::new(elapsed))),
    }
}
