//! Accelerators that are kept for the first job in the queue that doesn't fit, so that smaller
//! jobs don't overtake it without end.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::placement::Pricing;
use crate::policy::placement::Wanted;
use crate::policy::placement::solver;
use crate::policy::queue::HeadOfQueue;
use crate::policy::queue::JobHistory;
use crate::policy::workers::JobId;
use crate::policy::workers::Rack;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::workers::blocks;
use crate::policy::zone::relocation::CONSIDER_EVERY;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How often it is looked whether other accelerators are free sooner than the kept ones. The
/// look reads the whole zone, and run times of hours don't change faster.
const LOOK_EVERY: Duration = Duration::from_secs(60);

/// While the kept accelerators are expected to be in use for this long, longer jobs are let in, too:
/// what they do meanwhile outweighs their checkpoint of at most 30 s.
const WORTH_LETTING_IN: Duration = Duration::from_secs(300);

/// A let-in job that is expected to end within this time isn't evicted for the head any more,
/// because its checkpoint might take as long.
const NEARLY_OVER_MS: u64 = 30_000;

/// Prices for the accelerators to keep: the time until their last job is expected to end.
struct SoonestFree<'a> {
    now: Timestamp,
    avoided: &'a [WorkerId],
}

impl Pricing for SoonestFree<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        worker.usable() & !worker.reserved
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let remaining = worker.started_on(bits).map(|job| job.remaining(self.now));
        remaining.max().unwrap_or(0)
    }
}

/// Prices for borrowed accelerators: unused guarantees are left alone if possible, then large
/// blocks are kept whole, then racks.
struct Borrowed<'a> {
    may_use_kept: bool,
    avoided: &'a [WorkerId],
    /// Workers of each rack that are wholly free.
    whole: Vec<u64>,
}

impl Pricing for Borrowed<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        let kept = if self.may_use_kept { 0 } else { worker.shadow };
        worker.free() & !kept
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let is_home = u64::from(worker.homes & bits != 0);
        let free = worker.free();
        let split = blocks::split_levels(free, bits);
        let whole = if free == u8::MAX {
            self.whole[worker.rack]
        } else {
            0
        };
        (is_home << 32) | (split << 16) | whole
    }

    /// All blocks of a wholly free worker without homes cost the same; homes only add to it.
    fn floor(&self, worker: &Worker, size: u8) -> u64 {
        if worker.free() != u8::MAX {
            return 0;
        }
        let split = u64::from((u8::MAX.count_ones() / u32::from(size)).trailing_zeros());
        (split << 16) | self.whole[worker.rack]
    }
}

impl ZonePolicy {
    /// The best free accelerators for borrowed work.
    pub(super) fn cheapest_free(
        &self,
        wanted: Wanted,
        may_use_kept: bool,
        avoided: &[WorkerId],
    ) -> Option<Slots> {
        let is_whole = |id: &&WorkerId| self.pool.get(**id).free() == u8::MAX;
        let count = |rack: &Rack| rack.workers.iter().filter(is_whole).count() as u64;
        let pricing = Borrowed {
            may_use_kept,
            avoided,
            whole: self.pool.racks().iter().map(count).collect(),
        };
        solver::solve(&self.pool, wanted, &pricing)
    }

