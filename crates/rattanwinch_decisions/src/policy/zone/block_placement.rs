//! Placement of guaranteed blocks after workers, guarantees or the decider have changed.

use rattanwinch_types::MAX_GANG_TASKS;
use smallvec::SmallVec;

use crate::policy::placement::CostModel;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::workers::BlockId;
use crate::policy::workers::JobId;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::workers::blocks;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Costs for placing a large block around a running job: the job's workers are preferred.
struct AroundSlotCost<'a> {
    policy: &'a ZonePolicy,
    slot: Slot,
    job: &'a Slots,
}

impl CostModel for AroundSlotCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        let whole = Slots::from_elem(
            Slot {
                worker: id,
                bits: u8::MAX,
            },
            1,
        );
        let is_possible =
            worker.all_accelerators() == u8::MAX && self.policy.can_hold_block(&whole);
        if is_possible { u8::MAX } else { 0 }
    }

    fn cost(&self, worker: &Worker, _bits: u8) -> u64 {
        let is_on =
            |slot: &Slot| self.policy.pool.get(slot.worker).info.target == worker.info.target;
        if is_on(&self.slot) {
            0
        } else if self.job.iter().any(is_on) {
            1
        } else {
            u64::from(MAX_GANG_TASKS) + 1
        }
    }
}

impl ZonePolicy {
    /// Updates the locations of guaranteed blocks: binds restored jobs to the blocks they lie in,
    /// moves unused blocks off unusable workers, and places blocks without a location.
    pub(super) fn update_plan(&mut self) {
        if !std::mem::take(&mut self.is_plan_changed) {
            return;
        }
        self.plan.unplace_unusable_blocks(&mut self.pool);
        for id in std::mem::take(&mut self.unbound_jobs) {
            if !self.bind_restored_job(id) && self.active.contains_key(&id) {
                self.unbound_jobs.insert(id);
            }
        }
        self.plan.place_or_repack(&mut self.pool);
    }

    /// Binds a running job to unused blocks of its organisation that fit around its accelerators,
    /// so that it counts as within the guarantee. If some task gets no block, the job stays a
    /// borrower.
    fn bind_restored_job(&mut self, id: JobId) -> bool {
        let Some(job) = self.active.get(&id) else {
            return false;
        };
        let organisation = job.spec().key.organisation.clone();
        let slots = job.allocation().slots.clone();
        let mut chosen: Vec<(BlockId, Slots)> = Vec::new();
        for slot in &slots {
            let is_covered = chosen.iter().any(|(_, location)| covers(location, *slot));
            if is_covered {
                continue;
            }
            let taken: Vec<BlockId> = chosen.iter().map(|(id, _)| *id).collect();
            let unused = self
                .plan
                .blocks_owned_by(&organisation)
                .iter()
                .copied()
                .filter(|block| self.plan.block(*block).users.is_empty() && !taken.contains(block));
            let found = unused
                .filter_map(|block| Some((block, self.location_around(block, *slot, &slots)?)))
                .find(|(_, location)| chosen.iter().all(|(_, other)| !overlap(location, other)));
            match found {
                Some(found) => chosen.push(found),
                None => return false,
            }
        }
        for (block, location) in &chosen {
            self.unplace_overlapping(location, *block);
            self.plan
                .move_block(*block, location.clone(), &mut self.pool);
        }
        let blocks: SmallVec<[BlockId; 2]> = chosen.into_iter().map(|(block, _)| block).collect();
        self.plan.bind(id, &blocks);
        self.pool
            .change_occupant(id, &slots, |occupant| occupant.is_guaranteed = true);
        if let Some(job) = self.active.get_mut(&id) {
            job.allocation_mut().blocks = blocks;
        }
        true
    }

    /// Finds a location for the block around the slot, on usable accelerators without blocks in
    /// use. Blocks larger than a worker prefer the other workers of the job.
    fn location_around(&self, block: BlockId, slot: Slot, job: &Slots) -> Option<Slots> {
        let size = self.plan.block(block).accelerators;
        if size <= 8 {
            let size = u8::try_from(size).ok()?;
            if !matches!(size, 1 | 2 | 4 | 8) {
                return None;
            }
            let all = self.pool.get(slot.worker).all_accelerators();
            let bits = blocks::each_block(all, size).find(|bits| bits & slot.bits == slot.bits)?;
            let location = Slots::from_elem(Slot { bits, ..slot }, 1);
            return self.can_hold_block(&location).then_some(location);
        }
        self.large_location_around(size, slot, job)
    }

    /// Finds whole workers for a block larger than one worker: the slot's worker, then others of
    /// the job.
    fn large_location_around(&self, size: u32, slot: Slot, job: &Slots) -> Option<Slots> {
        let request = PlacementRequest::for_block(size)?;
        let cost_model = AroundSlotCost {
            policy: self,
            slot,
            job,
        };
        let location = solver::solve(&self.pool, request, &cost_model)?;
        covers(&location, slot).then_some(location)
    }

    /// Whether the slots are usable and hold no block in use and no guaranteed work.
    pub(super) fn can_hold_block(&self, location: &Slots) -> bool {
        location.iter().all(|slot| {
            let worker = self.pool.get(slot.worker);
            let used = worker
                .blocks
                .iter()
                .any(|(id, bits)| bits & slot.bits != 0 && !self.plan.block(*id).users.is_empty());
            let is_usable = worker.usable_accelerators() & slot.bits == slot.bits;
            is_usable && !used && worker.guaranteed & slot.bits == 0
        })
    }

    /// Removes the locations of other blocks on the slots; these blocks are placed elsewhere later.
    fn unplace_overlapping(&mut self, location: &Slots, except: BlockId) {
        for slot in location {
            let worker = self.pool.get(slot.worker);
            let others: Vec<BlockId> = worker
                .blocks
                .iter()
                .filter(|(id, bits)| *id != except && bits & slot.bits != 0)
                .map(|(id, _)| *id)
                .collect();
            for other in others {
                self.plan.unplace_block(other, &mut self.pool);
            }
        }
    }
}

fn covers(location: &Slots, slot: Slot) -> bool {
    location
        .iter()
        .any(|part| part.worker == slot.worker && part.bits & slot.bits == slot.bits)
}

fn overlap(left: &Slots, right: &Slots) -> bool {
    let meets = |slot: &Slot| {
        right
            .iter()
            .any(|other| other.worker == slot.worker && other.bits & slot.bits != 0)
    };
    left.iter().any(meets)
}
