use poem::IntoResponse as _;
use poem::Response;
use poem::web::Json;
use rattanwinch_http_errors::WireError;
use rattanwinch_http_errors::error_response;
use rattanwinch_http_errors::status_of;

use crate::ChangeFailure;
use crate::WireStaleChange;

/// The response that tells an operator why a change wasn't made.
#[must_use]
pub fn failure_response(failure: ChangeFailure) -> Response {
    let error = failure.to_error();
    match failure {
        ChangeFailure::Refused(_) => error_response(error),
        ChangeFailure::Stale(stale) => {
            let status = status_of(error.kind);
            Json(WireStaleChange::new(WireError::from(error), *stale))
                .with_status(status)
                .into_response()
        }
    }
}
