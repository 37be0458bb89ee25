use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use rattanwinch_fleet::AgentId;
use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::LEADER_CONTACT_TIMEOUT;
use rattanwinch_fleet::LeaderInfo;
use rattanwinch_fleet::lease_length;
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

/// The target beside the agent: its view and the client that calls it.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub view: TargetView,
    pub client: ExecutorClient,
}

/// State that all tasks of the daemon share.
pub(crate) struct SideState {
    pub settings: SideSettings,
    pub id: AgentId,
    pub address: SocketAddr,
    pub clock: BootClock,
    pub log: Logger,
    target: Mutex<Option<Target>>,
    /// The last target instance that announced its departure.
    last_departed: ArcSwapOption<TargetInstance>,
    /// Incremented with each change of the target instance.
    instance_changes: watch::Sender<u64>,
    /// Notified when a change has to be reported before the report interval has passed.
    pub report_needed: Notify,
    /// The highest epoch seen; orders with lower ones are refused.
    epoch: AtomicU64,
    /// Notified when a poll should not wait: leases may be renewed again, or ends were acknowledged
    /// and the executor can list further ones.
    pub poll_needed: Notify,
    /// When the last report that a confirmed leader answered was sent, in milliseconds.
    leader_contact_ms: AtomicU64,
    sequence: AtomicU64,
    /// The leader that has answered the last report.
    pub leader: ArcSwapOption<SocketAddr>,
    /// The last announcement of a leader.
    announcements: watch::Sender<Option<LeaderInfo>>,
    /// Fronts that can be asked for the leader.
    pub fronts: ArcSwap<Vec<SocketAddr>>,
}

