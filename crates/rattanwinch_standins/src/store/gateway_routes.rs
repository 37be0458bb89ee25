use std::io;
use std::sync::Arc;

use poem::Body;
use poem::Endpoint;
use poem::IntoResponse as _;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::endpoint::make;
use poem::http::StatusCode;
use poem::post;
use poem::web::Json;
use rattanwinch_platform::CLIENT_NAME_HEADER;
use rattanwinch_platform::wire::WireGatewayError;
use rattanwinch_platform::wire::WireLeaseGrant;
use rattanwinch_platform::wire::WireLeaseId;
use rattanwinch_platform::wire::WireLeaseKeepAliveResponse;
use rattanwinch_platform::wire::WirePut;
use rattanwinch_platform::wire::WirePutResponse;
use rattanwinch_platform::wire::WireRange;
use rattanwinch_platform::wire::WireRequestOp;
use rattanwinch_platform::wire::WireTxn;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CallClass;
use super::KvError;
use super::KvResult;
use super::SharedState;
use super::kv_txn::is_read_only;
use super::watch_route::watch;

/// The maximum size of a body: a group with 1 MB of values in base64, and room for another 1 MB.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The routes of the JSON gateway.
pub(crate) fn gateway_routes(shared: &Arc<SharedState>) -> Route {
    let route = |operation| post(call_endpoint(Arc::clone(shared), operation));
    let watched = Arc::clone(shared);
    let watch = make(move |req| watch(Arc::clone(&watched), req));
    Route::new()
        .at("/v3/kv/range", route(Operation::Range))
        .at("/v3/kv/put", route(Operation::Put))
        .at("/v3/kv/txn", route(Operation::Txn))
        .at("/v3/lease/grant", route(Operation::Grant))
        .at("/v3/lease/keepalive", route(Operation::KeepAlive))
        .at("/v3/lease/revoke", route(Operation::Revoke))
        .at("/v3/watch", post(watch))
}

rattanwinch_types::value! { copy
    /// The unary calls of the gateway.
    enum Operation {
        Range,
        Put,
        Txn,
        Grant,
        KeepAlive,
        Revoke,
    }
}

/// Runs each call in a separate task, so that it is applied even if the client gives up.
fn call_endpoint(
    shared: Arc<SharedState>,
    operation: Operation,
) -> impl Endpoint<Output = Response> {
    make(move |mut req: Request| {
        let shared = Arc::clone(&shared);
        async move {
            let client = client_name(&req);
            let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await;
            let Ok(body) = body else {
                return Ok(error_response(KvError::TooLarge));
            };
            let call = async move { run(&shared, operation, &client, &body).await };
            let response = tokio::spawn(call).await;
            let response = response.unwrap_or(Err(KvError::Unavailable));
            Ok::<Response, poem::Error>(response.unwrap_or_else(error_response))
        }
    })
}

async fn run(
    shared: &SharedState,
    operation: Operation,
    client: &str,
    body: &[u8],
) -> KvResult<Response> {
    match operation {
        Operation::Range => {
            let range: WireRange = parse(body)?;
            shared.admit(client, "range", CallClass::Read).await?;
            Ok(json(&shared.with_state(|state, _| state.range(&range))))
        }
        Operation::Put => put(shared, client, parse(body)?).await,
        Operation::Txn => txn(shared, client, &parse(body)?).await,
        Operation::Grant => {
            let grant: WireLeaseGrant = parse(body)?;
            shared
                .admit(client, "lease_grant", CallClass::Write)
                .await?;
            let id = rand::random_range(1..i64::MAX);
            let granted = shared.with_state(|state, now| state.grant(&grant, id, now))?;
            Ok(json(&granted))
        }
        Operation::KeepAlive => {
            let lease: WireLeaseId = parse(body)?;
            let class = CallClass::Write;
            shared.admit(client, "lease_keepalive", class).await?;
            let result = shared.with_state(|state, now| state.keep_alive(lease.id.0, now));
            Ok(json(&WireLeaseKeepAliveResponse { result }))
        }
        Operation::Revoke => {
            let lease: WireLeaseId = parse(body)?;
            shared
                .admit(client, "lease_revoke", CallClass::Write)
                .await?;
            let revoked = shared.with_state(|state, _| state.revoke(lease.id.0))?;
            Ok(json(&revoked))
        }
    }
}

async fn put(shared: &SharedState, client: &str, put: WirePut) -> KvResult<Response> {
    shared.admit(client, "put", CallClass::Write).await?;
    let txn = WireTxn {
        success: vec![WireRequestOp::Put(put)],
        ..WireTxn::default()
    };
    let response = shared.with_state(|state, _| state.txn(&txn))?;
    Ok(write_response(
        shared,
        &WirePutResponse {
            header: response.header,
        },
    ))
}

async fn txn(shared: &SharedState, client: &str, txn: &WireTxn) -> KvResult<Response> {
    if is_read_only(txn) {
        shared.admit(client, "txn_read", CallClass::Read).await?;
        let response = shared.with_state(|state, _| state.txn(txn))?;
        return Ok(json(&response));
    }
    shared.admit(client, "txn_write", CallClass::Write).await?;
    let response = shared.with_state(|state, _| state.txn(txn))?;
    Ok(write_response(shared, &response))
}

/// Returns the response to a write. If the response is to be lost, the connection breaks after the
/// response head.
fn write_response(shared: &SharedState, response: &impl Serialize) -> Response {
    if !shared.take_lost_response() {
        return json(response);
    }
    let broken = futures::stream::iter([Err::<Vec<u8>, _>(io::ErrorKind::BrokenPipe.into())]);
    Response::from(Body::from_bytes_stream::<_, _, io::Error>(broken))
}

/// Returns the client name from the request header.
pub(super) fn client_name(req: &Request) -> String {
    req.header(CLIENT_NAME_HEADER)
        .unwrap_or_default()
        .to_owned()
}

pub(super) fn parse<T: DeserializeOwned>(body: &[u8]) -> KvResult<T> {
    serde_json::from_slice(body).map_err(|_| KvError::Invalid)
}

fn json(response: &impl Serialize) -> Response {
    match Body::from_json(response) {
        Ok(body) => Response::builder()
            .content_type("application/json")
            .body(body),
        Err(_) => error_response(KvError::Unavailable),
    }
}

/// Returns the response to a rejected call.
pub(super) fn error_response(error: KvError) -> Response {
    let status = StatusCode::from_u16(error.status());
    let body = WireGatewayError {
        code: error.code(),
        message: error.to_string(),
    };
    Json(body)
        .with_status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .into_response()
}
