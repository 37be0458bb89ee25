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

/// The interval between control reads. With ten entries, two reads a second each are a hundredth of
/// the reads that the store allows.
const CONTROL_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum interval between control reads, however often one is requested.
const MIN_CONTROL_READ_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which a control read is abandoned. It is longer than the freshness of 1.5 s,
/// because a late read extends no freshness but still reports closures.
const CONTROL_READ_TIMEOUT: Duration = Duration::from_secs(4);

/// Reads periodically until the daemon stops. Reads do not wait for earlier ones, which may be
/// blocked on an unresponsive connection or a slow store.
pub(crate) async fn run<S: Store>(state: Arc<EntryState<S>>, shutdown: Shutdown) {
    let mut reads = JoinSet::new();
    while !shutdown.is_requested() {
        let reader = Arc::clone(&state);
        reads.spawn(async move { reader.read_control_once().await });
        while reads.try_join_next().is_some() {}
        tokio::time::sleep(MIN_CONTROL_READ_INTERVAL).await;
        // Jitter keeps the entries from synchronising their reads after an outage.
        let interval = CONTROL_READ_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.0));
        let pause = interval.saturating_sub(MIN_CONTROL_READ_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.control_read_requested.notified() => {}
            () = shutdown.requested() => {}
        }
    }
}

impl<S: Store> EntryState<S> {
    async fn read_control_once(&self) {
        let sent_at = self.clock.now();
        let known = self.control.load().revision;
        let read =
            tokio::time::timeout(CONTROL_READ_TIMEOUT, ControlRead::read(&*self.store, known))
                .await;
        match read {
            Ok(Ok(read)) => self.apply_control(sent_at, &read),
            Ok(Err(error)) => {
                counter!("control_reads_failed_total").increment(1);
                warn!(self.logger, "failed to read the configuration, deciders and entries from \
                    the store"; "error" => %error);
            }
            Err(_) => {
                counter!("control_reads_failed_total").increment(1);
                warn!(
                    self.logger,
                    "timed out reading the configuration, deciders and entries \
                    from the store"
                );
            }
        }
    }

    fn apply_control(&self, sent_at: Timestamp, read: &ControlRead) {
        let config = match read.config.as_ref().map(parse_config).transpose() {
            Ok(config) => config,
            // This read does not confirm the old configuration, so its freshness expires.
            Err(error) => {
                error!(self.logger, "invalid configuration in the store; keeping the current one";
                    "error" => %error);
                return;
            }
        };
        let known = **self.highest_known_revision.load();
        if read.revision < known.revision && sent_at < known.at {
            // The read was sent before the revision became known, so it does not show that the
            // store has regressed.
            return;
        }
        let deciders = decode_deciders(&read.deciders);
        let entries = decode_entries(&read.entries);
        let before = self.control.rcu(|before| {
            let mut view = ControlView::clone(before);
            if before.confirmed_at.is_some_and(|at| sent_at < at) {
                // A later read completed first, so this one shows an older state.
                return view;
            }
            view.regressed |= read.revision < known.revision || is_regressed(before, read);
            if view.regressed {
                view.entries = merge_known_entries(&entries, &before.entries);
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
            error!(self.logger, "the store has reverted to an older revision; scheduling is \
                suspended until an operator restarts the entries";
                "store_revision" => read.revision.0,
                "known_revision" => before.revision.max(known.revision).0);
            gauge!("store_regressed").set(1.0);
            return;
        }
        self.apply_config_change(&before);
        self.ready
            .store(!self.draining.load(Ordering::Acquire), Ordering::Release);
    }

    /// Applies what follows from the configuration if it is newer than the one in `before`.
    pub(crate) fn apply_config_change(&self, before: &ControlView) {
        let after = self.control.load_full();
        if after.revision > before.revision {
            info!(self.logger, "configuration applied"; "revision" => after.revision.0);
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
        self.fleet.set_closures(revision, &zones, &targets);
    }
}

/// Parses a stored configuration document; returns it with its revision.
fn parse_config(document: &KeyValue) -> Result<(Revision, Arc<FleetConfig>), InvalidConfig> {
    let parsed = ConfigDocument::from_json(&document.value)?;
    Ok((document.revision, Arc::new(parsed.config)))
}

/// The registrations in a store that has regressed, and the known ones that are missing there.
///
/// A restarted entry trusts the store until another process sends it the higher revision, so the
/// other entries have to learn its new address.
fn merge_known_entries(read: &[EntryRecord], known: &[EntryRecord]) -> Arc<[EntryRecord]> {
    let is_read = |known: &EntryRecord| read.iter().any(|record| record.entry == known.entry);
    let missing = known.iter().filter(|known| !is_read(known));
    read.iter().chain(missing).cloned().collect()
}

/// Whether the store that was read cannot be a later state of the one read before.
fn is_regressed(before: &ControlView, read: &ControlRead) -> bool {
    let other_store = before
        .cluster
        .is_some_and(|cluster| cluster != read.cluster);
    let document_lost = before.revision > Revision(0) && !read.has_config;
    before.regressed || other_store || document_lost || read.revision < before.revision
}
