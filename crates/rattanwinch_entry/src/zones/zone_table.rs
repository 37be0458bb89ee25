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

/// How long a heartbeat waits for the decider task; the agent sends the next one after 500 ms.
const ZONE_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an unregistered entry that no longer pings is kept.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// The time after which the summary of a zone includes a job sent there: two pings.
const SUMMARY_DELAY: Duration = Duration::from_millis(500);

/// A zone that this entry decides or is taking over.
#[derive(Clone, Debug)]
pub(crate) struct ZoneHandle {
    /// The epoch.
    pub epoch: Epoch,
    /// The sender for messages to the decider task.
    pub messages: mpsc::Sender<ZoneMessage>,
    /// Whether the task has read the records and makes decisions.
    pub ready: Arc<AtomicBool>,
    /// The latest summary of the zone.
    pub summary: Arc<ArcSwap<ZoneSummary>>,
}

/// The state of another entry and when it was received.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    /// The state.
    pub state: PeerState,
    /// When the state was received.
    pub received_at: Timestamp,
}

/// Jobs that were recently sent to a zone.
#[derive(Clone, Copy, Debug)]
struct RecentlySentJobs {
    /// When the first of the jobs was sent.
    since: Timestamp,
    /// The accelerators of the jobs.
    accelerators: u32,
}

/// The zones that this entry decides, and the state that other entries reported.
#[derive(Debug, Default)]
pub(crate) struct ZoneTable {
    /// The zones that this entry decides or takes over.
    own: ArcSwap<HashMap<ZoneName, ZoneHandle>>,
    /// The other entries.
    peers: ArcSwap<HashMap<EntryName, PeerRecord>>,
    /// Jobs that were sent to zones and may not be in their summaries yet.
    sent_jobs: ArcSwap<HashMap<ZoneName, RecentlySentJobs>>,
    /// Cached clients of other entries.
    clients: ArcSwap<HashMap<SocketAddr, EntryClient>>,
    /// When the latest ping answered by another entry was sent, in milliseconds since the Unix
    /// epoch; 0 before the first.
    last_confirmed_ping_ms: AtomicU64,
}

impl ZoneTable {
    /// The handle of a zone that this entry decides or takes over.
    pub fn own_zone(&self, zone: &ZoneName) -> Option<ZoneHandle> {
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

    /// Removes a zone that this entry no longer decides.
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

    /// Records the state that another entry reported.
    pub fn record_peer_state(&self, state: &PeerState, received_at: Timestamp) {
        let peer = PeerRecord {
            state: state.clone(),
            received_at,
        };
        self.peers
            .rcu(|peers| peers.update(state.entry.clone(), peer.clone()));
    }

    /// Records that another entry has answered a ping that was sent at `sent_at`.
    pub fn record_confirmed_ping(&self, sent_at: Timestamp) {
        self.last_confirmed_ping_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    /// When the latest ping answered by another entry was sent.
    pub fn last_confirmed_ping_at(&self) -> Option<Timestamp> {
        let millis = self.last_confirmed_ping_ms.load(Ordering::Acquire);
        (millis > 0).then(|| Timestamp::from_millis(millis))
    }

    /// Removes entries that have stopped sending pings and are no longer registered.
    pub fn remove_silent_peers(&self, registered: &[EntryName], now: Timestamp) {
        let is_expired = |entry: &EntryName, peer: &PeerRecord| {
            now.since(peer.received_at) > PEER_RETENTION && !registered.contains(entry)
        };
        let peers = self.peers.load();
        if peers.iter().any(|(entry, peer)| is_expired(entry, peer)) {
            self.peers.rcu(|peers| {
                let mut kept = HashMap::clone(peers);
                kept.retain(|entry, peer| !is_expired(entry, peer));
                kept
            });
        }
    }

    /// The latest state of each other entry.
    pub fn peers(&self) -> HashMap<EntryName, PeerRecord> {
        HashMap::clone(&self.peers.load())
    }

    /// Records that a job with this many accelerators is sent to a zone.
    pub fn record_sent_job(&self, zone: &ZoneName, accelerators: u32, now: Timestamp) {
        self.sent_jobs.rcu(|sent_jobs| {
            let add = |known: Option<RecentlySentJobs>| {
                let recent = known.filter(|known| now.since(known.since) < SUMMARY_DELAY);
                let mut jobs = recent.unwrap_or(RecentlySentJobs {
                    since: now,
                    accelerators: 0,
                });
                jobs.accelerators = jobs.accelerators.saturating_add(accelerators);
                Some(jobs)
            };
            sent_jobs.alter(add, zone.clone())
        });
    }

    /// The accelerators of jobs that were sent to a zone and may not be in its summary yet.
    pub fn recently_sent_accelerators(&self, zone: &ZoneName, now: Timestamp) -> u32 {
        let sent_jobs = self.sent_jobs.load();
        let recent = sent_jobs.get(zone);
        recent
            .filter(|jobs| now.since(jobs.since) < SUMMARY_DELAY)
            .map_or(0, |jobs| jobs.accelerators)
    }

    /// Returns the client of the entry at `address`.
    pub fn client(&self, address: SocketAddr) -> EntryClient {
        if let Some(client) = self.clients.load().get(&address) {
            return client.clone();
        }
        let client = EntryClient::new(address);
        self.clients
            .rcu(|clients| clients.update(address, client.clone()));
        client
    }

    /// Sends a heartbeat to the decider task; returns `None` if this entry does not decide the zone
    /// or the task does not answer in time.
    pub async fn forward_heartbeat(
        &self,
        heartbeat: &Heartbeat,
    ) -> Option<(Epoch, HeartbeatOrders)> {
        let handle = self.own_zone(&heartbeat.zone)?;
        if !handle.ready.load(Ordering::Acquire) {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let message = ZoneMessage::Heartbeat(Box::new(heartbeat.clone()), tx);
        let reply = async {
            handle.messages.send(message).await.ok()?;
            rx.await.ok()
        };
        let orders = tokio::time::timeout(ZONE_HEARTBEAT_TIMEOUT, reply)
            .await
            .ok()??;
        Some((handle.epoch, orders))
    }
}
