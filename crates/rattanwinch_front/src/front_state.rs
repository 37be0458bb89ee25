use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::FrontInfo;
use rattanwinch_fleet::FrontSampler;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_runtime::BootClock;
use rattanwinch_site_store::StoreClient;
use rattanwinch_types::Timestamp;
use slog::Logger;
use slog::info;
use tokio::sync::watch;

use crate::FrontSettings;
use crate::local_leader::LocalLeader;

/// Timeout of a call to the store. By the users' requirements its slowest answers take 60 times 4
/// ms; the timeout is more than twice that, to allow for queueing.
const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without contact to the leader after which a front isn't ready for callers. A change of
/// leader takes about 2 s, and the balancer acts after two failed checks a second apart.
const MAX_READY_SILENCE: Duration = Duration::from_secs(4);

/// Maximum number of known fronts. Replaced fronts stay known until others take their place.
const MAX_FRONTS: usize = 256;

/// A standby front asks every 300 ms, so one that has asked within this time is alive.
const MAX_ASKER_AGE: Duration = Duration::from_millis(1000);

/// A front whose last answer of the store is older than this doesn't offer to lead.
const MAX_STORE_CONTACT_AGE: Duration = Duration::from_millis(1500);

/// The leader in another process, and the client that calls it.
#[derive(Clone, Debug)]
pub(crate) struct RemoteLeader {
    pub info: LeaderInfo,
    pub client: FrontClient,
}

/// State that all tasks of the daemon share.
pub(crate) struct FrontState {
    pub settings: FrontSettings,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub clock: BootClock,
    pub log: Logger,
    pub store: StoreClient,
    /// The leader, if it is this process.
    local_leader: ArcSwapOption<LocalLeader>,
    remote_leader: ArcSwapOption<RemoteLeader>,
    /// Incremented when `remote_leader` or `local_leader` changes.
    leader_changes: watch::Sender<u64>,
    leader_contact_ms: AtomicU64,
    highest_epoch: AtomicU64,
    stopping: AtomicBool,
    /// Other fronts that can be asked for the leader.
    pub fronts: ArcSwap<BTreeSet<SocketAddr>>,
    sampler: FrontSampler,
    /// When the last read that the store answered was sent, in milliseconds.
    store_contact_ms: AtomicU64,
    /// When the last call that the store didn't answer was sent, in milliseconds.
    store_failure_ms: AtomicU64,
    /// The largest share of a core, in per cent, that a front of the site has.
    largest_cpu_percent: AtomicU32,
    /// When a front that can lead and has a larger share of a core than this one last asked for the
    /// leader, in milliseconds.
    larger_front_ms: AtomicU64,
}

