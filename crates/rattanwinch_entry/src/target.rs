use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rattanwinch_decisions::TargetLoad;
use rattanwinch_peers::AgentConnection;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Revision;
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
    /// Plain requests that the executor runs at once.
    pub slots: u16,
    /// The connection to the agent.
    pub connection: Arc<AgentConnection>,
    /// Requests that this entry has sent and that haven't ended.
    sent: AtomicU32,
    /// Requests of other entries at the time of the last heartbeat.
    others: AtomicU32,
    /// The time of the last heartbeat, in milliseconds.
    heard_at: AtomicU64,
    /// The configuration revision that the agent acts on.
    config_revision: AtomicI64,
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
            slots: heartbeat.slots,
            connection: AgentConnection::open(heartbeat.address),
            sent: AtomicU32::new(0),
            others: AtomicU32::new(0),
            heard_at: AtomicU64::new(now.as_millis()),
            config_revision: AtomicI64::new(heartbeat.config_revision.0),
            leaving: AtomicBool::new(heartbeat.leaving),
        }
    }

    /// Takes in a heartbeat of the same incarnation.
    pub fn refresh(&self, heartbeat: &Heartbeat, now: Timestamp) {
        let sent = self.sent.load(Ordering::Acquire);
        self.others
            .store(heartbeat.in_flight.saturating_sub(sent), Ordering::Release);
        self.heard_at.fetch_max(now.as_millis(), Ordering::AcqRel);
        self.config_revision
            .store(heartbeat.config_revision.0, Ordering::Release);
        if heartbeat.leaving {
            self.leaving.store(true, Ordering::Release);
        }
    }

    /// When it was heard last.
    pub fn heard_at(&self) -> Timestamp {
        Timestamp::from_millis(self.heard_at.load(Ordering::Acquire))
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// The configuration revision that its agent acts on.
    pub fn config_revision(&self) -> Revision {
        Revision(self.config_revision.load(Ordering::Acquire))
    }

    /// Its load for routing.
    pub fn load(&self, now: Timestamp) -> TargetLoad {
        let silent = now.since(self.heard_at()) >= SILENT_AFTER;
        let leaving = self.leaving.load(Ordering::Acquire);
        TargetLoad {
            usable: !silent && !leaving,
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
