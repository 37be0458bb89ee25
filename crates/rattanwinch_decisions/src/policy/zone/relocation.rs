//! Moves of borrowers within the zone, so that the head of the queue gets adjacent accelerators
//! where free ones are scattered.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::placement::Pricing;
use crate::policy::placement::Wanted;
use crate::policy::placement::solver;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::HeadOfQueue;
use crate::policy::workers::JobId;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How often moves are considered; the search reads the whole zone.
pub(super) const CONSIDER_EVERY: Duration = Duration::from_secs(10);

/// The most borrowers that are moved for one job, which bounds the searches for their new places.
const MOST_MOVED: usize = 8;

/// One checkpoint in so many is assumed to exceed its limit, which loses the work before it.
const FAILED_CHECKPOINTS: u64 = 8;

/// What a move costs each accelerator besides: the checkpoint and the start.
const MOVE_COST_MS: u64 = 60_000;

/// Prices for the accelerators to clear: the work that the evictions may lose.
struct Clearable {
    now: Timestamp,
}

impl Pricing for Clearable {
    fn allowed(&self, _id: WorkerId, worker: &Worker) -> u8 {
        worker.usable() & !worker.reserved & !worker.guaranteed
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        worker.lost_work(bits, self.now)
    }
}

/// Prices for new places: free accelerators that nobody else is about to get.
struct NewPlace<'a> {
    avoided: &'a [WorkerId],
    promised: &'a BTreeMap<WorkerId, u8>,
}

impl Pricing for NewPlace<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        worker.free() & !self.promised.get(&id).copied().unwrap_or(0)
    }

    fn cost(&self, _worker: &Worker, _bits: u8) -> u64 {
        0
    }
}

impl ZonePolicy {
    /// Checkpoints borrowers that fit elsewhere at once, if the head of the queue then starts so
    /// much earlier that the accelerators it waits for outweigh what the moves may lose.
    pub(super) fn move_borrowers(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = &self.head else {
            return;
        };
        let is_early = |at| now.since(at) < CONSIDER_EVERY;
        if self.relocated_at.is_some_and(is_early) {
            return;
        }
        let Some(job) = self.queue.get(head.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        self.relocated_at = Some(now);
        if !self.has_free(spec.shape.accelerators()) {
            return;
        }
        let wanted = Wanted::of_shape(spec.shape);
        let Some(slots) = solver::solve(&self.pool, wanted, &Clearable { now }) else {
            return;
        };
        let wait = u64::try_from(now.until(head.free_at).as_millis()).unwrap_or(u64::MAX);
        let gain = wait.saturating_mul(u64::from(spec.shape.accelerators()));
        let victims: Vec<JobId> = self.victims(&slots).into_iter().collect();
        if victims.len() > MOST_MOVED
            || self.expected_loss(&victims, now) >= gain
            || !self.fit_elsewhere(&victims, &slots)
        {
            return;
        }
        let reason = reasons::move_eviction(&head.key);
        let head = HeadOfQueue::moved(head.clone(), slots, now);
        self.keep_for(head);
        for id in victims {
            if let Some(job) = self.active.get(&id) {
                let key = job.spec().key.clone();
                self.histories.change(&key, now).was_moved = true;
            }
            self.begin_eviction(id, Arc::clone(&reason), now, decisions);
        }
    }

    /// Whether so many accelerators are free. With fewer, moves can't make room for a job.
    pub(super) fn has_free(&self, accelerators: u32) -> bool {
        let free = self.pool.iter().map(|(_, worker)| worker.free());
        free.map(u8::count_ones).sum::<u32>() >= accelerators
    }

    /// Accelerator-milliseconds that the evictions are expected to cost: a checkpoint and a restart
    /// each, and the work of those whose checkpoint fails.
    fn expected_loss(&self, jobs: &[JobId], now: Timestamp) -> u64 {
        let loss = |id: &JobId| {
            let job = self.active.get(id)?;
            let since = now.since(job.since()?);
            let elapsed = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            let accelerators = u64::from(job.spec().shape.accelerators());
            Some((elapsed / FAILED_CHECKPOINTS + MOVE_COST_MS).saturating_mul(accelerators))
        };
        jobs.iter().filter_map(loss).fold(0, u64::saturating_add)
    }

    /// Whether the jobs run, were not moved before, and all find free accelerators outside the
    /// slots.
    fn fit_elsewhere(&self, jobs: &[JobId], slots: &Slots) -> bool {
        let mut promised: BTreeMap<WorkerId, u8> = BTreeMap::new();
        for slot in slots {
            *promised.entry(slot.worker).or_default() |= slot.bits;
        }
        for id in jobs {
            let Some(ActiveJob::Running(job)) = self.active.get(id) else {
                return false;
            };
            let history = self.histories.get(&job.spec.key);
            if history.is_some_and(|known| known.was_moved) {
                return false;
            }
            let avoided = self.avoided_workers(&job.spec);
            let pricing = NewPlace {
                avoided: &avoided,
                promised: &promised,
            };
            let wanted = Wanted::of_shape(job.spec.shape);
            let Some(found) = solver::solve(&self.pool, wanted, &pricing) else {
                return false;
            };
            for slot in found {
                *promised.entry(slot.worker).or_default() |= slot.bits;
            }
        }
        true
    }
}
