//! Exchanges the configuration between entries, for those that cannot read the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use rattanwinch_operators::AcceptedChange;
use rattanwinch_platform::Store;
use rattanwinch_platform::records::ConfigDocument;
use rattanwinch_types::ConfigCopy;
use rattanwinch_types::PeerState;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use slog::error;
use slog::warn;

use crate::control_view::ControlView;
use crate::entry_state::EntryState;

/// The time that another entry may take to send its configuration; the next ping retries.
const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_secs(1);

impl<S: Store> EntryState<S> {
    /// Records another entry's state, and fetches its configuration if that is newer.
    pub(crate) fn apply_peer_state(self: &Arc<Self>, peer: &PeerState) {
        let now = self.clock.now();
        self.zones.record_peer_state(peer, now);
        self.record_known_revision(peer.config_revision, now);
        let newer = peer.config_revision > self.control.load().revision;
        if newer && !self.fetching_config.swap(true, Ordering::AcqRel) {
            let (state, address) = (Arc::clone(self), peer.address);
            tokio::spawn(async move {
                state.fetch_config(address).await;
                state.fetching_config.store(false, Ordering::Release);
            });
        }
    }

    async fn fetch_config(&self, address: SocketAddr) {
        let client = self.zones.client(address);
        match client.config(CONFIG_FETCH_TIMEOUT).await {
            Ok(copy) => self.apply_config_copy(&copy),
            Err(error) => {
                warn!(self.logger, "failed to fetch the configuration from another entry; the \
                    next ping retries";
                    "address" => %address, "error" => %error);
            }
        }
    }

    /// Applies a newer configuration that was copied from another entry. It does not make the view
    /// fresh, since only the store shows that a configuration is the latest.
    fn apply_config_copy(&self, copy: &ConfigCopy) {
        let config = match ConfigDocument::from_json(copy.document.as_bytes()) {
            Ok(document) => Arc::new(document.config),
            Err(error) => {
                error!(self.logger, "invalid configuration received from another entry; keeping \
                    the current one"; "error" => %error);
                return;
            }
        };
        self.record_known_revision(copy.revision, self.clock.now());
        let before = self.control.rcu(|before| {
            let mut view = ControlView::clone(before);
            let cluster = *view.cluster.get_or_insert(copy.cluster);
            view.regressed |= cluster != copy.cluster;
            if !view.regressed && copy.revision > view.revision {
                view.revision = copy.revision;
                view.config = Arc::clone(&config);
            }
            view
        });
        if self.control.load().regressed {
            error!(self.logger, "another entry reads a different store; scheduling is suspended \
                until an operator restarts the entries"; "known_revision" => copy.revision.0);
            gauge!("store_regressed").set(1.0);
        }
        counter!("config_copies_total").increment(1);
        self.apply_config_change(&before);
    }
}

impl<S: Store> EntryState<S> {
    /// Applies a change that the store accepted from this entry, and pings the other entries, since
    /// the store may be too slow or unavailable for them to read the change in time.
    pub(crate) fn apply_accepted_change(self: &Arc<Self>, change: &AcceptedChange) {
        let current = &change.current;
        // A control read that was sent earlier may still show an older revision.
        self.record_known_revision(change.revision, self.clock.now());
        let config = Arc::new(current.document.config.clone());
        let before = self.control.rcu(|before| {
            let mut view = ControlView::clone(before);
            if !view.regressed && current.revision > view.revision {
                view.revision = current.revision;
                view.config = Arc::clone(&config);
            }
            view
        });
        self.apply_config_change(&before);
        self.ping_peers();
        self.control_read_requested.notify_one();
    }
}

impl<S> EntryState<S> {
    /// Records a revision that another process has applied. A store that a later read finds behind
    /// it was restored from an older copy.
    pub(crate) fn record_known_revision(&self, revision: Revision, now: Timestamp) {
        if revision > self.highest_known_revision.load().revision {
            self.highest_known_revision
                .rcu(|known| known.raised_to(revision, now));
        }
    }

    /// The configuration to send to other entries; `None` before there is one.
    pub(crate) fn config_copy(&self) -> Option<ConfigCopy> {
        let control = self.control.load();
        let document = ConfigDocument {
            config: control.config.as_ref().clone(),
            recent: Vec::new(),
        };
        (control.revision > Revision::default()).then_some(())?;
        Some(ConfigCopy {
            revision: control.revision,
            cluster: control.cluster?,
            document: String::from_utf8(document.to_json()).ok()?.into(),
        })
    }
}
