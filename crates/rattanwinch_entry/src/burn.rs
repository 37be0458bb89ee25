//! Tracks how fast the requests of each organisation spend its error budget.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_decisions::BurnWindows;
use rattanwinch_platform::Store;
use rattanwinch_runtime::Shutdown;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;

use crate::entry_state::EntryState;

/// The interval at which request counts are moved into the windows, the shortest of which is 5 min.
const COUNTER_DRAIN_INTERVAL: Duration = Duration::from_secs(5);

/// Returns whether a request met the service level, or `None` if it counts neither way because the
/// caller caused the error.
pub(crate) fn met_service_level(error: Option<&RequestError>) -> Option<bool> {
    match error.map(|error| error.kind) {
        None => Some(true),
        Some(
            ErrorKind::Invalid
            | ErrorKind::Conflict
            | ErrorKind::NotFound
            | ErrorKind::Cancelled
            | ErrorKind::Impossible,
        ) => None,
        Some(_) => Some(false),
    }
}

/// Periodically moves the request counts into windows and renews the report, until the daemon
/// stops.
pub(crate) async fn run<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    let mut windows = BurnWindows::new();
    while !shutdown.is_requested() {
        let config = Arc::clone(&state.control.load().config);
        let now = state.clock.now();
        state.burn_counters.drain_into(&mut windows, now);
        windows.retain(|organisation| config.has_organisation(organisation));
        let report = windows.report(config.defaults.service_level_ppm, now);
        state.burn_report.store(Arc::new(report));
        tokio::select! {
            () = tokio::time::sleep(COUNTER_DRAIN_INTERVAL) => {}
            () = shutdown.requested() => {}
        }
    }
}
