use std::sync::Arc;

use poem::EndpointExt as _;
use poem::IntoEndpoint;
use poem::Route;
use poem::get;
use poem::handler;
use poem::http::StatusCode;
use poem::post;
use poem::web::Data;
use poem::web::Json;

use super::SharedState;
use super::StoreCounts;
use super::StoreFaults;

rattanwinch_types::value! { wire
    /// The response to `POST /admin/snapshot` and the body of `POST /admin/restore`.
    struct WireSnapshot {
        /// The number of the snapshot.
        snapshot: usize,
    }
}

/// The routes with which tests and demonstrations control the stand-in; see
/// [`super::StandinStore`].
pub(crate) fn admin_routes(shared: &Arc<SharedState>) -> impl IntoEndpoint + use<> {
    Route::new()
        .at("/faults", get(read_faults).put(set_faults))
        .at("/snapshot", post(snapshot))
        .at("/restore", post(restore))
        .at("/revoke-leases", post(revoke_leases))
        .at("/counts", get(read_counts).delete(reset_counts))
        .data(Arc::clone(shared))
}

#[handler]
fn read_faults(Data(shared): Data<&Arc<SharedState>>) -> Json<StoreFaults> {
    Json(shared.faults.borrow().clone())
}

#[handler]
fn set_faults(Data(shared): Data<&Arc<SharedState>>, Json(faults): Json<StoreFaults>) {
    shared.faults.send_replace(faults);
}

#[handler]
fn snapshot(Data(shared): Data<&Arc<SharedState>>) -> Json<WireSnapshot> {
    Json(WireSnapshot {
        snapshot: shared.snapshot(),
    })
}

#[handler]
fn restore(Data(shared): Data<&Arc<SharedState>>, Json(request): Json<WireSnapshot>) -> StatusCode {
    if shared.restore(request.snapshot) {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    }
}

#[handler]
fn revoke_leases(Data(shared): Data<&Arc<SharedState>>) {
    shared.with_state(|state, _| state.revoke_all());
}

#[handler]
fn read_counts(Data(shared): Data<&Arc<SharedState>>) -> Json<StoreCounts> {
    Json(shared.counter().counts())
}

#[handler]
fn reset_counts(Data(shared): Data<&Arc<SharedState>>) {
    shared.counter().reset();
}
