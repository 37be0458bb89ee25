//! Reservation of accelerators for the first queued job that doesn't fit, so that smaller jobs
//! can't starve it, and backfill of the reserved accelerators with short jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::placement::CostModel;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::queue::HeadReservation;
use crate::policy::queue::JobHistory;
use crate::policy::workers::JobId;
use crate::policy::workers::Rack;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::workers::blocks;
use crate::policy::zone::relocation::RELOCATION_INTERVAL;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How often the reservation is compared with other accelerators that may be free sooner. The
/// search reads the whole zone, and run times of hours don't change faster.
const HEAD_REVIEW_INTERVAL: Duration = Duration::from_secs(60);

/// If the reserved accelerators stay in use at least this long, jobs of any run time are
/// backfilled: the work they do outweighs their checkpoint of at most 30 s.
const UNRESTRICTED_BACKFILL_WINDOW: Duration = Duration::from_secs(300);

/// A backfilled job that is expected to end within this time isn't evicted for the head, because
/// its checkpoint might take as long.
const MIN_EVICTABLE_REMAINING_MS: u64 = 30_000;

/// Costs for choosing a reservation: the time until the last job there is expected to end.
struct EarliestFreeCost<'a> {
    now: Timestamp,
    avoided: &'a [WorkerId],
}

impl CostModel for EarliestFreeCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        worker.usable_accelerators() & !worker.reserved
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let remaining = worker
            .started_occupants(bits)
            .map(|job| job.remaining(self.now));
        remaining.max().unwrap_or(0)
    }
}

/// Costs for borrowed accelerators: avoids unused guaranteed blocks first, then splitting large
/// blocks, then using up racks with many free workers.
struct BorrowedCost<'a> {
    may_use_head_reservation: bool,
    avoided: &'a [WorkerId],
    /// Number of fully free workers of each rack.
    fully_free_workers: Vec<u64>,
}

impl CostModel for BorrowedCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        let head_reserved = if self.may_use_head_reservation {
            0
        } else {
            worker.head_reserved
        };
        worker.free_accelerators() & !head_reserved
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let is_in_block = u64::from(worker.block_accelerators & bits != 0);
        let free = worker.free_accelerators();
        let split = blocks::split_levels(free, bits);
        let fully_free_workers = if free == u8::MAX {
            self.fully_free_workers[worker.rack]
        } else {
            0
        };
        (is_in_block << 32) | (split << 16) | fully_free_workers
    }

    /// All blocks of a fully free worker outside guaranteed blocks cost the same; guaranteed blocks
    /// only increase the cost.
    fn min_cost(&self, worker: &Worker, size: u8) -> u64 {
        if worker.free_accelerators() != u8::MAX {
            return 0;
        }
        let split = u64::from((u8::MAX.count_ones() / u32::from(size)).trailing_zeros());
        (split << 16) | self.fully_free_workers[worker.rack]
    }
}

impl ZonePolicy {
    /// Finds the cheapest free accelerators for a borrower.
    pub(super) fn cheapest_free(
        &self,
        request: PlacementRequest,
        may_use_head_reservation: bool,
        avoided: &[WorkerId],
    ) -> Option<Slots> {
        let is_fully_free = |id: &&WorkerId| self.pool.get(**id).free_accelerators() == u8::MAX;
        let count = |rack: &Rack| rack.workers.iter().filter(is_fully_free).count() as u64;
        let cost_model = BorrowedCost {
            may_use_head_reservation,
            avoided,
            fully_free_workers: self.pool.racks().iter().map(count).collect(),
        };
        solver::solve(&self.pool, request, &cost_model)
    }

