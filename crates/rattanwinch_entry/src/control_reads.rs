//! Reads the configuration, the deciders and the entries from the store at a fixed interval.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use imbl::HashSet;
use metrics::counter;
use metrics::gauge;
use rand::Rng as _;
use rattanwinch_platform::KeyValue;
use rattanwinch_platform::Store;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_platform::records::EntryRecord;
use rattanwinch_platform::records::InvalidConfig;
use rattanwinch_runtime::Shutdown;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use slog::error;
use slog::info;
use slog::warn;
use tokio::task::JoinSet;

use crate::control_read::ControlRead;
use crate::control_view::ControlView;
use crate::entry_state::EntryState;
use crate::zones::decode_deciders;
use crate::zones::decode_entries;

/// The time between two control reads: two a second and entry, a hundredth of the store's reads
/// for ten entries.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The least time between two reads, however often one is asked for.
const LEAST_INTERVAL: Duration = Duration::from_millis(100);

/// A read without a response for this long is given up. It is longer than the freshness of 1.5 s:
/// a late read extends no freshness, but it still tells of a closing.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Reads until the daemon stops. A read doesn't wait for the one before it, which may be on a
/// connection that fell silent or in a slow store.
pub(crate) async fn run<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    let mut reads = JoinSet::new();
    while !shutdown.is_requested() {
        let reader = Arc::clone(&state);
        reads.spawn(async move { reader.read_control_once().await });
        while reads.try_join_next().is_some() {}
        tokio::time::sleep(LEAST_INTERVAL).await;
        // Jitter keeps the entries from reading in step after an outage.
        let interval = READ_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.0));
        let pause = interval.saturating_sub(LEAST_INTERVAL);
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
        let read = tokio::time::timeout(READ_TIMEOUT, ControlRead::read(&*self.store, known)).await;
        match read {
            Ok(Ok(read)) => self.apply_control(sent_at, &read),
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

    fn apply_control(&self, sent_at: Timestamp, read: &ControlRead) {
        let config = match read.config.as_ref().map(parse).transpose() {
            Ok(config) => config,
            // The old configuration isn't confirmed by this read, so freshness runs out.
            Err(error) => {
                error!(self.logger, "stored configuration can't be read"; "error" => %error);
                return;
            }
        };
        let known = **self.known_elsewhere.load();
        if read.revision < known.revision && sent_at < known.at {
            // The read was on its way when the revision became known, so it proves nothing.
            return;
        }
        let deciders = decode_deciders(&read.deciders);
        let entries = decode_entries(&read.entries);
        let before = self.control.rcu(|before| {
            let mut view = ControlView::clone(before);
            if before.confirmed_at.is_some_and(|at| sent_at < at) {
                // A later read was answered first, so this one shows an older state.
                return view;
            }
            view.regressed |= read.revision < known.revision || is_regressed(before, read);
            if view.regressed {
                view.entries = with_known(&entries, &before.entries);
                return view;
            }
            if let Some((revision, config)) = config.as_ref().filter(|new| new.0 > view.revision) {
                view.revision = *revision;
                view.config = Arc::clone(config);
            }
            view.cluster = Some(read.cluster);
            view.deciders = Arc::clone(&deciders);
            view.entries = Arc::clone(&entries);
            view.confirmed_at = before.confirmed_at.max(Some(sent_at));
            view
        });
        let after = self.control.load_full();
        if after.regressed {
            error!(self.logger, "the store has gone back; nothing is decided until an operator \
                restarts the entries"; "store_revision" => read.revision.0,
                "known_revision" => before.revision.max(known.revision).0);
            gauge!("store_regressed").set(1.0);
            return;
        }
        self.config_changed(&before);
        self.ready
            .store(!self.draining.load(Ordering::Acquire), Ordering::Release);
    }

    /// Brings in force what follows from the configuration if it isn't the one of `before`.
    pub(crate) fn config_changed(&self, before: &ControlView) {
        let after = self.control.load_full();
        if after.revision > before.revision {
            info!(self.logger, "configuration in force"; "revision" => after.revision.0);
            gauge!("config_revision").set(after.revision.0 as f64);
            self.apply_closures(after.revision, &after.config);
        }
    }

    fn apply_closures(&self, revision: Revision, config: &FleetConfig) {
        let (mut zones, mut targets) = (HashSet::new(), HashSet::new());
        for exception in &config.exceptions {
            match &exception.effect {
                ExceptionEffect::CloseZone(zone) => drop(zones.insert(zone.clone())),
                ExceptionEffect::ExcludeTarget(target) => drop(targets.insert(target.clone())),
                ExceptionEffect::LimitOrganisation { .. } => {}
            }
        }
        self.fleet.set_closed(revision, &zones, &targets);
    }
}

/// The configuration of a stored document, with its revision.
fn parse(document: &KeyValue) -> Result<(Revision, Arc<FleetConfig>), InvalidConfig> {
    let parsed = ConfigDocument::from_json(&document.value)?;
    Ok((document.revision, Arc::new(parsed.config)))
}

/// The registrations that a store which has gone back shows, and the known ones that it lacks.
///
/// A restarted entry trusts the store until another process tells it the higher revision, so the
/// others have to learn its new address.
fn with_known(read: &[EntryRecord], known: &[EntryRecord]) -> Arc<[EntryRecord]> {
    let is_read = |known: &EntryRecord| read.iter().any(|record| record.entry == known.entry);
    let lacking = known.iter().filter(|known| !is_read(known));
    read.iter().chain(lacking).cloned().collect()
}

/// Whether the store that was read can't be a later state of the one known before.
fn is_regressed(before: &ControlView, read: &ControlRead) -> bool {
    let other_store = before
        .cluster
        .is_some_and(|cluster| cluster != read.cluster);
    let document_lost = before.revision > Revision(0) && !read.has_config;
    before.regressed || other_store || document_lost || read.revision < before.revision
}
