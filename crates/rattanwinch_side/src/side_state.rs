use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use rattanwinch_fleet::AGENT_AUTONOMY;
use rattanwinch_fleet::AgentId;
use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_runtime::BootClock;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_site_executors::ExecutorBackend;
use rattanwinch_site_executors::ExecutorClient;
use rattanwinch_site_executors::ExecutorHeartbeat;
use rattanwinch_types::Timestamp;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::SideSettings;
use crate::TargetView;

/// The target beside the agent: what is believed of it and how to call it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub view: TargetView,
    pub client: ExecutorClient,
}

/// What all tasks of the daemon share.
pub(crate) struct SideState {
    pub settings: SideSettings,
    pub id: AgentId,
    pub address: SocketAddr,
    pub clock: BootClock,
    pub log: Logger,
    target: Mutex<Option<Target>>,
    /// The last life that said that it leaves.
    left: ArcSwapOption<TargetInstance>,
    /// Changes with each life of the target.
    lives: watch::Sender<u64>,
    /// Wakes the reporter before its time.
    pub changed: Notify,
    /// The highest epoch that was heard; lower ones aren't obeyed.
    epoch: AtomicU64,
    /// Ends that the scheduler has made durable.
    acknowledged: AtomicU64,
    /// When the last report was sent that a confirmed scheduler answered, in milliseconds.
    contact_ms: AtomicU64,
    sequence: AtomicU64,
    /// The last front that said of itself that it schedules now.
    announced: watch::Sender<Option<LeaderInfo>>,
    /// Fronts that can be asked who leads.
    pub fronts: ArcSwap<Vec<SocketAddr>>,
}

impl SideState {
    pub(crate) fn new(settings: SideSettings, address: SocketAddr, log: Logger) -> Self {
        let clock = BootClock;
        let fronts = settings.vm.seed_addresses().collect();
        Self {
            id: AgentId {
                vm: Arc::clone(&settings.vm.name),
                incarnation: clock.wall().as_millis(),
            },
            address,
            clock,
            log,
            target: Mutex::new(None),
            left: ArcSwapOption::empty(),
            lives: watch::Sender::new(0),
            changed: Notify::new(),
            epoch: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            contact_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            announced: watch::Sender::new(None),
            fronts: ArcSwap::from_pointee(fronts),
            settings,
        }
    }

    pub(crate) fn add_seeds(&self, settings: &SideSettings) {
        let mut fronts = self.fronts.load().to_vec();
        for front in settings.vm.seed_addresses() {
            if !fronts.contains(&front) {
                fronts.push(front);
            }
        }
        self.fronts.store(Arc::new(fronts));
    }

    pub(crate) fn target(&self) -> MutexGuard<'_, Option<Target>> {
        // Nothing panics between two changes that belong together.
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn client(&self) -> Option<ExecutorClient> {
        self.target().as_ref().map(|target| target.client.clone())
    }

    /// Changes the view of the life that `client` calls, unless another one has begun.
    pub(crate) fn with_view<T>(
        &self,
        client: &ExecutorClient,
        change: impl FnOnce(&mut TargetView) -> T,
    ) -> Option<T> {
        let mut target = self.target();
        let target = target.as_mut()?;
        (target.client.life() == client.life()).then(|| change(&mut target.view))
    }

