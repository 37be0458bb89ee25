use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rattanwinch_decisions::PEER_SUSPECT_TIMEOUT;
use rattanwinch_decisions::PING_INTERVAL;
use rattanwinch_decisions::may_renew;
use rattanwinch_platform::Store;
use rattanwinch_types::EntryName;
use rattanwinch_types::PeerState;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::entry_state::EntryState;

impl<S: Store> EntryState<S> {
    /// The state that this entry sends to the others; `None` before it listens.
    pub fn peer_state(&self) -> Option<PeerState> {
        let now = self.clock.now();
        let control = self.control.load();
        let state = PeerState::builder()
            .entry(self.settings.entry.clone())
            .incarnation(self.incarnation)
            .address(*self.rpc_address.get()?)
            .config_revision(control.revision)
            .maybe_control_age(control.confirmed_at.map(|at| now.since(at)))
            .draining(self.draining.load(Ordering::Acquire))
            .zones(self.zones.summaries())
            .epochs(control.epochs())
            .heartbeat_zones(self.fleet.live_zones(now))
            .build();
        Some(state)
    }

    /// The RPC addresses of the other entries: the registered ones and those that sent pings.
    pub fn peer_addresses(&self) -> BTreeMap<EntryName, SocketAddr> {
        let control = self.control.load();
        let registered = control.entries.iter();
        let mut addresses: BTreeMap<_, _> = registered
            .map(|record| (record.entry.clone(), record.address))
            .collect();
        let now = self.clock.now();
        for (entry, peer) in self.zones.peers() {
            // An entry that no longer pings may have been replaced and registered under another
            // address.
            if now.since(peer.received_at) < PEER_SUSPECT_TIMEOUT || !addresses.contains_key(&entry)
            {
                addresses.insert(entry, peer.state.address);
            }
        }
        addresses.remove(&self.settings.entry);
        addresses
    }

    /// Whether every other registered entry has pinged recently and reports no live agent in the
    /// zone.
    pub fn peers_see_no_agents(&self, zone: &ZoneName, now: Timestamp) -> bool {
        let control = self.control.load();
        let peers = self.zones.peers();
        let sees_none = |entry: &EntryName| {
            let peer = peers.get(entry);
            peer.is_some_and(|peer| {
                let zones = peer.state.heartbeat_zones.as_ref();
                let none = zones.is_some_and(|zones| !zones.contains(zone));
                none && now.since(peer.received_at) < PEER_SUSPECT_TIMEOUT
            })
        };
        let own = &self.settings.entry;
        let mut others = control.entries.iter().filter(|it| it.entry != *own);
        others.all(|record| sees_none(&record.entry))
    }

    /// Whether this entry may renew the task leases of zones that it decides.
    pub fn may_renew_task_leases(&self, now: Timestamp) -> bool {
        let control = self.control.load();
        let confirmed_at = control
            .confirmed_at
            .max(self.zones.last_confirmed_ping_at());
        let own = &self.settings.entry;
        let alone = control.entries.iter().all(|record| record.entry == *own);
        may_renew(confirmed_at, alone, now)
    }

    /// Pings every other entry; responses are applied as they arrive.
    pub fn ping_peers(self: &Arc<Self>) {
        let Some(own) = self.peer_state() else {
            return;
        };
        for address in self.peer_addresses().into_values() {
            let (state, own) = (Arc::clone(self), own.clone());
            let sent_at = self.clock.now();
            tokio::spawn(async move {
                let client = state.zones.client(address);
                // The failure detector counts missing pings, so the error needs no handling here.
                if let Ok(peer) = client.ping(own, PING_INTERVAL * 2).await {
                    state.apply_peer_state(&peer);
                    state.zones.record_confirmed_ping(sent_at);
                }
            });
        }
    }
}
