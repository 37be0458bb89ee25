use std::time::Duration;

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;

use crate::WireRequestError;

/// The JSON-RPC code of every error that carries a [`WireRequestError`], from the range that
/// JSON-RPC 2.0 reserves for applications.
const REQUEST_ERROR_CODE: i32 = 1;

/// Converts an error to a JSON-RPC error.
#[must_use]
pub fn rpc_error(error: RequestError) -> ErrorObjectOwned {
    let message = error.message.to_string();
    ErrorObjectOwned::owned(
        REQUEST_ERROR_CODE,
        message,
        Some(WireRequestError::from(error)),
    )
}

/// Converts the error of a call to a [`RequestError`].
///
/// An error returned by the other process keeps its verdict. With any other error the call may have
/// arrived, so the verdict is "may have run".
#[must_use]
pub fn request_error(error: &ClientError) -> RequestError {
    if let ClientError::Call(object) = error {
        let decoded = object
            .data()
            .and_then(|data| data.get().parse_wire())
            .and_then(|wire| RequestError::try_from(wire).ok());
        if let Some(decoded) = decoded {
            return decoded;
        }
    }
    let message = format!("RPC call to another rattanwinch process failed: {error}");
    RequestError::new(Verdict::MayHaveRun, ErrorKind::Unavailable, message)
}

/// The error of a call that timed out.
pub(crate) fn timeout_error(operation: &str, timeout: Duration) -> RequestError {
    let message = format!("{operation}: no response within {} ms", timeout.as_millis());
    RequestError::may_have_run(ErrorKind::Unavailable, message)
}

trait ParseWire {
    fn parse_wire(&self) -> Option<WireRequestError>;
}

impl ParseWire for str {
    fn parse_wire(&self) -> Option<WireRequestError> {
        serde_json::from_str(self).ok()
    }
}
