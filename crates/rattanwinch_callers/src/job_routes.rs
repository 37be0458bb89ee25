use std::sync::Arc;
use std::time::Duration;

use poem::IntoResponse as _;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::endpoint::make;
use poem::get;
use poem::http::StatusCode;
use poem::post;
use poem::web::Json;
use rattanwinch_http_errors::error_response;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use serde::Deserialize;

use crate::JobBackend;
use crate::Result;
use crate::WireExplanation;
use crate::WireJobRequest;
use crate::WireJobStatus;
use crate::plain_routes::read_body;

/// The maximum wait for a job's end in one request; callers repeat the request after it.
pub const MAX_STATUS_WAIT: Duration = Duration::from_secs(60);

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StatusQuery {
    /// How long to wait for the job's end, in milliseconds.
    #[serde(default)]
    wait_ms: u64,
}

/// Builds the routes `POST /`, `GET /:organisation/:id?wait_ms=`, `DELETE /:organisation/:id` and
/// `GET /:organisation/:id/explain`.
#[must_use]
pub fn job_routes<B: JobBackend>(backend: &Arc<B>) -> Route {
    let one = get(endpoint(backend, status)).delete(endpoint(backend, cancel));
    Route::new()
        .at("/", post(endpoint(backend, submit)))
        .at("/:organisation/:id", one)
        .at(
            "/:organisation/:id/explain",
            get(endpoint(backend, explain)),
        )
}

/// Makes an endpoint of a handler that may fail with a [`RequestError`].
fn endpoint<B, F, Fut>(
    backend: &Arc<B>,
    handler: F,
) -> impl poem::Endpoint<Output = Response> + use<B, F, Fut>
where
    B: JobBackend,
    F: Fn(Arc<B>, Request) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send,
{
    let backend = Arc::clone(backend);
    make(move |req| {
        let backend = Arc::clone(&backend);
        async move {
            let response = handler(backend, req).await;
            Ok::<Response, poem::Error>(response.unwrap_or_else(error_response))
        }
    })
}

async fn submit<B: JobBackend>(backend: Arc<B>, mut req: Request) -> Result<Response> {
    let wire: WireJobRequest = read_body(req.take_body()).await?;
    let job = JobSpec::try_from(wire).map_err(RequestError::from)?;
    let status = backend.submit(job).await?;
    let body = Json(WireJobStatus::from(status));
    Ok(body.with_status(StatusCode::ACCEPTED).into_response())
}

async fn status<B: JobBackend>(backend: Arc<B>, req: Request) -> Result<Response> {
    let key = request_key(&req)?;
    let query: StatusQuery = req.params().map_err(|error| {
        let message = format!("invalid query: {error}: expected wait_ms in milliseconds");
        RequestError::not_run(ErrorKind::Invalid, message)
    })?;
    let wait = Duration::from_millis(query.wait_ms).min(MAX_STATUS_WAIT);
    let status = backend.status(key, wait).await?;
    Ok(Json(WireJobStatus::from(status)).into_response())
}

async fn cancel<B: JobBackend>(backend: Arc<B>, req: Request) -> Result<Response> {
    let status = backend.cancel(request_key(&req)?).await?;
    Ok(Json(WireJobStatus::from(status)).into_response())
}

async fn explain<B: JobBackend>(backend: Arc<B>, req: Request) -> Result<Response> {
    let explanations = backend.explain(request_key(&req)?).await?;
    let body: Vec<_> = explanations
        .into_iter()
        .map(WireExplanation::from)
        .collect();
    Ok(Json(body).into_response())
}

fn request_key(req: &Request) -> Result<RequestKey> {
    let invalid = |message: String| RequestError::not_run(ErrorKind::Invalid, message);
    let (organisation, id): (String, String) = req
        .path_params()
        .map_err(|error| invalid(format!("invalid path: {error}: expected /organisation/id")))?;
    let organisation =
        Organisation::new(organisation).map_err(|error| invalid(error.to_string()))?;
    let id = RequestId::new(id).map_err(|error| invalid(error.to_string()))?;
    Ok(RequestKey { organisation, id })
}
