use std::sync::Arc;
use std::sync::atomic::Ordering;

use metrics::gauge;
use poem::Route;
use poem::endpoint::make_sync;
use poem::get;
use poem::http::StatusCode;
use rattanwinch_callers::job_routes;
use rattanwinch_callers::plain_routes;
use rattanwinch_operators::ConfigChanges;
use rattanwinch_operators::OperatorsApi;
use rattanwinch_operators::operator_routes;
use rattanwinch_platform::Store;
use rattanwinch_runtime::MetricsText;

use crate::entry_state::EntryState;
use crate::fleet_report::EntryReport;
use crate::plain_requests::PlainRequests;
use crate::zones::Jobs;

/// The whole HTTP interface of an entry.
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
        gauge!("targets_connected").set(metrics_state.fleet.connected() as f64);
        let now = metrics_state.clock.now();
        if let Some((lowest, highest)) = metrics_state.fleet.config_revisions(now) {
            gauge!("targets_config_revision_lowest").set(lowest.0 as f64);
            gauge!("targets_config_revision_highest").set(highest.0 as f64);
        }
        metrics.render()
    });
    let reports = operator_routes(&Arc::new(operators(state)));
    Route::new()
        .nest("/v1", reports)
        .nest(
            "/v1/requests",
            plain_routes(Arc::new(PlainRequests(Arc::clone(state)))),
        )
        .nest("/v1/jobs", job_routes(&Arc::new(Jobs(Arc::clone(state)))))
        .at("/live", get(make_sync(|_| StatusCode::OK)))
        .at("/ready", get(ready))
        .at("/metrics", get(metrics_text))
}

/// The operators' side: an accepted change is acted on and handed on before the operator is
/// told of it.
fn operators<S: Store>(state: &Arc<EntryState<S>>) -> OperatorsApi<S, EntryReport<S>> {
    let known_state = Arc::clone(state);
    let changes = ConfigChanges::new(Arc::clone(&state.store))
        .with_known_revision(Arc::new(move || known_state.control.load().revision));
    let report = Arc::new(EntryReport(Arc::clone(state)));
    let clock = state.clock;
    let accepted_state = Arc::clone(state);
    OperatorsApi::new(changes, report, Arc::new(move || clock.now())).with_on_accepted(Arc::new(
        move |change| accepted_state.adopt_accepted(change),
    ))
}
