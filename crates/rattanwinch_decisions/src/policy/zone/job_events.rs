//! What the policy does when jobs are submitted, start and end.

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
use crate::policy::placement::Pricing;
use crate::policy::placement::Wanted;
use crate::policy::placement::solver;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::queue::JOB_FAILURES;
use crate::policy::queue::Job;
use crate::policy::workers::Slot;
use crate::policy::workers::Tenure;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How long a new decider accepts shapes that don't fit the workers it knows. After a takeover
/// agents report with their next heartbeat, which they send every 500 ms; 10 s leaves room for
/// lost ones.
const SETTLING: Duration = Duration::from_secs(10);

/// Prices of the empty zone: everything is allowed and costs nothing.
struct EmptyZone;

impl Pricing for EmptyZone {
    fn allowed(&self, _id: WorkerId, worker: &Worker) -> u8 {
        worker.all()
    }

    fn cost(&self, _worker: &Worker, _bits: u8) -> u64 {
        0
    }
}

impl ZonePolicy {
    /// Puts a job into the queue. Submitting a job that is queued or started changes nothing.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Impossible`] with the verdict "not run" if the shape fits not even the empty
    /// zone. In its first 10 s a policy accepts such a job and refuses it in a decision later
    /// on, because workers may still be about to report.
    pub fn submit(&mut self, job: JobSpec, now: Timestamp) -> Result<()> {
        let first_seen = self.see(now);
        if self.ids.contains_key(&job.key) {
            return Ok(());
        }
        let wanted = Wanted::of_shape(job.shape);
        if now.since(first_seen) >= SETTLING && !self.fits_empty_zone(wanted) {
            return Err(self.impossible(&job));
        }
        let history = self.histories.get(&job.key);
        let queued_at = history.and_then(|known| known.queued_at).unwrap_or(now);
        let id = self.next_job_id();
        self.ids.insert(job.key.clone(), id);
        self.enqueue(Job::new(id, Arc::new(job), queued_at));
        self.wake_at(first_seen + SETTLING);
        Ok(())
    }

    /// Whether the shape fits the zone when nothing runs there and all workers are usable.
    pub(super) fn fits_empty_zone(&mut self, wanted: Wanted) -> bool {
        if self.possible_generation != self.pool.generation() {
            self.possible.clear();
            self.possible_generation = self.pool.generation();
        }
        let pool = &self.pool;
        let fits = || solver::solve(pool, wanted, &EmptyZone).is_some();
        *self.possible.entry(wanted).or_insert_with(fits)
    }

    pub(super) fn is_settled(&self, now: Timestamp) -> bool {
        let passed = |first_seen| now.since(first_seen) >= SETTLING;
        self.first_seen.is_some_and(passed)
    }

    pub(super) fn impossible(&self, job: &JobSpec) -> RequestError {
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

    /// Whether a job that is about to be refused may have run in an earlier attempt.
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
        self.occupy(id, &spec, &allocation, Tenure::Taken, since);
        self.histories.change(&spec.key, since).has_run = true;
        let job = Job::new(id, spec, since).restore(allocation, since);
        self.active.insert(id, ActiveJob::Running(job));
        self.unbound.insert(id);
        self.is_plan_changed = true;
        self.is_changed = true;
    }

    /// Takes a job out of the queue; true if it was there and had not started.
    pub fn cancel(&mut self, key: &RequestKey, now: Timestamp) -> bool {
        let Some(id) = self.ids.get(key).copied() else {
            return false;
        };
        self.give_up_reclaim(id, now);
        let was_queued = self.queue.remove(id).is_some();
        if was_queued {
            self.ids.remove(key);
            self.histories.forget(key);
            self.is_changed = true;
        }
        was_queued
    }

    /// The tasks of a job whose start was decided run now.
    pub fn job_started(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(id) = self.ids.get(key).copied() else {
            return;
        };
        match self.active.remove(&id) {
            Some(ActiveJob::Holding(job)) => {
                let expected_end = now + self.run_times.expect(&job.spec);
                let job = job.run(now);
                let slots = &job.state.allocation.slots;
                self.pool.change_occupant(id, slots, |occupant| {
                    occupant.since = now;
                    occupant.expected_end = expected_end;
                });
                self.histories.change(key, now).has_run = true;
                self.active.insert(id, ActiveJob::Running(job));
                self.is_changed = true;
            }
            Some(other) => {
                self.active.insert(id, other);
            }
            None => {}
        }
    }

    /// The start of a job failed as a whole: its accelerators are free again, and it is queued
    /// with a back-off.
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
            self.blame_worker(target, key, now);
        }
        let job = job.back_off(now);
        self.wake_at(job.state.not_before);
        self.enqueue(job);
    }

    /// A started job ended; its accelerators are free.
    ///
    /// The job isn't queued again unless the caller submits it again. One that was evicted or
    /// lost a worker then keeps the place of its first submission.
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
                    self.run_times.learn(job.spec(), now.since(since));
                }
                for slot in &job.allocation().slots {
                    self.pool.get_mut(slot.worker).failed_jobs.clear();
                }
                self.histories.forget(key);
            }
            JobEnd::Cancelled => self.histories.forget(key),
            JobEnd::Failed { failed_workers } => self.record_failure(key, &failed_workers, now),
            JobEnd::Evicted | JobEnd::WorkerLost => {
                self.histories.change(key, now).queued_at = Some(job.queued_at());
            }
        }
    }

    /// Counts a failure against the job and against the workers. Whichever reaches its limit
    /// first is at fault, and the other side is acquitted.
    fn record_failure(&mut self, key: &RequestKey, failed_workers: &[TargetName], now: Timestamp) {
        let history = self.histories.change(key, now);
        history.queued_at = None;
        for target in failed_workers {
            if !history.failed_on.contains(target) {
                history.failed_on.push(target.clone());
            }
        }
        let failed_on = history.failed_on.clone();
        if failed_on.len() >= JOB_FAILURES {
            self.acquit_workers(&failed_on, key);
            return;
        }
        for target in failed_workers {
            self.blame_worker(target, key, now);
        }
    }
}
