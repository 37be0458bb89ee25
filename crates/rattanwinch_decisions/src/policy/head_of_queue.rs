//! Accelerators that are kept for the first job in the queue that doesn't fit, so that smaller
//! jobs don't overtake it without end.

use std::time::Duration;

use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::policy::blocks;
use crate::policy::decision::Decision;
use crate::policy::job::JobId;
use crate::policy::reasons;
use crate::policy::solver;
use crate::policy::solver::Pricing;
use crate::policy::solver::Slot;
use crate::policy::solver::Slots;
use crate::policy::solver::Wanted;
use crate::policy::worker::Worker;
use crate::policy::worker::WorkerId;
use crate::policy::worker_pool::Rack;
use crate::policy::zone_policy::ZonePolicy;

/// From then on no job is let in ahead of the head of the queue, whatever run time it declares,
/// and jobs that were let in and have overrun are evicted.
const PATIENCE: Duration = Duration::from_secs(1800);

/// A job is let in ahead if so many times its expected run time is over before the kept
/// accelerators are expected to be free.
const LET_IN_MARGIN: u32 = 2;

/// The job at the head of the queue and what is kept for it.
#[derive(Clone, Debug)]
pub(super) struct HeadOfQueue {
    /// The job.
    pub job: JobId,
    /// Its key.
    pub key: RequestKey,
    slots: Slots,
    queued_at: Timestamp,
    /// When the kept accelerators are expected to be free.
    free_at: Timestamp,
}

/// Prices for the accelerators to keep: the time until their last job is expected to end.
struct SoonestFree {
    now: Timestamp,
}

impl Pricing for SoonestFree {
    fn allowed(&self, _id: WorkerId, worker: &Worker) -> u8 {
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
    /// expected to be gone in time while the head still has patience.
    pub(super) fn may_use_kept(&self, id: JobId, spec: &JobSpec, now: Timestamp) -> bool {
        let Some(head) = &self.head else {
            return true;
        };
        if head.job == id {
            return true;
        }
        let has_patience = now.since(head.queued_at) < PATIENCE;
        has_patience && now + self.run_times.expect(spec) * LET_IN_MARGIN <= head.free_at
    }

    /// Keeps accelerators for the job if it is the first one in the queue that doesn't fit.
    pub(super) fn offer_head(&mut self, id: JobId, spec: &JobSpec, now: Timestamp) {
        if self.head.is_some() {
            return;
        }
        let wanted = Wanted::of_shape(spec.shape);
        let Some(slots) = solver::solve(&self.pool, wanted, &SoonestFree { now }) else {
            return;
        };
        let remaining = |slot: &Slot| {
            let jobs = self.pool.get(slot.worker).started_on(slot.bits);
            jobs.map(|job| job.remaining(now)).max().unwrap_or(0)
        };
        let last = slots.iter().map(remaining).max().unwrap_or(0);
        for slot in &slots {
            self.pool.get_mut(slot.worker).shadow |= slot.bits;
        }
        let queued_at = self.queue.get(id).map_or(now, |job| job.queued_at);
        self.wake_at((queued_at + PATIENCE).max(now + Duration::from_secs(1)));
        self.head = Some(HeadOfQueue {
            job: id,
            key: spec.key.clone(),
            slots,
            queued_at,
            free_at: now + Duration::from_millis(last),
        });
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
    pub(super) fn check_head(&mut self) {
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
        }
    }

    /// Evicts borrowers that were let in ahead of the head of the queue and have run more than
    /// twice as long as expected, once the head has run out of patience. Without this a job that
    /// declares too short a time would starve the head.
    pub(super) fn evict_overrun(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = &self.head else {
            return;
        };
        let waited = now.since(head.queued_at);
        if waited < PATIENCE {
            return;
        }
        let queued_at = head.queued_at;
        let reason = reasons::overrun_eviction(&head.key, waited);
        let mut overrun = Vec::new();
        let mut next_check = None;
        for slot in &head.slots {
            for job in self.pool.get(slot.worker).started_on(slot.bits) {
                if job.is_guaranteed || job.since < queued_at {
                    continue;
                }
                let limit = job.since + job.expected_end.since(job.since) * LET_IN_MARGIN;
                if limit < now {
                    overrun.push(job.job);
                } else {
                    next_check = next_check.min(Some(limit)).or(Some(limit));
                }
            }
        }
        if let Some(limit) = next_check {
            self.wake_at(limit + Duration::from_millis(1));
        }
        for id in overrun {
            self.begin_eviction(id, std::sync::Arc::clone(&reason), now, decisions);
        }
    }
}
