//! Handlers of worker events, and quarantine of failing workers.

use std::time::Duration;

use rattanwinch_types::RackName;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::policy::workers::LOST_WORKER_RETENTION;
use crate::policy::workers::WorkerId;
use crate::policy::workers::WorkerInfo;
use crate::policy::workers::WorkerState;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Number of consecutive different jobs that fail on a worker before it is quarantined.
const FAILED_JOBS_TO_QUARANTINE_WORKER: usize = 3;

/// Duration of a worker's quarantine. Afterwards one more failed job restores the quarantine, and a
/// successful one clears the failure count.
const QUARANTINE_DURATION: Duration = Duration::from_secs(600);

impl ZonePolicy {
    /// Handles a new worker or one that responds again.
    pub fn worker_ready(&mut self, worker: WorkerInfo, now: Timestamp) {
        let known = self.pool.find(&worker.target);
        let is_same = |id: WorkerId| {
            let known = self.pool.get(id);
            known.state == WorkerState::Ready && known.info == worker
        };
        if known.is_some_and(is_same) {
            return;
        }
        self.record_input(now);
        let excluded = self.zone_config.exclusions.contains_key(&worker.target);
        if let Some(id) = known.filter(|id| self.pool.get(*id).info != worker) {
            self.plan.unplace_unused_blocks(&mut self.pool, id);
        }
        let id = self.pool.upsert(worker, WorkerState::Ready);
        self.pool.get_mut(id).excluded = excluded;
        self.is_plan_changed = true;
    }

    /// Handles a worker that is silent or not adopted yet: nothing is placed there, and its
    /// accelerators count as taken.
    pub fn worker_unknown(&mut self, target: &TargetName, now: Timestamp) {
        self.set_worker_state(target, WorkerState::Unknown, now);
    }

    /// Handles a worker that is leaving: it takes no new tasks, and running ones continue.
    pub fn worker_leaving(&mut self, target: &TargetName, now: Timestamp) {
        self.set_worker_state(target, WorkerState::Leaving, now);
    }

    /// Handles the loss of a worker. Its jobs count as running until their end is reported.
    pub fn worker_lost(&mut self, target: &TargetName, now: Timestamp) {
        self.set_worker_state(target, WorkerState::Lost(now), now);
        self.wake_at(now + LOST_WORKER_RETENTION);
    }

    fn set_worker_state(&mut self, target: &TargetName, state: WorkerState, now: Timestamp) {
        let Some(id) = self.pool.find(target) else {
            return;
        };
        let worker = self.pool.get_mut(id);
        let was_lost = matches!(worker.state, WorkerState::Lost(_));
        if worker.state == state || (was_lost && matches!(state, WorkerState::Lost(_))) {
            return;
        }
        worker.state = state;
        self.record_input(now);
        self.is_plan_changed = true;
    }

    /// Returns the worker's id. An unknown worker is added in state `Unknown`, without accelerators
    /// and in its own rack, until it reports.
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

    /// Counts a failure of the job against the worker, and quarantines the worker after the third
    /// failed job.
    pub(super) fn record_worker_failure(
        &mut self,
        target: &TargetName,
        job: &RequestKey,
        now: Timestamp,
    ) {
        let Some(id) = self.pool.find(target) else {
            return;
        };
        let worker = self.pool.get_mut(id);
        if !worker.failed_jobs.contains(job) {
            worker.failed_jobs.push(job.clone());
        }
        if worker.failed_jobs.len() < FAILED_JOBS_TO_QUARANTINE_WORKER
            || worker.quarantined_until.is_some()
        {
            return;
        }
        if self.is_quarantine_limit_reached() {
            return;
        }
        let worker = self.pool.get_mut(id);
        let until = now + QUARANTINE_DURATION;
        worker.quarantined_until = Some(until);
        self.wake_at(until);
        self.is_plan_changed = true;
        self.histories.clear_failures_on(target);
    }

    /// Whether one more quarantine would leave less than half of the workers. Failures on that many
    /// workers are caused by the jobs, and a burst of bad jobs must not take the availability zone
    /// out of service.
    fn is_quarantine_limit_reached(&self) -> bool {
        let ready = self.pool.iter().map(|(_, worker)| worker);
        let ready = ready.filter(|worker| worker.state == WorkerState::Ready);
        let (mut all, mut quarantined) = (0, 0);
        for worker in ready {
            all += 1;
            quarantined += usize::from(worker.quarantined_until.is_some());
        }
        all > 1 && (quarantined + 1) * 2 > all
    }

    /// Removes the job from the failure lists of the workers, because the job was the cause.
    pub(super) fn clear_worker_failures(&mut self, targets: &[TargetName], job: &RequestKey) {
        for target in targets {
            let Some(id) = self.pool.find(target) else {
                continue;
            };
            let worker = self.pool.get_mut(id);
            worker.failed_jobs.retain(|failed| failed != job);
            let is_cleared = worker.failed_jobs.len() < FAILED_JOBS_TO_QUARANTINE_WORKER;
            if is_cleared && worker.quarantined_until.take().is_some() {
                self.is_plan_changed = true;
            }
        }
    }

    /// Ends expired quarantines; one more failure restores the quarantine.
    pub(super) fn end_quarantines(&mut self, now: Timestamp) {
        for id in self.pool.ids() {
            let worker = self.pool.get_mut(id);
            if worker.quarantined_until.is_some_and(|until| until <= now) {
                worker.quarantined_until = None;
                worker
                    .failed_jobs
                    .truncate(FAILED_JOBS_TO_QUARANTINE_WORKER - 1);
                self.is_plan_changed = true;
            }
        }
    }
}
