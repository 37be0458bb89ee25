//! What the policy does when workers come, go, fail or are quarantined.

use std::time::Duration;

use rattanwinch_types::RackName;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::policy::workers::CAPACITY_MEMORY;
use crate::policy::workers::WorkerId;
use crate::policy::workers::WorkerInfo;
use crate::policy::workers::WorkerState;
use crate::policy::zone::zone_policy::ZonePolicy;

/// The number of different jobs that have to fail on a worker in a row for a quarantine.
const WORKER_FAILURES: usize = 3;

/// How long a worker stays in quarantine. After that one job on trial decides: its failure
/// brings the quarantine back, its success ends the matter.
const QUARANTINE: Duration = Duration::from_secs(600);

impl ZonePolicy {
    /// A worker is new or answers again.
    pub fn worker_ready(&mut self, worker: WorkerInfo, now: Timestamp) {
        let known = self.pool.find(&worker.target);
        let is_same = |id: WorkerId| {
            let known = self.pool.get(id);
            known.state == WorkerState::Ready && known.info == worker
        };
        if known.is_some_and(is_same) {
            return;
        }
        self.see(now);
        let excluded = self.rules.exclusions.contains_key(&worker.target);
        if let Some(id) = known.filter(|id| self.pool.get(*id).info != worker) {
            self.plan.leave(&mut self.pool, id);
        }
        let id = self.pool.upsert(worker, WorkerState::Ready);
        self.pool.get_mut(id).excluded = excluded;
        self.is_plan_changed = true;
    }

    /// A worker is silent or isn't adopted yet: nothing is placed there, and what it has counts
    /// as taken.
    pub fn worker_unknown(&mut self, target: &TargetName, now: Timestamp) {
        self.set_worker_state(target, WorkerState::Unknown, now);
    }

    /// A worker takes no new tasks; its tasks go on.
    pub fn worker_leaving(&mut self, target: &TargetName, now: Timestamp) {
        self.set_worker_state(target, WorkerState::Leaving, now);
    }

    /// A worker is gone. Its jobs count as running until their end is reported.
    pub fn worker_lost(&mut self, target: &TargetName, now: Timestamp) {
        self.set_worker_state(target, WorkerState::Gone(now), now);
        self.wake_at(now + CAPACITY_MEMORY);
    }

    fn set_worker_state(&mut self, target: &TargetName, state: WorkerState, now: Timestamp) {
        let Some(id) = self.pool.find(target) else {
            return;
        };
        let worker = self.pool.get_mut(id);
        let was_gone = matches!(worker.state, WorkerState::Gone(_));
        if worker.state == state || (was_gone && matches!(state, WorkerState::Gone(_))) {
            return;
        }
        worker.state = state;
        self.see(now);
        self.is_plan_changed = true;
    }

    /// The worker's id; a worker that isn't known yet is added as unknown, without accelerators
    /// and in a rack of its own, until it reports.
    pub(super) fn worker_or_placeholder(&mut self, target: &TargetName) -> WorkerId {
        if let Some(id) = self.pool.find(target) {
            return id;
        }
        let rack = RackName::new(target.as_str()).expect("a target's name is a valid rack name");
        let info = WorkerInfo {
            target: target.clone(),
            rack,
            accelerators: 0,
        };
        self.pool.upsert(info, WorkerState::Unknown)
    }

    /// Counts a failure of the job against the worker, and quarantines it after the third job.
    pub(super) fn blame_worker(&mut self, target: &TargetName, job: &RequestKey, now: Timestamp) {
        let Some(id) = self.pool.find(target) else {
            return;
        };
        let worker = self.pool.get_mut(id);
        if !worker.failed_jobs.contains(job) {
            worker.failed_jobs.push(job.clone());
        }
        if worker.failed_jobs.len() < WORKER_FAILURES || worker.quarantined_until.is_some() {
            return;
        }
        if self.is_quarantine_full() {
            return;
        }
        let worker = self.pool.get_mut(id);
        let until = now + QUARANTINE;
        worker.quarantined_until = Some(until);
        self.wake_at(until);
        self.is_plan_changed = true;
        self.histories.acquit(target);
    }

    /// Whether one more quarantine would leave less than half of the workers: failures on so many
    /// of them are the jobs' fault, and a burst of bad jobs must not stop the availability zone.
    fn is_quarantine_full(&self) -> bool {
        let ready = self.pool.iter().map(|(_, worker)| worker);
        let ready = ready.filter(|worker| worker.state == WorkerState::Ready);
        let (mut all, mut quarantined) = (0, 0);
        for worker in ready {
            all += 1;
            quarantined += usize::from(worker.quarantined_until.is_some());
        }
        all > 1 && (quarantined + 1) * 2 > all
    }

    /// Takes the job off all workers' lists of failures: the job was at fault.
    pub(super) fn acquit_workers(&mut self, targets: &[TargetName], job: &RequestKey) {
        for target in targets {
            let Some(id) = self.pool.find(target) else {
                continue;
            };
            let worker = self.pool.get_mut(id);
            worker.failed_jobs.retain(|failed| failed != job);
            let is_cleared = worker.failed_jobs.len() < WORKER_FAILURES;
            if is_cleared && worker.quarantined_until.take().is_some() {
                self.is_plan_changed = true;
            }
        }
    }

    /// Ends quarantines whose time has passed; one more failure brings them back.
    pub(super) fn end_quarantines(&mut self, now: Timestamp) {
        for id in self.pool.ids() {
            let worker = self.pool.get_mut(id);
            if worker.quarantined_until.is_some_and(|until| until <= now) {
                worker.quarantined_until = None;
                worker.failed_jobs.truncate(WORKER_FAILURES - 1);
                self.is_plan_changed = true;
            }
        }
    }
}
