use std::sync::Arc;

use poem::Body;
use poem::IntoResponse as _;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::endpoint::make;
use poem::post;
use poem::web::Json;
use rattanwinch_http_errors::error_response;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use serde::de::DeserializeOwned;

use crate::PlainBackend;
use crate::Result;
use crate::WirePlainAnswer;
use crate::WirePlainRequest;

/// The maximum size of a request body: JSON escapes can enlarge a payload of 256 KiB.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Builds the route `POST /`, which runs a plain request and responds with its answer.
#[must_use]
pub fn plain_routes<B: PlainBackend>(backend: Arc<B>) -> Route {
    let run = make(move |mut req: Request| {
        let backend = Arc::clone(&backend);
        async move {
            let response = run(&*backend, req.take_body()).await;
            Ok::<Response, poem::Error>(response.unwrap_or_else(error_response))
        }
    });
    Route::new().at("/", post(run))
}

async fn run<B: PlainBackend>(backend: &B, body: Body) -> Result<Response> {
    let wire: WirePlainRequest = read_body(body).await?;
    let req = PlainRequest::try_from(wire).map_err(RequestError::from)?;
    let key = req.key.clone();
    let answer = backend.run(req).await?;
    Ok(Json(WirePlainAnswer::new(&key, &answer)).into_response())
}

/// Reads a JSON body of limited size.
pub(crate) async fn read_body<T: DeserializeOwned>(body: Body) -> Result<T> {
    let bytes = body
        .into_bytes_limit(MAX_BODY_BYTES)
        .await
        .map_err(|error| {
            let message = format!("invalid body: {error}: expected at most {MAX_BODY_BYTES} bytes");
            RequestError::not_run(ErrorKind::Invalid, message)
        })?;
    serde_json::from_slice(&bytes).map_err(|error| {
        RequestError::not_run(ErrorKind::Invalid, format!("invalid body: {error}"))
    })
}
