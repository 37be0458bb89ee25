//! Relocation of borrowers within the zone, which frees adjacent accelerators for the head of the
//! queue if the free ones are fragmented.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::placement::CostModel;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::HeadReservation;
use crate::policy::workers::JobId;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How often relocation is considered; the search reads the whole zone.
pub(super) const RELOCATION_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of borrowers relocated for one job; bounds the number of placement searches.
const MAX_RELOCATED_JOBS: usize = 8;

/// One checkpoint in this many is assumed to exceed its limit, which loses the work before it.
const CHECKPOINTS_PER_FAILURE: u64 = 8;

/// Additional cost of a relocation per accelerator: the checkpoint and the restart.
const RELOCATION_COST_MS: u64 = 60_000;

/// Costs for choosing the accelerators to clear: the work that evictions there may lose.
struct EvictionCost {
    now: Timestamp,
}

impl CostModel for EvictionCost {
    fn allowed(&self, _id: WorkerId, worker: &Worker) -> u8 {
        worker.usable_accelerators() & !worker.reserved & !worker.guaranteed
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        worker.lost_work(bits, self.now)
    }
}

/// Zero cost on free accelerators that no other relocated job is assigned.
struct RelocationTargetCost<'a> {
    avoided: &'a [WorkerId],
    assigned: &'a BTreeMap<WorkerId, u8>,
}

impl CostModel for RelocationTargetCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        worker.free_accelerators() & !self.assigned.get(&id).copied().unwrap_or(0)
    }

    fn cost(&self, _worker: &Worker, _bits: u8) -> u64 {
        0
    }
}

impl ZonePolicy {
    /// Checkpoints borrowers that fit on other free accelerators now, if the accelerator time that
    /// the head of the queue gains by the earlier start exceeds the expected loss.
    pub(super) fn relocate_borrowers(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(head) = &self.head else {
            return;
        };
        let is_too_early = |at| now.since(at) < RELOCATION_INTERVAL;
        if self.relocated_at.is_some_and(is_too_early) {
            return;
        }
        let Some(job) = self.queue.get(head.job) else {
            return;
        };
        let spec = Arc::clone(&job.spec);
        self.relocated_at = Some(now);
        if !self.has_free_accelerators(spec.shape.accelerators()) {
            return;
        }
        let request = PlacementRequest::for_gang(spec.shape);
        let Some(slots) = solver::solve(&self.pool, request, &EvictionCost { now }) else {
            return;
        };
        let wait = u64::try_from(now.until(head.expected_free_at).as_millis()).unwrap_or(u64::MAX);
        let gain = wait.saturating_mul(u64::from(spec.shape.accelerators()));
        let victims: Vec<JobId> = self.victims(&slots).into_iter().collect();
        if victims.len() > MAX_RELOCATED_JOBS
            || self.expected_loss(&victims, now) >= gain
            || !self.can_relocate(&victims, &slots)
        {
            return;
        }
        let reason = reasons::relocation_eviction(&head.key);
        let head = HeadReservation::with_slots(head.clone(), slots, now);
        self.set_head_reservation(head);
        for id in victims {
            if let Some(job) = self.active.get(&id) {
                let key = job.spec().key.clone();
                self.histories.update(&key, now).was_relocated = true;
            }
            self.begin_eviction(id, Arc::clone(&reason), now, decisions);
        }
    }

    /// Whether at least this many accelerators are free. With fewer, no relocation frees enough for
    /// a job.
    pub(super) fn has_free_accelerators(&self, accelerators: u32) -> bool {
        let free = self
            .pool
            .iter()
            .map(|(_, worker)| worker.free_accelerators());
        free.map(u8::count_ones).sum::<u32>() >= accelerators
    }

    /// Expected cost of the evictions in accelerator-milliseconds: a checkpoint and a restart each,
    /// and the work lost by checkpoints that fail.
    fn expected_loss(&self, jobs: &[JobId], now: Timestamp) -> u64 {
        let loss = |id: &JobId| {
            let job = self.active.get(id)?;
            let since = now.since(job.since()?);
            let elapsed = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
            let accelerators = u64::from(job.spec().shape.accelerators());
            Some(
                (elapsed / CHECKPOINTS_PER_FAILURE + RELOCATION_COST_MS)
                    .saturating_mul(accelerators),
            )
        };
        jobs.iter().filter_map(loss).fold(0, u64::saturating_add)
    }

    /// Whether all jobs run, have not been relocated before, and fit on free accelerators outside
    /// the slots.
    fn can_relocate(&self, jobs: &[JobId], slots: &Slots) -> bool {
        let mut assigned: BTreeMap<WorkerId, u8> = BTreeMap::new();
        for slot in slots {
            *assigned.entry(slot.worker).or_default() |= slot.bits;
        }
        for id in jobs {
            let Some(ActiveJob::Running(job)) = self.active.get(id) else {
                return false;
            };
            let history = self.histories.get(&job.spec.key);
            if history.is_some_and(|known| known.was_relocated) {
                return false;
            }
            let avoided = self.avoided_workers(&job.spec);
            let cost_model = RelocationTargetCost {
                avoided: &avoided,
                assigned: &assigned,
            };
            let request = PlacementRequest::for_gang(job.spec.shape);
            let Some(found) = solver::solve(&self.pool, request, &cost_model) else {
                return false;
            };
            for slot in found {
                *assigned.entry(slot.worker).or_default() |= slot.bits;
            }
        }
        true
    }
}
