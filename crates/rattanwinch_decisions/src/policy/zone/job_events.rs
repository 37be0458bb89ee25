//! Handlers of job events: submissions, starts and ends.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use smallvec::SmallVec;

use crate::policy::Result;
use crate::policy::outcomes::JobEnd;
use crate::policy::outcomes::Placement;
use crate::policy::placement::CostModel;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::queue::FAILED_WORKERS_TO_REFUSE_JOB;
use crate::policy::queue::Job;
use crate::policy::workers::Occupancy;
use crate::policy::workers::Slot;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How long a new decider accepts shapes that don't fit the workers it knows. After a takeover,
/// agents report with their next heartbeat, which they send every 500 ms; 10 s allows for lost
/// ones.
const WORKER_DISCOVERY_PERIOD: Duration = Duration::from_secs(10);

/// Zero cost on all accelerators, as in an empty zone.
struct EmptyZoneCost;

impl CostModel for EmptyZoneCost {
    fn allowed(&self, _id: WorkerId, worker: &Worker) -> u8 {
        worker.all_accelerators()
    }

    fn cost(&self, _worker: &Worker, _bits: u8) -> u64 {
        0
    }
}

impl ZonePolicy {
    /// Adds a job to the queue. Submitting a queued or started job has no effect.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Impossible`] with the verdict "not run" if the shape doesn't fit even the empty
    /// zone. In its first 10 s, a policy accepts such a job and may refuse it in a later decision,
    /// because workers may still report.
    pub fn submit(&mut self, job: JobSpec, now: Timestamp) -> Result<()> {
        let first_input_at = self.record_input(now);
        if self.ids.contains_key(&job.key) {
            return Ok(());
        }
        let request = PlacementRequest::for_gang(job.shape);
        if now.since(first_input_at) >= WORKER_DISCOVERY_PERIOD && !self.fits_empty_zone(request) {
            return Err(self.impossible_error(&job));
        }
        let history = self.histories.get(&job.key);
        let queued_at = history.and_then(|known| known.queued_at).unwrap_or(now);
        let id = self.next_job_id();
        self.ids.insert(job.key.clone(), id);
        self.enqueue(Job::new(id, Arc::new(job), queued_at));
        self.wake_at(first_input_at + WORKER_DISCOVERY_PERIOD);
        Ok(())
    }

    /// Whether the shape fits the zone with nothing running and all workers usable.
    pub(super) fn fits_empty_zone(&mut self, request: PlacementRequest) -> bool {
        if self.empty_zone_fits_generation != self.pool.generation() {
            self.empty_zone_fits.clear();
            self.empty_zone_fits_generation = self.pool.generation();
        }
        let pool = &self.pool;
        let fits = || solver::solve(pool, request, &EmptyZoneCost).is_some();
        *self.empty_zone_fits.entry(request).or_insert_with(fits)
    }

    pub(super) fn is_discovery_over(&self, now: Timestamp) -> bool {
        let passed = |first_input_at| now.since(first_input_at) >= WORKER_DISCOVERY_PERIOD;
        self.first_input_at.is_some_and(passed)
    }

    pub(super) fn impossible_error(&self, job: &JobSpec) -> RequestError {
        let shape = job.shape;
        let message = format!(
            "job {} can never run in availability zone {}: {} tasks of {} accelerators within \
             one {} don't fit it even when it is empty",
            job.key,
            self.zone,
            shape.tasks(),
            shape.accelerators_per_task(),
            shape.adjacency().as_str(),
        );
        RequestError::new(self.verdict(&job.key), ErrorKind::Impossible, message)
    }

