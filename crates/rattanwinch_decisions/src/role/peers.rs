use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Incarnation;
use rattanwinch_types::PeerState;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

/// Interval between two pings to an entry.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);

/// An entry without a message for this long is suspected to be dead: three missed pings.
pub const PEER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(750);

/// State of one entry.
#[derive(Clone, Debug)]
struct Peer {
    /// When its last message arrived, or when it became known.
    last_message_at: Timestamp,
    /// Its last reported state; `None` before the first message.
    state: Option<PeerState>,
}

/// The other entries, as known from pings and their responses.
#[derive(Clone, Debug, Default)]
pub struct Peers(BTreeMap<EntryName, Peer>);

impl Peers {
    /// Updates the registered entries: for new ones the suspect timeout starts at `now`, and silent
    /// ones that are no longer registered are removed.
    pub fn set_registered(&mut self, registered: &[EntryName], now: Timestamp) {
        self.0.retain(|entry, peer| {
            registered.contains(entry) || now.since(peer.last_message_at) < PEER_SUSPECT_TIMEOUT
        });
        for entry in registered {
            self.0.entry(entry.clone()).or_insert(Peer {
                last_message_at: now,
                state: None,
            });
        }
    }

    /// Records the state that an entry reported.
    pub fn record_state(&mut self, state: PeerState, now: Timestamp) {
        let peer = Peer {
            last_message_at: now,
            state: Some(state),
        };
        let entry = peer.state.as_ref().map(|state| state.entry.clone());
        if let Some(entry) = entry {
            self.0.insert(entry, peer);
        }
    }

    /// Whether the entry is registered or has sent a message.
    #[must_use]
    pub fn is_known(&self, entry: &EntryName) -> bool {
        self.0.contains_key(entry)
    }

    /// Last reported state of an entry.
    #[must_use]
    pub fn state(&self, entry: &EntryName) -> Option<&PeerState> {
        self.0.get(entry)?.state.as_ref()
    }

    /// Last reported states of all entries.
    pub fn states(&self) -> impl Iterator<Item = &PeerState> {
        self.0.values().filter_map(|peer| peer.state.as_ref())
    }

    /// Entries that may take over a zone: not suspected and not draining.
    pub fn takeover_candidates(&self, now: Timestamp) -> impl Iterator<Item = &EntryName> {
        let candidate = move |(entry, peer): (_, &Peer)| {
            let draining = peer.state.as_ref().is_some_and(|state| state.draining);
            let responsive = now.since(peer.last_message_at) < PEER_SUSPECT_TIMEOUT;
            (responsive && !draining).then_some(entry)
        };
        self.0.iter().filter_map(candidate)
    }

    /// Returns since when an entry with this incarnation is suspected at `now`; `None` if it isn't.
    ///
    /// An entry that reports another incarnation has restarted, so its earlier incarnation is dead.
    #[must_use]
    pub fn suspected_since(
        &self,
        entry: &EntryName,
        incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let peer = self.0.get(entry)?;
        let replaced = peer
            .state
            .as_ref()
            .is_some_and(|state| state.incarnation != incarnation);
        if replaced {
            return Some(peer.last_message_at);
        }
        let at = peer.last_message_at + PEER_SUSPECT_TIMEOUT;
        (now >= at).then_some(at)
    }

    /// Whether an entry is draining and no longer decides the zone.
    #[must_use]
    pub fn has_handed_over(&self, entry: &EntryName, zone: &ZoneName) -> bool {
        self.state(entry).is_some_and(|state| {
            state.draining && state.zones.iter().all(|summary| summary.zone != *zone)
        })
    }

    /// Highest epoch of the zone reported by another entry, as its decider or from the store.
    #[must_use]
    pub fn highest_epoch(&self, zone: &ZoneName) -> Option<Epoch> {
        let zones = self.states().flat_map(|state| &state.zones);
        let zones = zones.filter(|summary| summary.zone == *zone);
        let known = self.states().flat_map(|state| &state.epochs);
        let known = known.filter(|known| known.zone == *zone);
        let decided = zones.map(|summary| summary.epoch);
        decided.chain(known.map(|known| known.epoch)).max()
    }
}