    /// Whether the job may use what is kept for the head of the queue: it is the head, or it is
    /// expected to be gone in time. If it isn't, it is evicted when the head could start, and not
    /// let in again, so that a job is evicted for this reason at most once.
    pub(super) fn may_use_kept(&self, id: JobId, spec: &JobSpec, now: Timestamp) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        if head.job == id || self.is_urgent_before_head(id, spec) {
            return true;
        }
        let was_let_in = |history: &JobHistory| history.was_let_in;
        let is_refused = self.histories.get(&spec.key).is_some_and(was_let_in);
        let gone_by = now + self.run_times.expect(spec).min(WORTH_LETTING_IN);
        !is_refused && gone_by <= head.free_at
    }

    /// Whether the job is urgent and comes before a head of the queue that isn't: it takes what is
    /// kept, or the head's place.
    fn is_urgent_before_head(&self, id: JobId, spec: &JobSpec) -> bool {
        let Some(head) = &self.head else {
            return false;
        };
        let head_job = self.queue.get(head.job);
        let is_normal = head_job.is_some_and(|job| job.spec.urgency == Urgency::Normal);
        spec.urgency == Urgency::Urgent && is_normal && self.queue.comes_before(id, head.job)
    }

    /// Keeps accelerators for the job if it is the first one in the queue that doesn't fit, and
    /// looks from time to time whether others are free sooner.
    pub(super) fn offer_head(&mut self, id: JobId, spec: &JobSpec, now: Timestamp) {
        let is_urgent = self.is_urgent_before_head(id, spec);
        let is_due = |head: &HeadOfQueue| {
            is_urgent || head.job == id && now.since(head.looked_at) >= LOOK_EVERY
        };
        if !self.head.as_ref().is_none_or(is_due) {
            return;
        }
        let wanted = Wanted::of_shape(spec.shape);
        let avoided = self.avoided_workers(spec);
        let pricing = SoonestFree {
            now,
            avoided: &avoided,
        };
        let Some(slots) = solver::solve(&self.pool, wanted, &pricing) else {
            return;
        };
        let mut head = HeadOfQueue {
            job: id,
            key: spec.key.clone(),
            slots,
            let_in: BTreeSet::new(),
            free_at: now,
            looked_at: now,
        };
        head.free_at = self.free_at(&head, now);
        if let Some(known) = &mut self.head
            && known.job == id
            && known.free_at <= head.free_at
        {
            known.looked_at = now;
            return;
        }
        self.keep_for(head);
        if self.has_free(spec.shape.accelerators()) {
            self.wake_at(now + CONSIDER_EVERY);
        }
    }

    /// Keeps the head's accelerators and no others.
    pub(super) fn keep_for(&mut self, head: HeadOfQueue) {
        self.drop_head();
        for slot in &head.slots {
            self.pool.get_mut(slot.worker).shadow |= slot.bits;
        }
        self.head = Some(head);
    }

    /// When the head's accelerators are expected to be free of jobs that were not let in.
    fn free_at(&self, head: &HeadOfQueue, now: Timestamp) -> Timestamp {
        let on = |slot: &Slot| self.pool.get(slot.worker).started_on(slot.bits);
        let others = head.slots.iter().flat_map(on);
        let others = others.filter(|job| !head.has_let_in(job));
        let last = others.map(|job| job.remaining(now)).max().unwrap_or(0);
        now + Duration::from_millis(last)
    }

    /// Notes that a borrower starts, if it was let in. An urgent job that comes before the head was
    /// not: if it were evicted for the head, it would start in its place again and again.
    pub(super) fn note_let_in(&mut self, id: JobId, spec: &JobSpec, slots: &Slots) {
        if self.is_urgent_before_head(id, spec) {
            return;
        }
        let is_kept = |slot: &Slot| self.pool.get(slot.worker).shadow & slot.bits != 0;
        let uses_kept = slots.iter().any(is_kept);
        if let Some(head) = &mut self.head
            && head.job != id
            && uses_kept
        {
            head.let_in.insert(id);
        }
    }

    /// Keeps nothing any longer.
    pub(super) fn drop_head(&mut self) {
        if let Some(head) = self.head.take() {
            for slot in &head.slots {
                self.pool.get_mut(slot.worker).shadow &= !slot.bits;
            }
        }
    }

    /// Drops what is kept if its job left the queue, or if it can't become free for the job.
    pub(super) fn check_head(&mut self, now: Timestamp) {
        let Some(head) = &self.head else {
            return;
        };
        let is_lost = |slot: &Slot| {
            let worker = self.pool.get(slot.worker);
            !worker.is_usable() || worker.reserved & slot.bits != 0
        };
        let is_queued = self.queue.get(head.job).is_some();
        if !is_queued || head.slots.iter().any(is_lost) {
            self.drop_head();
            return;
        }
        let free_at = self.free_at(head, now);
        if let Some(head) = &mut self.head {
            head.free_at = free_at;
        }
    }

    /// Evicts the jobs that were let in once they are all that the head of the queue waits for.
    /// A declared time that is too short therefore delays the head by one eviction at most.
    pub(super) fn evict_let_in(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = &self.head else {
            return;
        };
        let on = |slot: &Slot| self.pool.get(slot.worker).started_on(slot.bits);
        let jobs = || head.slots.iter().flat_map(on);
        if jobs().any(|job| !head.has_let_in(job)) {
            return;
        }
        let reason = reasons::let_in_eviction(&head.key);
        let mut late = Vec::new();
        for job in jobs() {
            if job.remaining(now) > NEARLY_OVER_MS {
                late.push(job.job);
            }
        }
        let soonest = jobs().map(|job| job.expected_end).min();
        if let Some(end) = soonest.filter(|end| *end > now) {
            self.wake_at(end + Duration::from_millis(1));
        }
        for id in late {
            if let Some(job) = self.active.get(&id) {
                let key = job.spec().key.clone();
                self.histories.change(&key, now).was_let_in = true;
            }
            self.begin_eviction(id, Arc::clone(&reason), now, decisions);
        }
    }
}
