use std::sync::Arc;
use std::sync::atomic::Ordering;

use metrics::gauge;
use poem::Route;
use poem::endpoint::make_sync;
use poem::get;
use poem::http::StatusCode;
use rattanwinch_callers::job_routes;
use rattanwinch_callers::plain_routes;
use rattanwinch_http_errors::WireErrorBody;
use rattanwinch_http_server::Refusal;
use rattanwinch_operators::ConfigChanges;
use rattanwinch_operators::OperatorsApi;
use rattanwinch_operators::operator_routes;
use rattanwinch_platform::Store;
use rattanwinch_runtime::MetricsText;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;

use crate::entry_state::EntryState;
use crate::fleet_report::EntryReporter;
use crate::plain_requests::EntryPlainBackend;
use crate::zones::EntryJobBackend;

/// Returns the body of the answer to a request that was refused before it reached a route.
pub(crate) fn refusal_body(refusal: Refusal) -> String {
    let kind = match refusal {
        Refusal::Head | Refusal::Body | Refusal::Malformed => ErrorKind::Invalid,
        Refusal::HeadTimeout | Refusal::BodyTimeout => ErrorKind::Deadline,
        Refusal::Shed | Refusal::NoMemory => ErrorKind::Unavailable,
    };
    let error = RequestError::not_run(kind, refusal.text());
    serde_json::json!(WireErrorBody::from(error)).to_string()
}

/// Builds the HTTP routes of an entry.
pub(crate) fn routes<S: Store>(state: &Arc<EntryState<S>>, metrics: MetricsText) -> Route {
    let ready_state = Arc::clone(state);
    let ready = make_sync(move |_| {
        if ready_state.ready.load(Ordering::Acquire) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    });
    let metrics_state = Arc::clone(state);
    let metrics_text = make_sync(move |_| {
        gauge!("targets_connected").set(metrics_state.fleet.connected_count() as f64);
        let now = metrics_state.clock.now();
        if let Some((lowest, highest)) = metrics_state.fleet.config_revisions(now) {
            gauge!("targets_config_revision_lowest").set(lowest.0 as f64);
            gauge!("targets_config_revision_highest").set(highest.0 as f64);
        }
        metrics.render()
    });
    let operators = operator_routes(&Arc::new(operators_api(state)));
    Route::new()
        .nest("/v1", operators)
        .nest(
            "/v1/requests",
            plain_routes(Arc::new(EntryPlainBackend(Arc::clone(state)))),
        )
        .nest(
            "/v1/jobs",
            job_routes(&Arc::new(EntryJobBackend(Arc::clone(state)))),
        )
        .at("/live", get(make_sync(|_| StatusCode::OK)))
        .at("/ready", get(ready))
        .at("/metrics", get(metrics_text))
}

/// Builds the API for operators. An accepted change is applied and sent to the other entries before
/// the operator gets the response.
fn operators_api<S: Store>(state: &Arc<EntryState<S>>) -> OperatorsApi<S, EntryReporter<S>> {
    let known_state = Arc::clone(state);
    let changes = ConfigChanges::new(Arc::clone(&state.store))
        .with_known_revision(Arc::new(move || known_state.control.load().revision));
    let report = Arc::new(EntryReporter(Arc::clone(state)));
    let clock = state.clock;
    let accepted_state = Arc::clone(state);
    OperatorsApi::new(changes, report, Arc::new(move || clock.now())).with_on_accepted(Arc::new(
        move |change| accepted_state.apply_accepted_change(change),
    ))
}
