//! The decision: refusals, evictions, reclaims and starts, in this order.

use std::collections::BTreeSet;
use std::sync::Arc;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;
use smallvec::SmallVec;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::Placement;
use crate::policy::outcomes::TaskPlacement;
use crate::policy::outcomes::reasons;
use crate::policy::placement::Wanted;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::queue::JOB_FAILURES;
use crate::policy::queue::Job;
use crate::policy::queue::Queued;
use crate::policy::queue::REFILL_STEP;
use crate::policy::queue::WaitCause;
use crate::policy::workers::JobId;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Tenure;
use crate::policy::zone::zone_policy::ZonePolicy;

/// What was found not to fit during one pass over the queue. Starts only take room away, so it
/// need not be looked for again in the same pass.
#[derive(Debug, Default)]
pub(super) struct Misfits {
    /// Within the guarantee of the organisation.
    pub guaranteed: BTreeSet<(Organisation, Wanted)>,
    /// On borrowed accelerators outside those kept for the head of the queue.
    borrowed: Vec<Wanted>,
    /// On borrowed accelerators anywhere.
    anywhere: Vec<Wanted>,
}

impl Misfits {
    fn contains(known: &[Wanted], wanted: Wanted) -> bool {
        known.iter().any(|smaller| smaller.fits_within(wanted))
    }
}

