use poem::IntoResponse as _;
use poem::Response;
use poem::web::Json;
use rattanwinch_http_errors::WireError;
use rattanwinch_http_errors::error_response;
use rattanwinch_http_errors::http_status;

use crate::ChangeFailure;
use crate::WireStaleChange;

/// Creates the response for a change that was not made.
#[must_use]
pub fn failure_response(failure: ChangeFailure) -> Response {
    let error = failure.to_error();
    match failure {
        ChangeFailure::Refused(_) => error_response(error),
        ChangeFailure::Stale(stale) => {
            let status = http_status(error.kind);
            Json(WireStaleChange::new(WireError::from(error), *stale))
                .with_status(status)
                .into_response()
        }
    }
}
