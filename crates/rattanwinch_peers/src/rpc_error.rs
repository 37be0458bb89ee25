use std::time::Duration;

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;

use crate::WireRequestError;

/// The JSON-RPC code of every error that carries a [`WireRequestError`]; from the range that
/// JSON-RPC 2.0 leaves to applications.
const REQUEST_ERROR_CODE: i32 = 1;

/// Packs an error for the answer to a call.
#[must_use]
pub fn rpc_error(error: RequestError) -> ErrorObjectOwned {
    let message = error.message.to_string();
    ErrorObjectOwned::owned(
        REQUEST_ERROR_CODE,
        message,
        Some(WireRequestError::from(error)),
    )
}

/// Reads the error of a call.
///
/// An error that the other process answered keeps its verdict. Any other error means that the
/// call may have arrived, so the verdict is "may have run".
#[must_use]
pub fn request_error(error: &ClientError) -> RequestError {
    if let ClientError::Call(object) = error {
        let sent = object
            .data()
            .and_then(|data| data.get().parse_wire())
            .and_then(|wire| RequestError::try_from(wire).ok());
        if let Some(sent) = sent {
            return sent;
        }
    }
    let message = format!("the call to another rattanwinch process failed: {error}");
    RequestError::new(Verdict::MayHaveRun, ErrorKind::Unavailable, message)
}

/// The error of a call that wasn't answered in time.
pub(crate) fn timed_out(what: &str, after: Duration) -> RequestError {
    let message = format!("{what} wasn't answered within {} ms", after.as_millis());
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
