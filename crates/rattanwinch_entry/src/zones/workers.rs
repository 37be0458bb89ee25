use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_decisions::TASK_LEASE;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Incarnation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::target::SILENT_AFTER;

/// An adoption without a response for this long is sent again.
const ADOPT_AGAIN_AFTER: Duration = Duration::from_secs(1);

/// When most workers are silent, this process is the likelier fault, but only for as long as
/// their task leases last: after that their tasks have ended in any case.
const DOUBT_FOR: Duration = TASK_LEASE.saturating_add(Duration::from_secs(10));

/// What the decider of a zone knows of one worker.
#[derive(Clone, Debug)]
pub(super) struct KnownWorker {
    /// The life of its agent.
    pub incarnation: Incarnation,
    /// What the policy has to know of it.
    pub info: WorkerInfo,
    /// When it was heard last.
    pub heard_at: Timestamp,
    /// Whether its agent has accepted the decider's epoch and reported all members.
    pub adopted: bool,
    /// When the last adoption was sent.
    pub asked_at: Option<Timestamp>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it has fallen silent.
    pub silent: bool,
}

/// The workers of a decided zone.
#[derive(Debug, Default)]
pub(super) struct Workers(pub BTreeMap<TargetName, KnownWorker>);

impl Workers {
    /// Takes in that a worker was heard; true if its agent has to be asked for an adoption.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> bool {
        let info = WorkerInfo {
            target: heartbeat.target.clone(),
            rack: heartbeat.rack.clone(),
            accelerators: heartbeat.accelerators,
        };
        let known = self.0.get(&heartbeat.target);
        if known.is_none_or(|known| known.incarnation != heartbeat.incarnation) {
            let worker = KnownWorker {
                incarnation: heartbeat.incarnation,
                info,
                heard_at: now,
                adopted: false,
                asked_at: None,
                leaving: heartbeat.leaving,
                silent: false,
            };
            self.0.insert(heartbeat.target.clone(), worker);
        }
        let Some(worker) = self.0.get_mut(&heartbeat.target) else {
            return false;
        };
        worker.heard_at = now;
        worker.leaving |= heartbeat.leaving;
        let due = |at| now.since(at) >= ADOPT_AGAIN_AFTER;
        let ask = !worker.adopted && worker.asked_at.is_none_or(due);
        if ask {
            worker.asked_at = Some(now);
        }
        ask
    }

    /// The worker if `incarnation` is its agent's life.
    pub fn get(
        &mut self,
        target: &TargetName,
        incarnation: Incarnation,
    ) -> Option<&mut KnownWorker> {
        let worker = self.0.get_mut(target)?;
        (worker.incarnation == incarnation).then_some(worker)
    }

    /// Workers that have fallen silent by `now`.
    pub fn silent(&self, now: Timestamp) -> impl Iterator<Item = &KnownWorker> {
        let silent = move |worker: &&KnownWorker| now.since(worker.heard_at) >= SILENT_AFTER;
        self.0.values().filter(silent)
    }

    /// Whether so many workers fell silent together that the fault is likely to be here.
    pub fn doubts_itself(&self, now: Timestamp) -> bool {
        let lately = |worker: &&KnownWorker| now.since(worker.heard_at) < DOUBT_FOR;
        let silent = self.silent(now).filter(lately).count();
        let all = self.0.values().filter(lately).count();
        silent * 2 > all
    }
}
