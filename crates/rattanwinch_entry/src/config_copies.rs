//! Configurations that entries pass on to each other, for those that can't read the store.

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

/// The time that another entry may take to pass its configuration on; the next ping asks again.
const COPY_TIMEOUT: Duration = Duration::from_secs(1);

impl<S: Store> EntryState<S> {
    /// Takes in what another entry said, and asks it for its configuration if that is newer.
    pub(crate) fn hear_peer(self: &Arc<Self>, peer: &PeerState) {
        let now = self.clock.now();
        self.zones.hear(peer, now);
        self.note_revision(peer.config_revision, now);
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
        match client.config(COPY_TIMEOUT).await {
            Ok(copy) => self.apply_copy(&copy),
            Err(error) => {
                warn!(self.logger, "another entry's configuration wasn't had";
                    "address" => %address, "error" => %error);
            }
        }
    }

    /// Acts on a newer configuration. It isn't fresh by that: only the store tells that it is the
    /// latest one.
    fn apply_copy(&self, copy: &ConfigCopy) {
        let config = match ConfigDocument::from_json(copy.document.as_bytes()) {
            Ok(document) => Arc::new(document.config),
            Err(error) => {
                error!(self.logger, "a copied configuration can't be read"; "error" => %error);
                return;
            }
        };
        self.note_revision(copy.revision, self.clock.now());
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
            error!(self.logger, "another entry has read another store; nothing is decided until \
                an operator restarts the entries"; "known_revision" => copy.revision.0);
            gauge!("store_regressed").set(1.0);
        }
        counter!("config_copies_total").increment(1);
        self.config_changed(&before);
    }
}

impl<S: Store> EntryState<S> {
    /// Acts on a change that the store has accepted here, and tells the other entries. The store
    /// may be too slow, or gone, for any of them to read the change there in time.
    pub(crate) fn adopt_accepted(self: &Arc<Self>, change: &AcceptedChange) {
        let current = &change.current;
        // A control read that is on its way may show an older revision from now on.
        self.note_revision(change.revision, self.clock.now());
        let config = Arc::new(current.document.config.clone());
        let before = self.control.rcu(|before| {
            let mut view = ControlView::clone(before);
            if !view.regressed && current.revision > view.revision {
                view.revision = current.revision;
                view.config = Arc::clone(&config);
            }
            view
        });
        self.config_changed(&before);
        self.ping_peers();
        self.control_wanted.notify_one();
    }
}

impl<S> EntryState<S> {
    /// Remembers a revision that another process acts on: a store that is read later and is
    /// behind it was restored from an older copy.
    pub(crate) fn note_revision(&self, revision: Revision, now: Timestamp) {
        if revision > self.known_elsewhere.load().revision {
            self.known_elsewhere
                .rcu(|known| known.or_higher(revision, now));
        }
    }

    /// The configuration to pass on; `None` before there is one.
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