    /// Returns whether a job that is being refused may have run in an earlier attempt.
    pub(super) fn verdict(&self, key: &RequestKey) -> Verdict {
        match self.histories.get(key) {
            Some(history) if history.has_run => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Adopts a job that was running when this decider took over.
    pub fn restore_running(&mut self, job: JobSpec, placement: Placement, since: Timestamp) {
        if self.ids.contains_key(&job.key) {
            return;
        }
        let id = self.next_job_id();
        let slots = placement.tasks.into_iter().map(|task| Slot {
            worker: self.worker_or_placeholder(&task.target),
            bits: task.accelerators.bits(),
        });
        let allocation = Allocation {
            slots: slots.collect(),
            blocks: SmallVec::new(),
        };
        let spec = Arc::new(job);
        self.ids.insert(spec.key.clone(), id);
        self.occupy(id, &spec, &allocation, Occupancy::Started, since);
        self.histories.update(&spec.key, since).has_run = true;
        let job = Job::new(id, spec, since).restore(allocation, since);
        self.active.insert(id, ActiveJob::Running(job));
        self.unbound_jobs.insert(id);
        self.is_plan_changed = true;
        self.is_changed = true;
    }

    /// Removes a job from the queue; returns true if it was queued and had not started.
    pub fn cancel(&mut self, key: &RequestKey, now: Timestamp) -> bool {
        let Some(id) = self.ids.get(key).copied() else {
            return false;
        };
        self.cancel_reclaim(id, now);
        let was_queued = self.queue.remove(id).is_some();
        if was_queued {
            self.ids.remove(key);
            self.histories.remove(key);
            self.is_changed = true;
        }
        was_queued
    }

    /// Handles the completed start of a job: all its tasks run.
    pub fn job_started(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(id) = self.ids.get(key).copied() else {
            return;
        };
        match self.active.remove(&id) {
            Some(ActiveJob::Holding(job)) => {
                let expected_end = now + self.run_times.expected(&job.spec);
                let job = job.run(now);
                let slots = &job.state.allocation.slots;
                self.pool.change_occupant(id, slots, |occupant| {
                    occupant.since = now;
                    occupant.expected_end = expected_end;
                });
                self.histories.update(key, now).has_run = true;
                self.active.insert(id, ActiveJob::Running(job));
                self.is_changed = true;
            }
            Some(other) => {
                self.active.insert(id, other);
            }
            None => {}
        }
    }

    /// Handles the failed start of a job, none of whose tasks was released: releases its
    /// accelerators and queues it again with a backoff. Counts the failure against
    /// `failed_workers`.
    pub fn job_start_failed(
        &mut self,
        key: &RequestKey,
        failed_workers: &[TargetName],
        now: Timestamp,
    ) {
        let Some(id) = self.ids.get(key).copied() else {
            return;
        };
        let job = match self.active.remove(&id) {
            Some(ActiveJob::Holding(job)) => job,
            Some(other) => {
                self.active.insert(id, other);
                return;
            }
            None => return,
        };
        let spec = Arc::clone(&job.spec);
        let allocation = job.state.allocation.clone();
        self.vacate(id, &spec, &allocation);
        for target in failed_workers {
            self.record_worker_failure(target, key, now);
        }
        let job = job.requeue_after_failure(now);
        self.wake_at(job.state.not_before);
        self.enqueue(job);
    }

    /// Handles the end of a started job and releases its accelerators.
    ///
    /// The caller submits the job again if it should run again. A job that was evicted or lost a
    /// worker then keeps the queue position of its first submission.
    pub fn job_ended(&mut self, key: &RequestKey, end: JobEnd, now: Timestamp) {
        let Some(id) = self.ids.get(key).copied() else {
            return;
        };
        if let Some(job) = self.active.remove(&id) {
            self.ids.remove(key);
            let spec = Arc::clone(job.spec());
            let allocation = job.allocation().clone();
            self.vacate(id, &spec, &allocation);
            self.record_end(&job, end, now);
        } else {
            self.cancel(key, now);
        }
    }

    fn record_end(&mut self, job: &ActiveJob, end: JobEnd, now: Timestamp) {
        let key = &job.spec().key;
        match end {
            JobEnd::Succeeded => {
                if let Some(since) = job.since() {
                    self.run_times.record(job.spec(), now.since(since));
                }
                for slot in &job.allocation().slots {
                    self.pool.get_mut(slot.worker).failed_jobs.clear();
                }
                self.histories.remove(key);
            }
            JobEnd::Cancelled => self.histories.remove(key),
            JobEnd::Failed { failed_workers } => self.record_failure(key, &failed_workers, now),
            JobEnd::Evicted | JobEnd::WorkerLost => {
                self.histories.update(key, now).queued_at = Some(job.queued_at());
            }
        }
    }

    /// Counts a failure against the job and against the workers. Once one side reaches its limit,
    /// the failure is removed from the other side's count.
    fn record_failure(&mut self, key: &RequestKey, failed_workers: &[TargetName], now: Timestamp) {
        let history = self.histories.update(key, now);
        history.queued_at = None;
        for target in failed_workers {
            if !history.failed_on.contains(target) {
                history.failed_on.push(target.clone());
            }
        }
        let failed_on = history.failed_on.clone();
        if failed_on.len() >= FAILED_WORKERS_TO_REFUSE_JOB {
            self.clear_worker_failures(&failed_on, key);
            return;
        }
        for target in failed_workers {
            self.record_worker_failure(target, key, now);
        }
    }
}