    /// Whether the job may use the head reservation: it is the head itself, or it can be backfilled
    /// because it is expected to end in time. A backfilled job that runs longer is evicted when the
    /// head could start and isn't backfilled again, so that a job is evicted for this reason at
    /// most once.
    pub(super) fn may_use_head_reservation(
        &self,
        id: JobId,
        spec: &JobSpec,
        now: Timestamp,
    ) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        if head.job == id || self.is_urgent_before_head(id, spec) {
            return true;
        }
        let was_backfilled = |history: &JobHistory| history.was_backfilled;
        let is_refused = self.histories.get(&spec.key).is_some_and(was_backfilled);
        let ends_by = now
            + self
                .run_times
                .expected(spec)
                .min(UNRESTRICTED_BACKFILL_WINDOW);
        !is_refused && ends_by <= head.expected_free_at
    }

    /// Whether the job is urgent and ordered before a normal job at the head of the queue. It may
    /// then use the head reservation or replace it.
    fn is_urgent_before_head(&self, id: JobId, spec: &JobSpec) -> bool {
        let Some(head) = &self.head else {
            return false;
        };
        let head_job = self.queue.get(head.job);
        let is_normal = head_job.is_some_and(|job| job.spec.urgency == Urgency::Normal);
        spec.urgency == Urgency::Urgent && is_normal && self.queue.comes_before(id, head.job)
    }

    /// Reserves accelerators for the job if it is the first queued one that doesn't fit, and
    /// periodically checks whether others are free sooner.
    pub(super) fn update_head_reservation(&mut self, id: JobId, spec: &JobSpec, now: Timestamp) {
        let is_urgent = self.is_urgent_before_head(id, spec);
        let is_due = |head: &HeadReservation| {
            is_urgent || head.job == id && now.since(head.reviewed_at) >= HEAD_REVIEW_INTERVAL
        };
        if !self.head.as_ref().is_none_or(is_due) {
            return;
        }
        let request = PlacementRequest::for_gang(spec.shape);
        let avoided = self.avoided_workers(spec);
        let cost_model = EarliestFreeCost {
            now,
            avoided: &avoided,
        };
        let Some(slots) = solver::solve(&self.pool, request, &cost_model) else {
            return;
        };
        let mut head = HeadReservation {
            job: id,
            key: spec.key.clone(),
            slots,
            backfilled: BTreeSet::new(),
            expected_free_at: now,
            reviewed_at: now,
        };
        head.expected_free_at = self.expected_free_at(&head, now);
        if let Some(known) = &mut self.head
            && known.job == id
            && known.expected_free_at <= head.expected_free_at
        {
            known.reviewed_at = now;
            return;
        }
        self.set_head_reservation(head);
        if self.has_free_accelerators(spec.shape.accelerators()) {
            self.wake_at(now + RELOCATION_INTERVAL);
        }
    }

    /// Replaces the head reservation.
    pub(super) fn set_head_reservation(&mut self, head: HeadReservation) {
        self.clear_head_reservation();
        for slot in &head.slots {
            self.pool.get_mut(slot.worker).head_reserved |= slot.bits;
        }
        self.head = Some(head);
    }

    /// When the reserved accelerators are expected to be free of jobs that were not backfilled.
    fn expected_free_at(&self, head: &HeadReservation, now: Timestamp) -> Timestamp {
        let occupants_on = |slot: &Slot| self.pool.get(slot.worker).started_occupants(slot.bits);
        let others = head.slots.iter().flat_map(occupants_on);
        let others = others.filter(|job| !head.is_backfilled(job));
        let last = others.map(|job| job.remaining(now)).max().unwrap_or(0);
        now + Duration::from_millis(last)
    }

    /// Records that a borrower is backfilled, if it uses reserved accelerators. An urgent job that
    /// is ordered before the head doesn't count as backfilled: it would be evicted for the head and
    /// then start before it again, without end.
    pub(super) fn record_backfill(&mut self, id: JobId, spec: &JobSpec, slots: &Slots) {
        if self.is_urgent_before_head(id, spec) {
            return;
        }
        let is_reserved = |slot: &Slot| self.pool.get(slot.worker).head_reserved & slot.bits != 0;
        let uses_reserved = slots.iter().any(is_reserved);
        if let Some(head) = &mut self.head
            && head.job != id
            && uses_reserved
        {
            head.backfilled.insert(id);
        }
    }

    /// Removes the head reservation.
    pub(super) fn clear_head_reservation(&mut self) {
        if let Some(head) = self.head.take() {
            for slot in &head.slots {
                self.pool.get_mut(slot.worker).head_reserved &= !slot.bits;
            }
        }
    }

    /// Removes the head reservation if its job left the queue or its accelerators can't become free
    /// for the job; otherwise updates when they are expected to be free.
    pub(super) fn refresh_head_reservation(&mut self, now: Timestamp) {
        let Some(head) = &self.head else {
            return;
        };
        let is_lost = |slot: &Slot| {
            let worker = self.pool.get(slot.worker);
            !worker.is_usable() || worker.reserved & slot.bits != 0
        };
        let is_queued = self.queue.get(head.job).is_some();
        if !is_queued || head.slots.iter().any(is_lost) {
            self.clear_head_reservation();
            return;
        }
        let expected_free_at = self.expected_free_at(head, now);
        if let Some(head) = &mut self.head {
            head.expected_free_at = expected_free_at;
        }
    }

    /// Evicts backfilled jobs once the head of the queue waits for nothing else. A declared run
    /// time that is too short therefore delays the head by one eviction at most.
    pub(super) fn evict_backfilled(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = &self.head else {
            return;
        };
        let occupants_on = |slot: &Slot| self.pool.get(slot.worker).started_occupants(slot.bits);
        let jobs = || head.slots.iter().flat_map(occupants_on);
        if jobs().any(|job| !head.is_backfilled(job)) {
            return;
        }
        let reason = reasons::backfill_eviction(&head.key);
        let mut overdue = Vec::new();
        for job in jobs() {
            if job.remaining(now) > MIN_EVICTABLE_REMAINING_MS {
                overdue.push(job.job);
            }
        }
        let soonest = jobs().map(|job| job.expected_end).min();
        if let Some(end) = soonest.filter(|end| *end > now) {
            self.wake_at(end + Duration::from_millis(1));
        }
        for id in overdue {
            if let Some(job) = self.active.get(&id) {
                let key = job.spec().key.clone();
                self.histories.update(&key, now).was_backfilled = true;
            }
            self.begin_eviction(id, Arc::clone(&reason), now, decisions);
        }
    }
}
