//! One scheduling decision: refusals, evictions, reclaims and starts, in this order.

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
use crate::policy::placement::PlacementRequest;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::queue::FAILED_WORKERS_TO_REFUSE_JOB;
use crate::policy::queue::Job;
use crate::policy::queue::Queued;
use crate::policy::queue::RAMP_UP_INTERVAL;
use crate::policy::queue::WaitCause;
use crate::policy::workers::JobId;
use crate::policy::workers::Occupancy;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Placement requests that were found not to fit during one pass over the queue. Starts only take
/// accelerators away, so such a request is not searched for again in the same pass.
#[derive(Debug, Default)]
pub(super) struct UnplaceableRequests {
    /// Within the guarantee of the organisation.
    pub guaranteed: BTreeSet<(Organisation, PlacementRequest)>,
    /// On borrowed accelerators outside the head reservation.
    borrowed: Vec<PlacementRequest>,
    /// On borrowed accelerators anywhere.
    anywhere: Vec<PlacementRequest>,
}

impl UnplaceableRequests {
    fn contains(known: &[PlacementRequest], request: PlacementRequest) -> bool {
        known.iter().any(|smaller| smaller.fits_within(request))
    }
}

impl ZonePolicy {
    /// Decides what to start, evict and refuse now.
    ///
    /// A start occupies its accelerators immediately; a caller that can't carry it out calls
    /// [`ZonePolicy::job_start_failed`].
    pub fn decide(&mut self, now: Timestamp) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let is_due = self.timers.first().is_some_and(|at| *at <= now);
        let is_expired = self.queue.next_deadline().is_some_and(|at| at <= now);
        if !self.is_changed && !is_due && !is_expired {
            return decisions;
        }
        self.is_changed = false;
        if is_due {
            self.expire_timers(now);
        }
        self.refuse_expired(now, &mut decisions);
        self.update_plan();
        self.refresh_head_reservation(now);
        self.evict(now, &mut decisions);
        if self.zone_config.closure_reason.is_some() {
            self.block_all_starts(now);
        } else {
            self.advance_reclaims(now, &mut decisions);
            self.try_queue(now, &mut decisions);
        }
        self.is_changed = false;
        self.check_decisions(now, &decisions);
        decisions
    }

    fn expire_timers(&mut self, now: Timestamp) {
        while self.timers.first().is_some_and(|at| *at <= now) {
            self.timers.pop_first();
        }
        self.end_quarantines(now);
        self.pool.remove_expired(now);
        self.histories.purge(now);
        if self
            .ramp_up
            .as_ref()
            .is_some_and(|ramp_up| ramp_up.is_over(now))
        {
            self.ramp_up = None;
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
        self.histories.remove(&key);
        decisions.push(Decision::Refuse { key, error });
    }

    /// Cancels all reclaims and records the closure as the wait cause of all queued jobs.
    fn block_all_starts(&mut self, now: Timestamp) {
        let waiting: Vec<JobId> = self.reclaiming.keys().copied().collect();
        for id in waiting {
            self.cancel_reclaim(id, now);
        }
        self.clear_head_reservation();
        if let Some(closure_reason) = &self.zone_config.closure_reason {
            for job in self.queue.iter_mut() {
                job.state.cause = WaitCause::Closed(Arc::clone(closure_reason));
            }
        }
    }

    /// Tries the jobs in queue order: first all of them within their guarantees, then the rest as
    /// borrowers. In a single pass, a borrower could start on accelerators that a later job
    /// reclaims in the same decision.
    fn try_queue(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        self.refresh_head_reservation(now);
        let mut unplaceable = UnplaceableRequests::default();
        let mut borrowers = Vec::new();
        for id in self.queue.ids() {
            let Some(job) = self.queue.get(id) else {
                continue;
            };
            if job.state.not_before > now {
                continue;
            }
            let spec = Arc::clone(&job.spec);
            if let Some(error) = self.refusal_error(&spec, now) {
                self.refuse(id, error, decisions);
            } else if let Some(cause) = self.start_blocker(&spec, now) {
                self.set_cause(id, cause);
            } else if let Some(allocation) = self.find_guaranteed(&spec, now, &mut unplaceable) {
                self.start_or_reclaim(id, allocation, now, decisions);
            } else {
                borrowers.push((id, spec));
            }
        }
        for (id, spec) in borrowers {
            let had_head = self.head.is_some();
            let cause = match self.start_blocker(&spec, now) {
                Some(cause) => Some(cause),
                None => self.try_borrowed_start(id, &spec, now, &mut unplaceable, decisions),
            };
            if let Some(cause) = cause {
                self.set_cause(id, cause);
            }
            if had_head && self.head.is_none() {
                unplaceable.borrowed.clear();
            }
        }
    }

    fn set_cause(&mut self, id: JobId, cause: WaitCause) {
        if let Some(job) = self.queue.get_mut(id) {
            job.state.cause = cause;
        }
    }

    fn start_or_reclaim(
        &mut self,
        id: JobId,
        allocation: Allocation,
        now: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        if self.is_unoccupied(&allocation.slots) {
            self.start(id, allocation, now, decisions);
        } else {
            self.begin_reclaim(id, allocation, now, decisions);
        }
    }

    /// Returns the error to refuse a queued job with if it can never start.
    fn refusal_error(&mut self, spec: &JobSpec, now: Timestamp) -> Option<RequestError> {
        let failed_on = self.histories.get(&spec.key).map(|known| &known.failed_on);
        if let Some(failed_on) =
            failed_on.filter(|workers| workers.len() >= FAILED_WORKERS_TO_REFUSE_JOB)
        {
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
        let fits = !self.is_discovery_over(now)
            || self.fits_empty_zone(PlacementRequest::for_gang(spec.shape));
        (!fits).then(|| self.impossible_error(spec))
    }

    /// Returns the quota or ramp-up limit that currently prevents any start of the job.
    fn start_blocker(&mut self, spec: &JobSpec, now: Timestamp) -> Option<WaitCause> {
        let organisation = &spec.key.organisation;
        let used = self.usage.get(organisation).copied().unwrap_or(0);
        if let Some(limit) = self.zone_config.limits.get(organisation).copied()
            && used + spec.shape.accelerators() > limit
        {
            return Some(WaitCause::Quota {
                organisation: organisation.clone(),
                limit,
                used,
            });
        }
        let accelerators = self.ramp_up.is_some().then(|| self.usable_accelerators())?;
        let ramp_up = self.ramp_up.as_ref()?;
        if ramp_up.allows_start(accelerators, now) {
            return None;
        }
        self.wake_at(now + RAMP_UP_INTERVAL);
        Some(WaitCause::RampingUp)
    }

    /// Starts the job on borrowed accelerators, or returns what it waits for.
    fn try_borrowed_start(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: Timestamp,
        unplaceable: &mut UnplaceableRequests,
        decisions: &mut Vec<Decision>,
    ) -> Option<WaitCause> {
        if let Some(slots) = self.find_borrowed(id, spec, now, unplaceable) {
            self.record_backfill(id, spec, &slots);
            let blocks = SmallVec::new();
            self.start(id, Allocation { slots, blocks }, now, decisions);
            return None;
        }
        self.update_head_reservation(id, spec, now);
        match &self.head {
            Some(head) if head.job != id => Some(WaitCause::ReservedForHead(head.key.clone())),
            _ => Some(WaitCause::NoFreeAccelerators),
        }
    }

    fn find_borrowed(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        now: Timestamp,
        unplaceable: &mut UnplaceableRequests,
    ) -> Option<Slots> {
        let request = PlacementRequest::for_gang(spec.shape);
        let may_use_head_reservation = self.may_use_head_reservation(id, spec, now);
        let known = if may_use_head_reservation {
            &unplaceable.anywhere
        } else {
            &unplaceable.borrowed
        };
        if UnplaceableRequests::contains(known, request) {
            return None;
        }
        let avoided = self.avoided_workers(spec);
        let found = self.cheapest_free(request, may_use_head_reservation, &avoided);
        if found.is_none() && avoided.is_empty() {
            if may_use_head_reservation {
                unplaceable.anywhere.push(request);
            }
            unplaceable.borrowed.push(request);
        }
        found
    }

    /// Whether no started job occupies the slots.
    pub(super) fn is_unoccupied(&self, slots: &Slots) -> bool {
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
        self.occupy(id, &job.spec, &allocation, Occupancy::Started, now);
        let reason = self.start_reason(&job, &allocation, now);
        let job = job.hold(allocation);
        self.record_start(ActiveJob::Holding(job), id, reason, decisions);
    }

    /// Records a started job and adds the decision for the caller.
    pub(super) fn record_start(
        &mut self,
        job: ActiveJob,
        id: JobId,
        reason: Arc<str>,
        decisions: &mut Vec<Decision>,
    ) {
        if let Some(ramp_up) = &mut self.ramp_up {
            ramp_up.started_accelerators += job.spec().shape.accelerators();
        }
        if self.head.as_ref().is_some_and(|head| head.job == id) {
            self.clear_head_reservation();
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