impl ZonePolicy {
    /// Decides what to start, evict and refuse now. A start marks its accelerators as taken at
    /// once; a caller that can't carry it out reports [`ZonePolicy::job_start_failed`].
    pub fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let is_due = self.timers.first().is_some_and(|at| *at <= now);
        let is_expired = self.queue.next_deadline().is_some_and(|at| at <= now);
        if !self.is_changed && !is_due && !is_expired {
            return decisions;
        }
        self.is_changed = false;
        if is_due {
            self.pass_timers(now);
        }
        self.refuse_expired(now, &mut decisions);
        self.update_plan();
        self.check_head(now);
        self.evict(now, &mut decisions);
        if self.rules.closure.is_some() {
            self.hold_back_all(now);
        } else {
            self.finish_reclaims(now, &mut decisions);
            self.try_queue(now, &mut decisions);
        }
        self.is_changed = false;
        self.verify(now, &decisions);
        decisions
    }

    fn pass_timers(&mut self, now: Timestamp) {
        while self.timers.first().is_some_and(|at| *at <= now) {
            self.timers.pop_first();
        }
        self.end_quarantines(now);
        self.pool.forget_gone(now);
        self.histories.purge(now);
        if self
            .refill
            .as_ref()
            .is_some_and(|refill| refill.is_over(now))
        {
            self.refill = None;
        }
    }

    fn refuse_expired(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        for id in self.queue.expired(now) {
            let Some(job) = self.queue.get(id) else {
                continue;
            };
            let key = &job.spec.key;
            let message = format!(
                "the deadline of job {key} passed while it was queued: {}",
                job.state.cause
            );
            let error = RequestError::new(self.verdict(key), ErrorKind::Deadline, message);
            self.refuse(id, error, decisions);
        }
    }

    fn refuse(&mut self, id: JobId, error: RequestError, decisions: &mut Vec<Decision>) {
        let Some(job) = self.queue.remove(id) else {
            return;
        };
        let key = job.spec.key.clone();
        self.ids.remove(&key);
        self.histories.forget(&key);
        decisions.push(Decision::Refuse { key, error });
    }

    /// While the zone is closed nothing waits for evictions, and all jobs know why they wait.
    fn hold_back_all(&mut self, now: Timestamp) {
        let waiting: Vec<JobId> = self.reclaiming.keys().copied().collect();
        for id in waiting {
            self.give_up_reclaim(id, now);
        }
        self.drop_head();
        if let Some(closure) = &self.rules.closure {
            for job in self.queue.iter_mut() {
                job.state.cause = WaitCause::Closed(Arc::clone(closure));
            }
        }
    }

    /// Tries the jobs in the order of the queue: first all within their guarantees, then as
    /// borrowers. In one pass a borrower could start where a later job reclaims in the same
    /// decision.
    fn try_queue(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.check_head(now);
        let mut misfits = Misfits::default();
        let mut borrowers = Vec::new();
        for id in self.queue.ids() {
            let Some(job) = self.queue.get(id) else {
                continue;
            };
            if job.state.not_before > now {
                continue;
            }
            let spec = Arc::clone(&job.spec);
            if let Some(error) = self.refusal(&spec, now) {
                self.refuse(id, error, decisions);
            } else if let Some(cause) = self.barrier(&spec, now) {
                self.set_cause(id, cause);
            } else if let Some(allocation) = self.find_guaranteed(&spec, now, &mut misfits) {
                self.use_guarantee(id, allocation, now, decisions);
            } else {
                borrowers.push((id, spec));
            }
        }
        for (id, spec) in borrowers {
            let had_head = self.head.is_some();
            let cause = match self.barrier(&spec, now) {
                Some(cause) => Some(cause),
                None => self.try_borrowing(id, &spec, now, &mut misfits, decisions),
            };
            if let Some(cause) = cause {
                self.set_cause(id, cause);
            }
            if had_head && self.head.is_none() {
                misfits.borrowed.clear();
            }
        }
    }

    fn set_cause(&mut self, id: JobId, cause: WaitCause) {
        if let Some(job) = self.queue.get_mut(id) {
            job.state.cause = cause;
        }
    }

    fn use_guarantee(
        &mut self,
        id: JobId,
        allocation: Allocation,
        now: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        if self.is_clear(&allocation.slots) {
            self.start(id, allocation, now, decisions);
        } else {
            self.begin_reclaim(id, allocation, now, decisions);
        }
    }

    /// Why the queued job will never start, if so.
    fn refusal(&mut self, spec: &JobSpec, now: Timestamp) -> Option<RequestError> {
        let failed_on = self.histories.get(&spec.key).map(|known| &known.failed_on);
        if let Some(failed_on) = failed_on.filter(|workers| workers.len() >= JOB_FAILURES) {
            let workers: Vec<&str> = failed_on.iter().map(TargetName::as_str).collect();
            let message = format!(
                "job {} failed on {} different workers ({}), so the job and not the workers is \
                 at fault",
                spec.key,
                workers.len(),
                workers.join(", ")
            );
            return Some(RequestError::may_have_run(ErrorKind::Failed, message));
        }
        let fits = !self.is_settled(now) || self.fits_empty_zone(Wanted::of_shape(spec.shape));
        (!fits).then(|| self.impossible(spec))
    }

    /// What keeps the job from being tried at all, if anything does.
    fn barrier(&mut self, spec: &JobSpec, now: Timestamp) -> Option<WaitCause> {
        let organisation = &spec.key.organisation;
        let used = self.usage.get(organisation).copied().unwrap_or(0);
        if let Some(limit) = self.rules.limits.get(organisation).copied()
            && used + spec.shape.accelerators() > limit
        {
            return Some(WaitCause::Quota {
                organisation: organisation.clone(),
                limit,
                used,
            });
        }
        let accelerators = self.refill.is_some().then(|| self.usable_accelerators())?;
        let refill = self.refill.as_ref()?;
        if refill.allows_start(accelerators, now) {
            return None;
        }
        self.wake_at(now + REFILL_STEP);
        Some(WaitCause::Refilling)
    }

    /// Starts the job on borrowed accelerators, or answers what it waits for.
    fn try_borrowing(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: Timestamp,
        misfits: &mut Misfits,
        decisions: &mut Vec<Decision>,
    ) -> Option<WaitCause> {
        if let Some(slots) = self.find_borrowed(id, spec, now, misfits) {
            self.note_let_in(id, spec, &slots);
            let blocks = SmallVec::new();
            self.start(id, Allocation { slots, blocks }, now, decisions);
            return None;
        }
        self.offer_head(id, spec, now);
        match &self.head {
            Some(head) if head.job != id => Some(WaitCause::KeptFor(head.key.clone())),
            _ => Some(WaitCause::NoRoom),
        }
    }

    fn find_borrowed(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: Timestamp,
        misfits: &mut Misfits,
    ) -> Option<Slots> {
        let wanted = Wanted::of_shape(spec.shape);
        let may_use_kept = self.may_use_kept(id, spec, now);
        let known = if may_use_kept {
            &misfits.anywhere
        } else {
            &misfits.borrowed
        };
        if Misfits::contains(known, wanted) {
            return None;
        }
        let avoided = self.avoided_workers(spec);
        let found = self.cheapest_free(wanted, may_use_kept, &avoided);
        if found.is_none() && avoided.is_empty() {
            if may_use_kept {
                misfits.anywhere.push(wanted);
            }
            misfits.borrowed.push(wanted);
        }
        found
    }

    /// Whether nothing is left on the slots.
    pub(super) fn is_clear(&self, slots: &Slots) -> bool {
        let clear = |slot: &Slot| self.pool.get(slot.worker).taken & slot.bits == 0;
        slots.iter().all(clear)
    }

    pub(super) fn start(
        &mut self,
        id: JobId,
        allocation: Allocation,
        now: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(job) = self.queue.remove(id) else {
            return;
        };
        self.occupy(id, &job.spec, &allocation, Tenure::Taken, now);
        let reason = self.start_reason(&job, &allocation, now);
        let job = job.hold(allocation);
        self.announce(ActiveJob::Holding(job), id, reason, decisions);
    }

    /// Records the started job and tells the caller.
    pub(super) fn announce(
        &mut self,
        job: ActiveJob,
        id: JobId,
        reason: Arc<str>,
        decisions: &mut Vec<Decision>,
    ) {
        if let Some(refill) = &mut self.refill {
            refill.started += job.spec().shape.accelerators();
        }
        if self.head.as_ref().is_some_and(|head| head.job == id) {
            self.drop_head();
        }
        let key = job.spec().key.clone();
        let placement = self.placement(&job.allocation().slots);
        self.active.insert(id, job);
        decisions.push(Decision::Start {
            key,
            placement,
            reason,
        });
    }

    fn placement(&self, slots: &Slots) -> Placement {
        let tasks = slots.iter().map(|slot| TaskPlacement {
            target: self.pool.get(slot.worker).info.target.clone(),
            accelerators: AcceleratorSet::from_bits(slot.bits),
        });
        Placement {
            tasks: tasks.collect(),
        }
    }

    fn start_reason(&self, job: &Job<Queued>, allocation: &Allocation, now: Timestamp) -> Arc<str> {
        let waited = now.since(job.queued_at);
        let is_urgent = job.spec.urgency == Urgency::Urgent;
        if allocation.is_guaranteed() {
            return reasons::guaranteed_start(&job.spec, waited);
        }
        reasons::borrowed_start(&job.spec, waited, is_urgent, self.eviction_limit())
    }
}
