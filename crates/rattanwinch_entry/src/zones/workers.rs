use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_decisions::TASK_LEASE;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Incarnation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::target::HEARTBEAT_TIMEOUT;

/// The delay after which an unanswered adoption request is sent again.
const ADOPTION_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long after its last heartbeat a silent worker counts as a sign of a local fault. If most
/// workers stop sending heartbeats, a fault of this process is more likely, but only while their
/// task leases last: afterwards their tasks have ended in any case.
const LOCAL_FAULT_WINDOW: Duration = TASK_LEASE.saturating_add(Duration::from_secs(10));

/// The state of one worker, as known to the decider of its zone.
#[derive(Clone, Debug)]
pub(super) struct WorkerState {
    /// The incarnation of its agent.
    pub incarnation: Incarnation,
    /// The worker's description for the policy.
    pub info: WorkerInfo,
    /// The time of the last heartbeat.
    pub last_heartbeat_at: Timestamp,
    /// Whether the agent has accepted the decider's epoch and reported all members.
    pub adopted: bool,
    /// When the last adoption request was sent.
    pub adoption_requested_at: Option<Timestamp>,
    /// Whether the worker accepts no new work.
    pub leaving: bool,
    /// Whether the worker has stopped sending heartbeats or did not answer a hold.
    pub silent: bool,
}

/// The workers of a decided zone.
#[derive(Debug, Default)]
pub(super) struct Workers(pub BTreeMap<TargetName, WorkerState>);

impl Workers {
    /// Records a worker's heartbeat; returns true if its agent needs an adoption request.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> bool {
        let info = WorkerInfo {
            target: heartbeat.target.clone(),
            rack: heartbeat.rack.clone(),
            accelerators: heartbeat.accelerators,
        };
        let known = self.0.get(&heartbeat.target);
        if known.is_none_or(|known| known.incarnation != heartbeat.incarnation) {
            let worker = WorkerState {
                incarnation: heartbeat.incarnation,
                info,
                last_heartbeat_at: now,
                adopted: false,
                adoption_requested_at: None,
                leaving: heartbeat.leaving,
                silent: false,
            };
            self.0.insert(heartbeat.target.clone(), worker);
        }
        let Some(worker) = self.0.get_mut(&heartbeat.target) else {
            return false;
        };
        worker.last_heartbeat_at = now;
        worker.leaving |= heartbeat.leaving;
        let due = |at| now.since(at) >= ADOPTION_RETRY_INTERVAL;
        let request = !worker.adopted && worker.adoption_requested_at.is_none_or(due);
        if request {
            worker.adoption_requested_at = Some(now);
        }
        request
    }

    /// Returns the worker if its agent has the given incarnation.
    pub fn get(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> Option<&mut WorkerState> {
        let worker = self.0.get_mut(target)?;
        (worker.incarnation == incarnation).then_some(worker)
    }

    /// The workers that have missed their heartbeats at `now`.
    pub fn silent(&self, now: Timestamp) -> impl Iterator<Item = &WorkerState> {
        let silent =
            move |worker: &&WorkerState| now.since(worker.last_heartbeat_at) >= HEARTBEAT_TIMEOUT;
        self.0.values().filter(silent)
    }

    /// Whether so many workers stopped sending heartbeats together that a local fault is likely.
    pub fn suspects_local_fault(&self, now: Timestamp) -> bool {
        let in_window =
            |worker: &&WorkerState| now.since(worker.last_heartbeat_at) < LOCAL_FAULT_WINDOW;
        let silent = self.silent(now).filter(in_window).count();
        let all = self.0.values().filter(in_window).count();
        silent * 2 > all
    }
}
