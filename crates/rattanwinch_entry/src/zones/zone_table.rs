use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use imbl::HashMap;
use rattanwinch_decisions::HeartbeatOrders;
use rattanwinch_peers::EntryClient;
use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::PeerState;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::message::ZoneMessage;

/// How long a heartbeat waits for the zone's task; the agent asks again 500 ms later.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(200);

/// An entry that is gone from the store and hasn't been heard for this long is forgotten.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(30);

/// A job shows in the summary of its zone within two pings.
const SHOWN_AFTER: Duration = Duration::from_millis(500);

/// A zone that this entry decides or takes over.
#[derive(Clone, Debug)]
pub(crate) struct ZoneHandle {
    /// The epoch.
    pub epoch: Epoch,
    /// Where the zone's task receives messages.
    pub messages: mpsc::Sender<ZoneMessage>,
    /// Whether the records are read, so that the task decides.
    pub ready: Arc<AtomicBool>,
    /// What the task last said of the zone.
    pub summary: Arc<ArcSwap<ZoneSummary>>,
}

/// What another entry said, and when.
#[derive(Clone, Debug)]
pub(crate) struct HeardPeer {
    /// What it said.
    pub state: PeerState,
    /// When that arrived.
    pub at: Timestamp,
}

/// Jobs that were sent to a zone lately.
#[derive(Clone, Copy, Debug)]
struct SentJobs {
    /// When the first of them was sent.
    since: Timestamp,
    /// Their accelerators.
    accelerators: u32,
}

/// The zones that this entry decides, and what other entries said of themselves.
#[derive(Debug, Default)]
pub(crate) struct ZoneTable {
    /// The zones that this entry decides or takes over.
    own: ArcSwap<HashMap<ZoneName, ZoneHandle>>,
    /// The other entries.
    peers: ArcSwap<HashMap<EntryName, HeardPeer>>,
    /// Jobs that were sent to zones and may not show in their summaries yet.
    sent: ArcSwap<HashMap<ZoneName, SentJobs>>,
    /// Clients of other entries.
    clients: ArcSwap<HashMap<SocketAddr, EntryClient>>,
    /// When the latest ping was sent that another entry has answered, in milliseconds; 0 before
    /// the first.
    confirmed_ms: AtomicU64,
}

impl ZoneTable {
    /// The handle of a zone that this entry decides or takes over.
    pub fn own(&self, zone: &ZoneName) -> Option<ZoneHandle> {
        self.own.load().get(zone).cloned()
    }

    /// All zones that this entry decides or takes over.
    pub fn own_zones(&self) -> HashMap<ZoneName, ZoneHandle> {
        HashMap::clone(&self.own.load())
    }

    /// Adds a zone that this entry takes over.
    pub fn insert(&self, zone: &ZoneName, handle: &ZoneHandle) {
        self.own.rcu(|own| own.update(zone.clone(), handle.clone()));
    }

    /// Removes a zone that this entry doesn't decide any longer.
    pub fn remove(&self, zone: &ZoneName) {
        self.own.rcu(|own| own.without(zone));
    }

    /// The summaries of the zones that this entry decides.
    pub fn summaries(&self) -> Vec<ZoneSummary> {
        let own = self.own.load();
        let ready = own
            .values()
            .filter(|handle| handle.ready.load(Ordering::Acquire));
        ready
            .map(|handle| ZoneSummary::clone(&handle.summary.load()))
            .collect()
    }

    /// Takes in what another entry said.
    pub fn hear(&self, state: &PeerState, at: Timestamp) {
        let heard = HeardPeer {
            state: state.clone(),
            at,
        };
        self.peers
            .rcu(|peers| peers.update(state.entry.clone(), heard.clone()));
    }

    /// Takes in that another entry has answered a ping that was sent at `sent_at`.
    pub fn confirm(&self, sent_at: Timestamp) {
        self.confirmed_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    /// When the latest ping was sent that another entry has answered.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        let millis = self.confirmed_ms.load(Ordering::Acquire);
        (millis > 0).then(|| Timestamp::from_millis(millis))
    }

    /// Forgets entries that have been silent for long and aren't registered any longer.
    pub fn forget_silent(&self, registered: &[EntryName], now: Timestamp) {
        let gone = |entry: &EntryName, heard: &HeardPeer| {
            now.since(heard.at) > FORGET_PEER_AFTER && !registered.contains(entry)
        };
        let peers = self.peers.load();
        if peers.iter().any(|(entry, heard)| gone(entry, heard)) {
            self.peers.rcu(|peers| {
                let mut kept = HashMap::clone(peers);
                kept.retain(|entry, heard| !gone(entry, heard));
                kept
            });
        }
    }

    /// What the other entries said last.
    pub fn peers(&self) -> HashMap<EntryName, HeardPeer> {
        HashMap::clone(&self.peers.load())
    }

    /// Counts a job that is sent to a zone.
    pub fn count_sent(&self, zone: &ZoneName, accelerators: u32, now: Timestamp) {
        self.sent.rcu(|sent| {
            let add = |known: Option<SentJobs>| {
                let lately = known.filter(|known| now.since(known.since) < SHOWN_AFTER);
                let mut jobs = lately.unwrap_or(SentJobs {
                    since: now,
                    accelerators: 0,
                });
                jobs.accelerators = jobs.accelerators.saturating_add(accelerators);
                Some(jobs)
            };
            sent.alter(add, zone.clone())
        });
    }

    /// Accelerators of jobs that were sent to a zone and may not show in its summary yet.
    pub fn sent_lately(&self, zone: &ZoneName, now: Timestamp) -> u32 {
        let sent = self.sent.load();
        let lately = sent.get(zone);
        lately
            .filter(|jobs| now.since(jobs.since) < SHOWN_AFTER)
            .map_or(0, |jobs| jobs.accelerators)
    }

    /// The client of the entry at `address`.
    pub fn client(&self, address: SocketAddr) -> EntryClient {
        if let Some(client) = self.clients.load().get(&address) {
            return client.clone();
        }
        let client = EntryClient::new(address);
        self.clients
            .rcu(|clients| clients.update(address, client.clone()));
        client
    }

    /// Hands a heartbeat to the zone's task; `None` if this entry doesn't decide the zone.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Option<(Epoch, HeartbeatOrders)> {
        let handle = self.own(&heartbeat.zone)?;
        if !handle.ready.load(Ordering::Acquire) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let message = ZoneMessage::Heartbeat(Box::new(heartbeat.clone()), tx);
        let asked = async {
            handle.messages.send(message).await.ok()?;
            rx.await.ok()
        };
        let orders = tokio::time::timeout(HEARTBEAT_WAIT, asked).await.ok()??;
        Some((handle.epoch, orders))
    }
}
