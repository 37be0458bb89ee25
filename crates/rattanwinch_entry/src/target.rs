use std::sync::Arc;
use std::sync::atomic::AtomicBool;
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
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

/// A target that hasn't been heard for this long gets no requests: six missed heartbeats.
pub(crate) const SILENT_AFTER: Duration = Duration::from_secs(3);

/// One life of a target's agent, as an entry knows it. The fields that requests change or that
/// heartbeats refresh are atomics; all others never change.
#[derive(Debug)]
pub(crate) struct Target {
    /// The target.
    pub name: TargetName,
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The accelerators of the worker.
    pub accelerators: u8,
    /// Plain requests that the executor runs at once.
    pub slots: u16,
    /// The connection to the agent.
    pub connection: Arc<AgentConnection>,
    /// Requests that this entry has sent and that haven't ended.
    sent: AtomicU32,
    /// Requests of other entries at the time of the last heartbeat.
    others: AtomicU32,
    /// Accelerators that members hold or use.
    accelerators_used: AtomicU8,
    /// Members that run.
    running_tasks: AtomicU32,
    /// The time of the last heartbeat, in milliseconds.
    heard_at: AtomicU64,
    /// Whether the target takes no new work.
    leaving: AtomicBool,
}

/// Counts a request that was sent to a target, until it is dropped.
#[derive(Debug)]
pub(crate) struct Sent(Arc<Target>);

impl Drop for Sent {
    fn drop(&mut self) {
        self.0.sent.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Target {
    /// A target whose first heartbeat arrived at `now`; begins to connect to it.
    pub fn new(heartbeat: &Heartbeat, now: Timestamp) -> Self {
        Self {
            name: heartbeat.target.clone(),
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone.clone(),
            rack: heartbeat.rack.clone(),
            accelerators: heartbeat.accelerators,
            slots: heartbeat.slots,
            connection: AgentConnection::open(heartbeat.address),
            sent: AtomicU32::new(0),
            others: AtomicU32::new(0),
            accelerators_used: AtomicU8::new(accelerators_used(heartbeat)),
            running_tasks: AtomicU32::new(running_tasks(heartbeat)),
            heard_at: AtomicU64::new(now.as_millis()),
            leaving: AtomicBool::new(heartbeat.leaving),
        }
    }

    /// Takes in a heartbeat of the same incarnation.
    pub fn refresh(&self, heartbeat: &Heartbeat, now: Timestamp) {
        let sent = self.sent.load(Ordering::Acquire);
        self.others
            .store(heartbeat.in_flight.saturating_sub(sent), Ordering::Release);
        let used = accelerators_used(heartbeat);
        self.accelerators_used.store(used, Ordering::Release);
        let running = running_tasks(heartbeat);
        self.running_tasks.store(running, Ordering::Release);
        self.heard_at.fetch_max(now.as_millis(), Ordering::AcqRel);
        if heartbeat.leaving {
            self.leaving.store(true, Ordering::Release);
        }
    }

    /// When it was heard last.
    pub fn heard_at(&self) -> Timestamp {
        Timestamp::from_millis(self.heard_at.load(Ordering::Acquire))
    }

    /// Whether it has been heard lately.
    pub fn is_heard(&self, now: Timestamp) -> bool {
        now.since(self.heard_at()) < SILENT_AFTER
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Accelerators that members hold or use.
    pub fn accelerators_used(&self) -> u8 {
        self.accelerators_used.load(Ordering::Acquire)
    }

    /// Members that run.
    pub fn running_tasks(&self) -> u32 {
        self.running_tasks.load(Ordering::Acquire)
    }

    /// Its load for routing.
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        TargetLoad {
            usable: self.is_heard(now) && !self.is_leaving(),
            in_flight: self.sent.load(Ordering::Acquire) + self.others.load(Ordering::Acquire),
            slots: self.slots,
        }
    }

    /// Counts a request as sent until the returned value is dropped.
    pub fn count_sent(self: &Arc<Self>) -> Sent {
        self.sent.fetch_add(1, Ordering::AcqRel);
        Sent(Arc::clone(self))
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
