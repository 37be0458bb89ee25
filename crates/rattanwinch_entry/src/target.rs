use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanwinch_decisions::TargetLoad;
use rattanwinch_peers::AgentConnection;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Incarnation;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::RackName;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

/// A target whose last heartbeat is older than this gets no requests: it missed six heartbeats.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// One incarnation of a target's agent, as known to an entry. Fields that requests or heartbeats
/// update are atomics; all others are immutable.
#[derive(Debug)]
pub(crate) struct Target {
    /// The target.
    pub name: TargetName,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The accelerators of the worker.
    pub accelerators: u8,
    /// The maximum number of plain requests that the executor runs concurrently.
    pub slots: u16,
    /// The connection to the agent.
    pub connection: Arc<AgentConnection>,
    /// Requests sent by this entry that have not ended.
    sent_in_flight: AtomicU32,
    /// In-flight requests of other entries, as of the last heartbeat.
    other_in_flight: AtomicU32,
    /// Accelerators that members hold or use.
    accelerators_used: AtomicU8,
    /// The number of running members.
    running_tasks: AtomicU32,
    /// The time of the last heartbeat, in milliseconds since the Unix epoch.
    last_heartbeat_at: AtomicU64,
    /// The configuration revision that the agent has applied.
    config_revision: AtomicI64,
    /// Whether the target accepts no new work.
    leaving: AtomicBool,
}

/// Counts a request as sent to a target until it is dropped.
#[derive(Debug)]
pub(crate) struct SentRequestGuard(Arc<Target>);

impl Drop for SentRequestGuard {
    fn drop(&mut self) {
        self.0.sent_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Target {
    /// Creates a target whose first heartbeat arrived at `now`, and starts to connect to its agent.
    pub fn new(heartbeat: &Heartbeat, now: Timestamp) -> Self {
        Self {
            name: heartbeat.target.clone(),
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone.clone(),
            rack: heartbeat.rack.clone(),
            accelerators: heartbeat.accelerators,
            slots: heartbeat.slots,
            connection: AgentConnection::open(heartbeat.address),
            sent_in_flight: AtomicU32::new(0),
            other_in_flight: AtomicU32::new(0),
            accelerators_used: AtomicU8::new(accelerators_used(heartbeat)),
            running_tasks: AtomicU32::new(running_tasks(heartbeat)),
            last_heartbeat_at: AtomicU64::new(now.as_millis()),
            config_revision: AtomicI64::new(heartbeat.config_revision.0),
            leaving: AtomicBool::new(heartbeat.leaving),
        }
    }

    /// Applies a heartbeat of the same incarnation.
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat, now: Timestamp) {
        let sent_in_flight = self.sent_in_flight.load(Ordering::Acquire);
        self.other_in_flight.store(
            heartbeat.in_flight.saturating_sub(sent_in_flight),
            Ordering::Release,
        );
        let used = accelerators_used(heartbeat);
        self.accelerators_used.store(used, Ordering::Release);
        let running = running_tasks(heartbeat);
        self.running_tasks.store(running, Ordering::Release);
        self.last_heartbeat_at
            .fetch_max(now.as_millis(), Ordering::AcqRel);
        self.config_revision
            .store(heartbeat.config_revision.0, Ordering::Release);
        if heartbeat.leaving {
            self.leaving.store(true, Ordering::Release);
        }
    }

    /// The time of the last heartbeat.
    pub fn last_heartbeat_at(&self) -> Timestamp {
        Timestamp::from_millis(self.last_heartbeat_at.load(Ordering::Acquire))
    }

    /// Whether the last heartbeat is less than [`HEARTBEAT_TIMEOUT`] ago.
    pub fn is_live(&self, now: Timestamp) -> bool {
        now.since(self.last_heartbeat_at()) < HEARTBEAT_TIMEOUT
    }

    /// Whether the target accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Accelerators that members hold or use.
    pub fn accelerators_used(&self) -> u8 {
        self.accelerators_used.load(Ordering::Acquire)
    }

    /// The number of running members.
    pub fn running_tasks(&self) -> u32 {
        self.running_tasks.load(Ordering::Acquire)
    }

    /// The configuration revision that the agent has applied.
    pub fn config_revision(&self) -> Revision {
        Revision(self.config_revision.load(Ordering::Acquire))
    }

    /// The load of the target, for routing.
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        TargetLoad {
            usable: self.is_live(now) && !self.is_leaving(),
            in_flight: self.sent_in_flight.load(Ordering::Acquire)
                + self.other_in_flight.load(Ordering::Acquire),
            slots: self.slots,
        }
    }

    /// Counts a request as sent until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> SentRequestGuard {
        self.sent_in_flight.fetch_add(1, Ordering::AcqRel);
        SentRequestGuard(Arc::clone(self))
    }
}

fn accelerators_used(heartbeat: &Heartbeat) -> u8 {
    let members = heartbeat.members.iter();
    let used = members.fold(AcceleratorSet::EMPTY, |used, member| {
        used.union(member.accelerators)
    });
    u8::try_from(used.count()).unwrap_or(u8::MAX)
}

fn running_tasks(heartbeat: &Heartbeat) -> u32 {
    let members = heartbeat.members.iter();
    let running = members.filter(|member| member.phase == MemberPhase::Running);
    u32::try_from(running.count()).unwrap_or(u32::MAX)
}