    pub(crate) fn lives(&self) -> watch::Receiver<u64> {
        self.lives.subscribe()
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Takes an epoch; false if a higher one is obeyed.
    pub(crate) fn obey(&self, epoch: u64) -> bool {
        self.epoch.fetch_max(epoch, Ordering::AcqRel) <= epoch
    }

    /// Takes the word of a front that it schedules now.
    pub(crate) fn announce(&self, leader: LeaderInfo) {
        if self.epoch.fetch_max(leader.epoch, Ordering::AcqRel) < leader.epoch {
            self.announced.send_replace(Some(leader));
        }
    }

    pub(crate) fn announced(&self) -> watch::Receiver<Option<LeaderInfo>> {
        self.announced.subscribe()
    }

    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Acquire)
    }

    /// Takes the word of a scheduler on the life that `client` calls.
    pub(crate) fn acknowledge(&self, life: &TargetInstance, sequence: u64) {
        let target = self.target();
        let same = target
            .as_ref()
            .is_some_and(|target| target.client.life() == life);
        if same {
            self.acknowledged.fetch_max(sequence, Ordering::AcqRel);
        }
    }

    pub(crate) fn note_contact(&self, sent_at: Timestamp) {
        self.contact_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
    }

    /// True if leases may be renewed at `now` without further word.
    pub(crate) fn may_renew(&self, now: Timestamp) -> bool {
        let contact = Timestamp::from_millis(self.contact_ms.load(Ordering::Acquire));
        contact > Timestamp::ZERO && now.since(contact) < AGENT_AUTONOMY
    }

    /// What the scheduler is told now; each report has a higher number than the one before.
    pub(crate) fn report(&self) -> AgentReport {
        let target = self.target();
        let report = target.as_ref().and_then(|target| target.view.report());
        AgentReport {
            agent: self.id.clone(),
            sequence: self.sequence.fetch_add(1, Ordering::AcqRel),
            address: self.address,
            clock: self.clock.now(),
            epoch: self.epoch(),
            target: report,
            left: self.left.load_full().map(|left| left.as_ref().clone()),
        }
    }

    /// Forgets the target, for example after another life of it has answered.
    pub(crate) fn forget_target(&self, client: &ExecutorClient, reason: &'static str) {
        let mut target = self.target();
        if target
            .as_ref()
            .is_some_and(|target| target.client.life() == client.life())
        {
            info!(self.log, "target forgotten"; "target" => %client.life().target, "reason" => reason);
            *target = None;
            drop(target);
            self.life_changed();
        }
    }

    fn life_changed(&self) {
        self.acknowledged.store(0, Ordering::Release);
        self.lives.send_modify(|life| *life += 1);
        self.changed.notify_one();
    }

    fn begin_life(&self, heartbeat: &ExecutorHeartbeat, target: &mut Option<Target>) {
        let life = &heartbeat.description.instance;
        info!(self.log, "target found"; "target" => %life.target, "born_ms" => life.started_at_ms,
            "draining" => heartbeat.description.draining);
        let client = ExecutorClient::new(heartbeat.address, life.clone());
        *target = Some(Target {
            view: TargetView::new(heartbeat, self.clock.now()),
            client,
        });
    }
}

impl ExecutorBackend for SideState {
    fn vm(&self) -> &Arc<str> {
        &self.settings.vm.name
    }

    fn heartbeat(&self, heartbeat: ExecutorHeartbeat) {
        let life = &heartbeat.description.instance;
        let mut target = self.target();
        let Some(known) = target.as_mut() else {
            self.begin_life(&heartbeat, &mut target);
            drop(target);
            return self.life_changed();
        };
        let known_life = known.client.life();
        if known_life == life {
            let was_draining = known.view.description().draining;
            if known.view.heartbeat(&heartbeat, self.clock.now()) {
                if heartbeat.description.draining && !was_draining {
                    info!(self.log, "target drains"; "target" => %life.target);
                }
                self.changed.notify_one();
            }
        } else if known_life.started_at_ms < life.started_at_ms {
            self.begin_life(&heartbeat, &mut target);
            drop(target);
            self.life_changed();
        } else {
            info!(self.log, "heartbeat of a former life ignored"; "target" => %life.target,
                "born_ms" => life.started_at_ms);
        }
    }

    fn leave(&self, id: &str) {
        let client = self.client();
        if let Some(client) = client
            && client.life().target.as_str() == id
        {
            self.left.store(Some(Arc::new(client.life().clone())));
            self.forget_target(&client, "it leaves");
        }
    }

    fn unreadable(&self, id: &str) {
        warn!(self.log, "unreadable heartbeat ignored"; "target" => id);
    }
}
