use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Incarnation;
use rattanwinch_types::PeerState;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

/// The time between two pings to an entry.
pub const PING_INTERVAL: Duration = Duration::from_millis(250);

/// An entry that hasn't been heard for this long is suspected: three missed pings.
pub const PEER_SUSPECT_TIMEOUT: Duration = Duration::from_millis(750);

/// What is known of one entry.
#[derive(Clone, Debug)]
struct Peer {
    /// When it was heard last, or became known.
    heard_at: Timestamp,
    /// What it said; `None` before it is heard.
    state: Option<PeerState>,
}

/// The other entries, as their pings and the responses to pings show them.
#[derive(Clone, Debug, Default)]
pub struct Peers(BTreeMap<EntryName, Peer>);

impl Peers {
    /// Takes in the registered entries: new ones count as heard now, and silent ones that aren't
    /// registered any longer are forgotten.
    pub fn set_registered(&mut self, registered: &[EntryName], now: Timestamp) {
        self.0.retain(|entry, peer| {
            registered.contains(entry) || now.since(peer.heard_at) < PEER_SUSPECT_TIMEOUT
        });
        for entry in registered {
            self.0.entry(entry.clone()).or_insert(Peer {
                heard_at: now,
                state: None,
            });
        }
    }

    /// Takes in what an entry said of itself.
    pub fn record_state(&mut self, state: PeerState, now: Timestamp) {
        let peer = Peer {
            heard_at: now,
            state: Some(state),
        };
        let entry = peer.state.as_ref().map(|state| state.entry.clone());
        if let Some(entry) = entry {
            self.0.insert(entry, peer);
        }
    }

    /// Whether the entry is registered or has been heard.
    #[must_use]
    pub fn knows(&self, entry: &EntryName) -> bool {
        self.0.contains_key(entry)
    }

    /// What an entry said last.
    #[must_use]
    pub fn state(&self, entry: &EntryName) -> Option<&PeerState> {
        self.0.get(entry)?.state.as_ref()
    }

    /// What all entries said last.
    pub fn states(&self) -> impl Iterator<Item = &PeerState> {
        self.0.values().filter_map(|peer| peer.state.as_ref())
    }

    /// The entries that may take a zone over: heard lately and not draining.
    pub fn candidates(&self, now: Timestamp) -> impl Iterator<Item = &EntryName> {
        let able = move |(entry, peer): (_, &Peer)| {
            let draining = peer.state.as_ref().is_some_and(|state| state.draining);
            let heard = now.since(peer.heard_at) < PEER_SUSPECT_TIMEOUT;
            (heard && !draining).then_some(entry)
        };
        self.0.iter().filter_map(able)
    }

    /// Since when an entry with this incarnation is suspected at `now`; `None` if it isn't.
    ///
    /// An entry that answers with another incarnation has started again, and its earlier life
    /// is over.
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
            return Some(peer.heard_at);
        }
        let at = peer.heard_at + PEER_SUSPECT_TIMEOUT;
        (now >= at).then_some(at)
    }

    /// Whether an entry drains and decides the zone no longer.
    #[must_use]
    pub fn has_handed_over(&self, entry: &EntryName, zone: &ZoneName) -> bool {
        self.state(entry).is_some_and(|state| {
            state.draining && state.zones.iter().all(|summary| summary.zone != *zone)
        })
    }

    /// The highest epoch in the zone of which another entry has told, as its decider or from the
    /// store.
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
