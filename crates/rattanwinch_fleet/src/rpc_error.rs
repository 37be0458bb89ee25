use std::error::Error;
use std::fmt;
use std::time::Duration;

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;

/// JSON-RPC error code of [`RpcError::NotLeading`].
const NOT_LEADING: i32 = -32_001;

/// Why a call to another process of the site has no answer.
#[derive(Debug)]
pub enum RpcError {
    /// The front isn't the leader and has done nothing.
    NotLeading,
    /// Nothing was sent, as the connection failed.
    NotSent(ClientError),
    /// The call may have been carried out, or may still be.
    Unanswered(Box<dyn Error + Send + Sync>),
}

impl RpcError {
    /// True if the call has certainly not been carried out.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotLeading | Self::NotSent(_))
    }
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeading => f.write_str("the called front is not the scheduler"),
            Self::NotSent(cause) => write!(f, "connection failed, call not sent: {cause}"),
            Self::Unanswered(cause) => write!(f, "no answer: {cause}"),
        }
    }
}

impl Error for RpcError {}

impl From<RpcError> for ErrorObjectOwned {
    fn from(error: RpcError) -> Self {
        Self::owned(NOT_LEADING, error.to_string(), None::<()>)
    }
}

impl From<ClientError> for RpcError {
    fn from(error: ClientError) -> Self {
        match &error {
            ClientError::Call(object) if object.code() == NOT_LEADING => Self::NotLeading,
            _ if is_connect_error(&error) => Self::NotSent(error),
            _ => Self::Unanswered(Box::new(error)),
        }
    }
}

/// True if the error occurred while connecting, before any byte of the call was sent.
fn is_connect_error(error: &ClientError) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = match error {
        ClientError::Transport(cause) => Some(cause.as_ref()),
        _ => None,
    };
    while let Some(error) = cause {
        let http = error.downcast_ref::<hyper_util::client::legacy::Error>();
        if http.is_some_and(hyper_util::client::legacy::Error::is_connect) {
            return true;
        }
        cause = error.source();
    }
    false
}

/// Waits at most `limit` for a call.
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = std::result::Result<T, ClientError>>,
) -> std::result::Result<T, RpcError> {
    match tokio::time::timeout(limit, call).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.into()),
        Err(elapsed) => Err(RpcError::Unanswered(Box::new(elapsed))),
    }
}
