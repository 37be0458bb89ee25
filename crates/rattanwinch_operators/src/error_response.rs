use poem::IntoResponse as _;
use poem::Response;
use poem::http::StatusCode;
use poem::web::Json;
use rattanwinch_types::ErrorKind;

use crate::ChangeFailure;
use crate::WireError;
use crate::WireErrorBody;
use crate::WireStale;

/// The HTTP status of a class of errors.
const fn status_of(kind: ErrorKind) -> StatusCode {
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

/// The response that tells an operator of an error.
#[must_use]
pub fn error_response(failure: ChangeFailure) -> Response {
    let error = failure.to_error();
    let status = status_of(error.kind);
    let error = WireError::from(error);
    match failure {
        ChangeFailure::Refused(_) => Json(WireErrorBody { error })
            .with_status(status)
            .into_response(),
        ChangeFailure::Stale(stale) => Json(WireStale::new(error, *stale))
            .with_status(status)
            .into_response(),
    }
}
