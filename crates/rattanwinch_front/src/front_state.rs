use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use rattanwinch_fleet::FrontClient;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_runtime::BootClock;
use rattanwinch_site_store::StoreClient;
use rattanwinch_types::Timestamp;
use slog::Logger;
use slog::info;
use tokio::sync::watch;

use crate::FrontSettings;
use crate::leading::Leading;

/// How long a call to the store may take. Its slowest answers on the users' sheets take 60 times
/// 4 ms; twice that and more are left for queueing.
const STORE_LIMIT: Duration = Duration::from_millis(1000);

/// A front that hasn't been in touch with the scheduler for so long isn't ready for callers: a
/// change of scheduler takes about 2 s, and the balancer acts after two misses a second apart.
const READY_SILENCE: Duration = Duration::from_secs(4);

/// Fronts that are remembered; replaced ones stay until the process ends, and each is asked when
/// the scheduler is looked for.
const MAX_FRONTS: usize = 64;

/// The front that schedules, and how to call it.
#[derive(Clone, Debug)]
pub(crate) struct KnownLeader {
    pub info: LeaderInfo,
    pub client: FrontClient,
}

/// What all tasks of the daemon share.
pub(crate) struct FrontState {
    pub settings: FrontSettings,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub clock: BootClock,
    pub log: Logger,
    pub store: StoreClient,
    /// The scheduler, if it is in this process.
    leading: ArcSwapOption<Leading>,
    leader: ArcSwapOption<KnownLeader>,
    /// Rises when `leader` or `leading` changes.
    leader_changes: watch::Sender<u64>,
    leader_heard_ms: AtomicU64,
    highest_epoch: AtomicU64,
    stopping: AtomicBool,
    /// Fronts that may be asked who leads.
    pub fronts: ArcSwap<BTreeSet<SocketAddr>>,
}

impl FrontState {
    pub(crate) fn new(settings: FrontSettings, log: Logger) -> Self {
        let clock = BootClock;
        let address = settings.vm.peer_address();
        let fronts = settings.vm.seed_addresses();
        Self {
            address,
            incarnation: clock.wall().as_millis(),
            clock,
            log,
            store: StoreClient::new(settings.vm.store, STORE_LIMIT),
            leading: ArcSwapOption::empty(),
            leader: ArcSwapOption::empty(),
            leader_changes: watch::Sender::new(0),
            leader_heard_ms: AtomicU64::new(clock.now().as_millis()),
            highest_epoch: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            fronts: ArcSwap::from_pointee(fronts.filter(|front| *front != address).collect()),
            settings,
        }
    }

    /// The scheduler in this process, if the store has confirmed it lately.
    pub(crate) fn leading(&self) -> Option<Arc<Leading>> {
        let leading = self.leading.load_full()?;
        leading.is_confirmed(self.clock.now()).then_some(leading)
    }

    pub(crate) fn set_leading(&self, leading: Option<Arc<Leading>>) {
        self.leading.store(leading);
        self.leader_changes.send_modify(|changes| *changes += 1);
    }

    /// The other front that schedules, as far as it is known.
    pub(crate) fn leader(&self) -> Option<Arc<KnownLeader>> {
        self.leader.load_full()
    }

    pub(crate) fn set_leader(&self, info: Option<LeaderInfo>) {
        let known = self.leader.load();
        if known.as_ref().map(|known| known.info) == info {
            return;
        }
        if let Some(info) = info {
            info!(self.log, "scheduler found"; "address" => %info.address, "epoch" => info.epoch);
            if self.highest_epoch.fetch_max(info.epoch, Ordering::AcqRel) < info.epoch {
                // Its predecessor's silence says nothing of a new scheduler.
                self.note_leader_heard(self.clock.now());
            }
        } else {
            info!(self.log, "scheduler lost");
        }
        let known = info.map(|info| {
            Arc::new(KnownLeader {
                client: FrontClient::new(info.address),
                info,
            })
        });
        self.leader.store(known);
        self.leader_changes.send_modify(|changes| *changes += 1);
    }

    pub(crate) fn leader_changes(&self) -> watch::Receiver<u64> {
        self.leader_changes.subscribe()
    }

    /// The highest epoch that this front has heard of.
    pub(crate) fn highest_epoch(&self) -> u64 {
        self.highest_epoch.load(Ordering::Acquire)
    }

    pub(crate) fn note_epoch(&self, epoch: u64) {
        self.highest_epoch.fetch_max(epoch, Ordering::AcqRel);
    }

    /// Takes the word of another front that it schedules now.
    pub(crate) fn announced(&self, leader: LeaderInfo) {
        if leader.epoch > self.highest_epoch() {
            self.note_leader_heard(self.clock.now());
            self.set_leader(Some(leader));
        }
    }

    pub(crate) fn note_leader_heard(&self, now: Timestamp) {
        self.leader_heard_ms
            .fetch_max(now.as_millis(), Ordering::AcqRel);
    }

    /// How long ago the scheduler was heard.
    pub(crate) fn leader_silence(&self, now: Timestamp) -> Duration {
        let heard = Timestamp::from_millis(self.leader_heard_ms.load(Ordering::Acquire));
        now.since(heard)
    }

    /// Notes a front that may be asked who leads.
    pub(crate) fn add_front(&self, front: SocketAddr) {
        let known = self.fronts.load();
        if front == self.address || known.contains(&front) || known.len() >= MAX_FRONTS {
            return;
        }
        self.fronts.rcu(|fronts| {
            let mut fronts = BTreeSet::clone(fronts);
            fronts.insert(front);
            fronts
        });
    }

    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.leader_changes.send_modify(|changes| *changes += 1);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// True if callers' connections are welcome here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.leader_silence(self.clock.now()) < READY_SILENCE
    }
}
