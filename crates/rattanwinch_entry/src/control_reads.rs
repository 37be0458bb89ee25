//! Reads the configuration, the deciders and the entries from the store at a fixed interval.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use imbl::HashSet;
use metrics::counter;
use metrics::gauge;
use rand::Rng as _;
use rattanwinch_platform::ControlRead;
use rattanwinch_platform::Store;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_runtime::Shutdown;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use slog::error;
use slog::info;
use slog::warn;

use crate::control_view::ControlView;
use crate::entry_state::EntryState;

/// The time between two control reads: two a second and entry, a hundredth of the store's reads
/// for ten entries.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// A read without a response for this long is given up, so that the next one can be sent before
/// the freshness of the last one has expired.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads until the daemon stops.
pub(crate) async fn run<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    while !shutdown.is_requested() {
        state.read_control_once().await;
        // Jitter keeps the entries from reading in step after an outage.
        let pause = READ_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.0));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.control_wanted.notified() => {}
            () = shutdown.requested() => {}
        }
    }
}

impl<S: Store> EntryState<S> {
    async fn read_control_once(&self) {
        let sent_at = self.clock.now();
        let known = self.control.load().revision;
        let read = tokio::time::timeout(READ_TIMEOUT, self.store.read_control(known)).await;
        match read {
            Ok(Ok(read)) => self.apply_control(sent_at, read),
            Ok(Err(error)) => {
                counter!("control_reads_failed_total").increment(1);
                warn!(self.logger, "control read failed"; "error" => %error);
            }
            Err(_) => {
                counter!("control_reads_failed_total").increment(1);
                warn!(self.logger, "control read timed out");
            }
        }
    }

    fn apply_control(&self, sent_at: Timestamp, read: ControlRead) {
        let before = self.control.load_full();
        let mut view = ControlView::clone(&before);
        if is_regressed(&before, &read) {
            error!(self.logger, "the store has gone back; nothing is decided until an operator \
                restarts the entries"; "known_revision" => before.revision.0,
                "store_revision" => read.revision.0);
            gauge!("store_regressed").set(1.0);
            view.regressed = true;
            self.control.store(Arc::new(view));
            return;
        }
        view.cluster = Some(read.cluster);
        if let Some(document) = &read.config {
            match ConfigDocument::from_json(&document.value) {
                Ok(ConfigDocument { config, .. }) => {
                    view.revision = document.revision;
                    view.config = Arc::new(config);
                    info!(self.logger, "configuration in force"; "revision" => view.revision.0);
                }
                // The old configuration isn't confirmed by this read, so freshness runs out.
                Err(error) => {
                    error!(self.logger, "stored configuration can't be read"; "error" => %error);
                    return;
                }
            }
        }
        view.deciders = Arc::from(read.deciders);
        view.entries = Arc::from(read.entries);
        view.confirmed_at = before.confirmed_at.max(Some(sent_at));
        if view.revision != before.revision {
            self.apply_closures(&view.config);
        }
        self.control.store(Arc::new(view));
        self.ready
            .store(!self.draining.load(Ordering::Acquire), Ordering::Release);
    }

    fn apply_closures(&self, config: &FleetConfig) {
        let (mut zones, mut targets) = (HashSet::new(), HashSet::new());
        for exception in &config.exceptions {
            match &exception.effect {
                ExceptionEffect::CloseZone(zone) => drop(zones.insert(zone.clone())),
                ExceptionEffect::ExcludeTarget(target) => drop(targets.insert(target.clone())),
                ExceptionEffect::LimitOrganisation { .. } => {}
            }
        }
        self.fleet.set_closed(&zones, &targets);
    }
}

/// Whether the store that was read can't be a later state of the one known before.
fn is_regressed(before: &ControlView, read: &ControlRead) -> bool {
    let other_store = before
        .cluster
        .is_some_and(|cluster| cluster != read.cluster);
    let document_lost = before.revision > Revision(0) && !read.has_config;
    before.regressed || other_store || document_lost || read.revision < before.revision
}
