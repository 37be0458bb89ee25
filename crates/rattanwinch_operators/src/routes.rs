use std::sync::Arc;

use poem::Body;
use poem::IntoResponse as _;
use poem::Request;
use poem::Response;
use poem::Route;
use poem::endpoint::make;
use poem::get;
use poem::web::Json;
use rattanwinch_platform::Store;
use rattanwinch_types::ChangeId;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ChangeFailure;
use crate::ChangeRequest;
use crate::FleetReporter;
use crate::MAX_HISTORY_PAGE;
use crate::OperatorsApi;
use crate::WireBurnReport;
use crate::WireChangeAnswer;
use crate::WireChangeRequest;
use crate::WireConfig;
use crate::WireGuaranteeReport;
use crate::WireHistory;
use crate::WireTargetReport;
use crate::WireZoneReport;
use crate::burn_table;
use crate::failure_response;

/// The largest body of a change: a reason of 1000 bytes and a few names leave much room.
pub const MAX_BODY_BYTES: usize = 16 * 1024;

type Result<T> = std::result::Result<T, ChangeFailure>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HistoryQuery {
    /// The id after which the page begins.
    after: Option<String>,
    /// The most changes in the page.
    #[serde(default = "max_history_page")]
    limit: u32,
}

fn max_history_page() -> u32 {
    MAX_HISTORY_PAGE
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Format {
    #[default]
    Json,
    Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BurnQuery {
    /// `json` or `text`.
    #[serde(default)]
    format: Format,
}

/// `GET /config`, `POST` and `GET /config/changes`, `GET /fleet`, `/zones`, `/guarantees` and
/// `/burn?format=`; an entry nests them under `/v1`.
#[must_use]
pub fn operator_routes<S: Store, R: FleetReporter>(api: &Arc<OperatorsApi<S, R>>) -> Route {
    let changes = get(endpoint(api, history)).post(endpoint(api, change));
    Route::new()
        .at("/config", get(endpoint(api, config)))
        .at("/config/changes", changes)
        .at("/fleet", get(endpoint(api, fleet)))
        .at("/zones", get(endpoint(api, zones)))
        .at("/guarantees", get(endpoint(api, guarantees)))
        .at("/burn", get(endpoint(api, burn)))
}

/// Wraps a handler that may fail with a [`ChangeFailure`].
fn endpoint<S, R, F, Fut>(
    api: &Arc<OperatorsApi<S, R>>,
    handler: F,
) -> impl poem::Endpoint<Output = Response> + use<S, R, F, Fut>
where
    S: Store,
    R: FleetReporter,
    F: Fn(Arc<OperatorsApi<S, R>>, Request) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Result<Response>> + Send,
{
    let api = Arc::clone(api);
    make(move |req| {
        let api = Arc::clone(&api);
        async move {
            let response = handler(api, req).await;
            Ok::<Response, poem::Error>(response.unwrap_or_else(failure_response))
        }
    })
}

async fn config<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    _req: Request,
) -> Result<Response> {
    let current = api.changes.current().await?;
    Ok(Json(WireConfig::from(current)).into_response())
}

async fn change<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    mut req: Request,
) -> Result<Response> {
    let wire: WireChangeRequest = read_body(req.take_body()).await?;
    let dry_run = wire.dry_run;
    let req = ChangeRequest::try_from(wire)?;
    let now = (api.now)();
    if dry_run {
        let effects = api.changes.dry_run(&req, now).await?;
        return Ok(Json(WireChangeAnswer::dry_run(req.based_on, &effects)).into_response());
    }
    let accepted = api.changes.apply(&req, now).await?;
    api.accepted(&accepted);
    Ok(Json(WireChangeAnswer::from(accepted)).into_response())
}

async fn history<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    req: Request,
) -> Result<Response> {
    let query: HistoryQuery = req
        .params()
        .map_err(|error| invalid(format!("query: {error}: expected after and limit")))?;
    let after = query.after.map(ChangeId::new).transpose();
    let after = after.map_err(|error| invalid(error.to_string()))?;
    let page = api.changes.history(after.as_ref(), query.limit).await?;
    Ok(Json(WireHistory::from(page)).into_response())
}

async fn fleet<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    _req: Request,
) -> Result<Response> {
    Ok(list::<_, WireTargetReport>(api.report.targets().await?))
}

async fn zones<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    _req: Request,
) -> Result<Response> {
    Ok(list::<_, WireZoneReport>(api.report.zones().await?))
}

async fn guarantees<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    _req: Request,
) -> Result<Response> {
    Ok(list::<_, WireGuaranteeReport>(
        api.report.guarantees().await?,
    ))
}

async fn burn<S: Store, R: FleetReporter>(
    api: Arc<OperatorsApi<S, R>>,
    req: Request,
) -> Result<Response> {
    let query: BurnQuery = req
        .params()
        .map_err(|error| invalid(format!("query: {error}: expected format=json or text")))?;
    let report = WireBurnReport::from(api.report.burn().await?);
    Ok(match query.format {
        Format::Json => Json(report).into_response(),
        Format::Text => burn_table(&report).into_response(),
    })
}

fn list<T, W: From<T> + Serialize + Send>(items: Vec<T>) -> Response {
    let body: Vec<W> = items.into_iter().map(W::from).collect();
    Json(body).into_response()
}

/// Reads a JSON body of limited size.
async fn read_body<T: DeserializeOwned>(body: Body) -> Result<T> {
    let bytes = body
        .into_bytes_limit(MAX_BODY_BYTES)
        .await
        .map_err(|error| {
            invalid(format!(
                "body: {error}: expected at most {MAX_BODY_BYTES} bytes"
            ))
        })?;
    let read = serde_json::from_slice(&bytes);
    read.map_err(|error| invalid(format!("body isn't as expected: {error}")))
}

fn invalid(message: String) -> ChangeFailure {
    RequestError::not_run(ErrorKind::Invalid, message).into()
}