impl SideState {
    pub(crate) fn new(settings: SideSettings, address: SocketAddr, log: Logger) -> Self {
        let clock = BootClock;
        let fronts = settings.vm.seed_addresses().collect();
        Self {
            id: AgentId {
                vm: Arc::clone(&settings.vm.name),
                incarnation: clock.wall_time().as_millis(),
            },
            address,
            clock,
            log,
            target: Mutex::new(None),
            last_departed: ArcSwapOption::empty(),
            instance_changes: watch::Sender::new(0),
            report_needed: Notify::new(),
            epoch: AtomicU64::new(0),
            poll_needed: Notify::new(),
            leader_contact_ms: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            leader: ArcSwapOption::empty(),
            announcements: watch::Sender::new(None),
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
        // No code panics while it holds the lock with the state half changed.
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn client(&self) -> Option<ExecutorClient> {
        self.target().as_ref().map(|target| target.client.clone())
    }

    /// Changes the view of the target; `None` if `client` doesn't call its present instance.
    pub(crate) fn update_view<T>(
        &self,
        client: &ExecutorClient,
        change: impl FnOnce(&mut TargetView) -> T,
    ) -> Option<T> {
        self.update_view_of(client.instance(), change)
    }

    fn update_view_of<T>(
        &self,
        instance: &TargetInstance,
        change: impl FnOnce(&mut TargetView) -> T,
    ) -> Option<T> {
        let mut target = self.target();
        let target = target.as_mut()?;
        (target.client.instance() == instance).then(|| change(&mut target.view))
    }

    pub(crate) fn instance_changes(&self) -> watch::Receiver<u64> {
        self.instance_changes.subscribe()
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Raises the highest epoch seen; false if `epoch` is lower than that.
    pub(crate) fn accept_epoch(&self, epoch: u64) -> bool {
        self.epoch.fetch_max(epoch, Ordering::AcqRel) <= epoch
    }

    /// Handles the announcement of a new leader.
    pub(crate) fn handle_announcement(&self, leader: LeaderInfo) {
        if self.epoch.fetch_max(leader.epoch, Ordering::AcqRel) < leader.epoch {
            self.announcements.send_replace(Some(leader));
        }
    }

    pub(crate) fn announcements(&self) -> watch::Receiver<Option<LeaderInfo>> {
        self.announcements.subscribe()
    }

    /// Records that the run ends of `instance` up to `sequence` are durable, unless the instance
    /// has been replaced.
    pub(crate) fn acknowledge(&self, instance: &TargetInstance, sequence: u64) {
        // A former instance has no view any more, and its ends are gone with it.
        let may_list_more = self.update_view_of(instance, |view| view.acknowledge(sequence));
        if may_list_more == Some(true) {
            self.poll_needed.notify_one();
        }
    }

    /// Records that a confirmed leader answered, at `now`, the report that was sent at `sent_at`.
    pub(crate) fn record_leader_contact(&self, sent_at: Timestamp, now: Timestamp) {
        let renewed_before = self.may_renew_leases(now);
        self.leader_contact_ms
            .fetch_max(sent_at.as_millis(), Ordering::AcqRel);
        if !renewed_before {
            self.poll_needed.notify_one();
        }
    }

    /// True if the last contact with a confirmed leader is recent enough at `now` to renew leases.
    pub(crate) fn may_renew_leases(&self, now: Timestamp) -> bool {
        let contact = Timestamp::from_millis(self.leader_contact_ms.load(Ordering::Acquire));
        contact > Timestamp::ZERO && now.since(contact) < LEADER_CONTACT_TIMEOUT
    }

    /// The length of the leases that this agent grants.
    pub(crate) fn lease_length(&self) -> Duration {
        lease_length(self.settings.vm.max_lease)
    }

    /// Builds the next report; each has a higher sequence number than the one before.
    pub(crate) fn report(&self) -> AgentReport {
        let now = self.clock.steady();
        let target = self.target();
        let view = target.as_ref().map(|target| &target.view);
        let lapsed = view.filter(|view| view.has_lapsed(now));
        let answering = view.filter(|_| lapsed.is_none());
        AgentReport {
            agent: self.id.clone(),
            sequence: self.sequence.fetch_add(1, Ordering::AcqRel),
            address: self.address,
            clock: self.clock.now(),
            epoch: self.epoch(),
            target: answering.and_then(|view| view.report(now)),
            lapsed: lapsed.map(|view| view.instance().clone()),
            departed: self
                .last_departed
                .load_full()
                .map(|instance| instance.as_ref().clone()),
        }
    }

    /// Builds the last report of a stopping agent, which grants no more leases.
    pub(crate) fn last_report(&self) -> AgentReport {
        let mut report = self.report();
        let leases_end_in = self
            .target()
            .as_ref()
            .map(|target| target.view.leases_end_in(self.clock.steady()));
        if let Some(target) = &mut report.target {
            target.leases_end_in = leases_end_in;
        }
        report
    }

    /// Removes the target of `client`, for example after another instance has answered.
    pub(crate) fn remove_target(&self, client: &ExecutorClient, reason: &'static str) {
        let mut target = self.target();
        if target
            .as_ref()
            .is_some_and(|target| target.client.instance() == client.instance())
        {
            info!(self.log, "target forgotten";
                "target" => %client.instance().target, "reason" => reason);
            *target = None;
            drop(target);
            self.notify_instance_change();
        }
    }

    fn notify_instance_change(&self) {
        self.instance_changes.send_modify(|changes| *changes += 1);
        self.report_needed.notify_one();
    }

    fn track_instance(&self, heartbeat: &ExecutorHeartbeat, target: &mut Option<Target>) {
        let instance = &heartbeat.description.instance;
        info!(self.log, "target found";
            "target" => %instance.target, "born_ms" => instance.started_at_ms,
            "draining" => heartbeat.description.draining);
        let client = ExecutorClient::new(heartbeat.address, instance.clone());
        *target = Some(Target {
            view: TargetView::new(heartbeat, self.lease_length(), self.clock.steady()),
            client,
        });
    }
}

impl ExecutorBackend for SideState {
    fn vm(&self) -> &Arc<str> {
        &self.settings.vm.name
    }

    fn handle_heartbeat(&self, heartbeat: ExecutorHeartbeat) {
        let instance = &heartbeat.description.instance;
        let mut target = self.target();
        let Some(known) = target.as_mut() else {
            self.track_instance(&heartbeat, &mut target);
            drop(target);
            return self.notify_instance_change();
        };
        let known_instance = known.client.instance();
        if known_instance == instance {
            let was_draining = known.view.description().draining;
            if known.view.apply_heartbeat(&heartbeat, self.clock.steady()) {
                if heartbeat.description.draining && !was_draining {
                    info!(self.log, "target drains"; "target" => %instance.target);
                }
                self.report_needed.notify_one();
            }
        } else if known_instance.started_at_ms < instance.started_at_ms
            || !known.view.has_answered()
        {
            self.track_instance(&heartbeat, &mut target);
            drop(target);
            self.notify_instance_change();
        } else {
            info!(self.log, "heartbeat of an earlier instance ignored";
                "target" => %instance.target,
                "born_ms" => instance.started_at_ms);
        }
    }

    fn handle_departure(&self, id: &str, started_at_ms: Option<u64>) {
        let client = self.client();
        let Some(client) = client.filter(|client| client.instance().target.as_str() == id) else {
            return;
        };
        let instance = client.instance();
        // A target that starts again keeps its id, and the announcement may have been delayed.
        if started_at_ms.is_some_and(|started_at_ms| started_at_ms != instance.started_at_ms) {
            info!(self.log, "departure of another instance ignored";
                "target" => id, "born_ms" => started_at_ms);
            return;
        }
        self.last_departed.store(Some(Arc::new(instance.clone())));
        self.remove_target(&client, "announced its departure");
    }

    fn handle_unreadable_heartbeat(&self, id: &str) {
        warn!(self.log, "unreadable heartbeat ignored"; "target" => id);
    }
}