impl FrontState {
    pub(crate) fn new(settings: FrontSettings, log: Logger) -> Self {
        let clock = BootClock;
        let address = settings.vm.peer_address();
        let fronts = settings.vm.seed_addresses();
        Self {
            address,
            incarnation: clock.wall_time().as_millis(),
            clock,
            log,
            store: StoreClient::new(settings.vm.store, STORE_TIMEOUT),
            local_leader: ArcSwapOption::empty(),
            remote_leader: ArcSwapOption::empty(),
            leader_changes: watch::Sender::new(0),
            leader_contact_ms: AtomicU64::new(clock.now().as_millis()),
            highest_epoch: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            fronts: ArcSwap::from_pointee(fronts.filter(|front| *front != address).collect()),
            sampler: FrontSampler::new(address),
            store_contact_ms: AtomicU64::new(0),
            store_failure_ms: AtomicU64::new(0),
            largest_cpu_percent: AtomicU32::new(settings.cpu_percent()),
            larger_front_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// The leader in this process, if the store has confirmed its lease recently.
    pub(crate) fn local_leader(&self) -> Option<Arc<LocalLeader>> {
        let local_leader = self.local_leader.load_full()?;
        local_leader
            .is_lease_confirmed(self.clock.now())
            .then_some(local_leader)
    }

    pub(crate) fn set_local_leader(&self, local_leader: Option<Arc<LocalLeader>>) {
        self.local_leader.store(local_leader);
        self.leader_changes.send_modify(|changes| *changes += 1);
    }

    /// The leader in another process, if it is known.
    pub(crate) fn remote_leader(&self) -> Option<Arc<RemoteLeader>> {
        self.remote_leader.load_full()
    }

    pub(crate) fn set_remote_leader(&self, info: Option<LeaderInfo>) {
        let known = self.remote_leader.load();
        if known.as_ref().map(|known| known.info) == info {
            return;
        }
        if let Some(info) = info {
            info!(self.log, "scheduler found"; "address" => %info.address, "epoch" => info.epoch);
            if self.highest_epoch.fetch_max(info.epoch, Ordering::AcqRel) < info.epoch {
                // The silence of the previous leader says nothing about the new one.
                self.record_leader_contact(self.clock.now());
            }
        } else {
            info!(self.log, "scheduler lost");
        }
        let known = info.map(|info| {
            Arc::new(RemoteLeader {
                client: FrontClient::new(info.address),
                info,
            })
        });
        self.remote_leader.store(known);
        self.leader_changes.send_modify(|changes| *changes += 1);
    }

    pub(crate) fn leader_changes(&self) -> watch::Receiver<u64> {
        self.leader_changes.subscribe()
    }

    /// The highest epoch seen by this front.
    pub(crate) fn highest_epoch(&self) -> u64 {
        self.highest_epoch.load(Ordering::Acquire)
    }

    pub(crate) fn observe_epoch(&self, epoch: u64) {
        self.highest_epoch.fetch_max(epoch, Ordering::AcqRel);
    }

    /// Handles the announcement of a new leader.
    pub(crate) fn handle_announcement(&self, leader: LeaderInfo) {
        if leader.epoch > self.highest_epoch() {
            self.record_leader_contact(self.clock.now());
            self.set_remote_leader(Some(leader));
        }
    }

    pub(crate) fn record_leader_contact(&self, now: Timestamp) {
        self.leader_contact_ms
            .fetch_max(now.as_millis(), Ordering::AcqRel);
    }

    /// Time since the last contact with the leader.
    pub(crate) fn leader_silence(&self, now: Timestamp) -> Duration {
        let contact = Timestamp::from_millis(self.leader_contact_ms.load(Ordering::Acquire));
        now.since(contact)
    }

    /// Adds a front that can be asked for the leader.
    pub(crate) fn add_front(&self, front: SocketAddr) {
        let known = self.fronts.load();
        if front == self.address || known.contains(&front) {
            return;
        }
        let dropped = self.sample_fronts().next();
        self.fronts.rcu(|fronts| {
            let mut fronts = BTreeSet::clone(fronts);
            // A front that is dropped and alive is added again with its next query.
            if let Some(dropped) = dropped.filter(|_| fronts.len() >= MAX_FRONTS) {
                fronts.remove(&dropped);
            }
            fronts.insert(front);
            fronts
        });
    }

    /// This front as it introduces itself to others.
    pub(crate) fn info(&self, now: Timestamp) -> FrontInfo {
        let store_contact = Timestamp::from_millis(self.store_contact_ms.load(Ordering::Acquire));
        let store_failure = Timestamp::from_millis(self.store_failure_ms.load(Ordering::Acquire));
        FrontInfo {
            address: self.address,
            cpu_percent: self.settings.cpu_percent(),
            can_lead: store_contact > store_failure
                && now.since(store_contact) < MAX_STORE_CONTACT_AGE,
        }
    }

    /// Records that a front has asked for the leader.
    pub(crate) fn record_asker(&self, asker: FrontInfo, now: Timestamp) {
        self.add_front(asker.address);
        self.observe_cpu_percent(asker.cpu_percent);
        if asker.can_lead && asker.cpu_percent > self.settings.cpu_percent() {
            self.larger_front_ms
                .fetch_max(now.as_millis(), Ordering::AcqRel);
        }
    }

    /// Records the share of a core of a front, in per cent.
    pub(crate) fn observe_cpu_percent(&self, cpu_percent: u32) {
        self.largest_cpu_percent
            .fetch_max(cpu_percent, Ordering::AcqRel);
    }

    /// The largest share of a core, in per cent, that a front of the site has.
    pub(crate) fn largest_cpu_percent(&self) -> u32 {
        self.largest_cpu_percent.load(Ordering::Acquire)
    }

    /// True if another front of the site has a larger share of a core than this one.
    pub(crate) fn is_small(&self) -> bool {
        self.settings.cpu_percent() < self.largest_cpu_percent()
    }

    /// True if a front with a larger share of a core could take over now.
    pub(crate) fn has_larger_front(&self, now: Timestamp) -> bool {
        let seen = Timestamp::from_millis(self.larger_front_ms.load(Ordering::Acquire));
        seen > Timestamp::ZERO && now.since(seen) < MAX_ASKER_AGE
    }

    /// Returns a few other fronts, others with each call.
    pub(crate) fn sample_fronts(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let fronts: Vec<_> = self.fronts.load().iter().copied().collect();
        self.sampler.sample(&fronts).into_iter()
    }

    /// Records that the store has answered a read sent at `sent_at`.
    pub(crate) fn record_store_contact(&self, sent_at: Timestamp) {
        self.store_contact_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    /// Records that the store has not answered a call sent at `sent_at`.
    pub(crate) fn record_store_failure(&self, sent_at: Timestamp) {
        self.store_failure_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.leader_changes.send_modify(|changes| *changes += 1);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// True if the balancer may send new connections to this front.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.leader_silence(self.clock.now()) < MAX_READY_SILENCE
    }
}
