use poem::IntoResponse as _;
use poem::Response;
use poem::http::StatusCode;
use poem::web::Json;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;

use crate::WireErrorBody;

/// Returns the HTTP status of a class of errors.
#[must_use]
pub const fn http_status(kind: ErrorKind) -> StatusCode {
    match kind {
        ErrorKind::Invalid => StatusCode::BAD_REQUEST,
        ErrorKind::Conflict => StatusCode::CONFLICT,
        ErrorKind::NotFound => StatusCode::NOT_FOUND,
        ErrorKind::Busy => StatusCode::TOO_MANY_REQUESTS,
        ErrorKind::Unavailable | ErrorKind::Closed | ErrorKind::Fenced => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        ErrorKind::Deadline => StatusCode::GATEWAY_TIMEOUT,
        ErrorKind::Cancelled => StatusCode::GONE,
        ErrorKind::Impossible => StatusCode::UNPROCESSABLE_ENTITY,
        ErrorKind::Failed => StatusCode::BAD_GATEWAY,
    }
}

/// Creates the response for an error.
#[must_use]
pub fn error_response(error: RequestError) -> Response {
    let status = http_status(error.kind);
    Json(WireErrorBody::from(error))
        .with_status(status)
        .into_response()
}
