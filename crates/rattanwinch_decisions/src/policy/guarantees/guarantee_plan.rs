use std::collections::BTreeMap;
use std::sync::Arc;

use rattanwinch_types::Organisation;
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
use crate::policy::workers::WorkerPool;
use crate::policy::workers::blocks;

/// One block of a guarantee.
#[derive(Clone, Debug)]
pub(crate) struct Block {
    /// Organisation that owns the block.
    pub organisation: Organisation,
    /// Size of the block in accelerators.
    pub accelerators: u32,
    /// Location of the block; empty if it can't be placed now.
    pub location: Slots,
    /// Jobs of the owner that use accelerators of the block.
    pub users: SmallVec<[JobId; 2]>,
}

/// Locations of all guaranteed blocks.
///
/// Every block has a location: usable accelerators that no other block has, with the block's
/// adjacency. All guarantees can therefore be reclaimed together, because guaranteed work runs only
/// in its owner's blocks and all other work can be evicted. A block may move while its owner
/// doesn't use it, so that borrowers need not be evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct GuaranteePlan {
    blocks: BTreeMap<BlockId, Block>,
    by_organisation: BTreeMap<Organisation, Vec<BlockId>>,
    next_block_number: u32,
    /// Numeric id of each organisation that has ever had a guarantee here.
    owners: BTreeMap<Organisation, u32>,
    /// Blocks without a location.
    unplaced: Vec<BlockId>,
}

/// Costs of block locations: prefers to split the fewest larger blocks of the accelerators outside
/// all guaranteed blocks.
struct LocationCost;

impl LocationCost {
    fn space(worker: &Worker) -> u8 {
        worker.usable_accelerators() & !worker.block_accelerators & !worker.guaranteed
    }
}

impl CostModel for LocationCost {
    fn allowed(&self, _id: WorkerId, worker: &Worker) -> u8 {
        Self::space(worker)
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        blocks::split_levels(Self::space(worker), bits)
    }
}

impl GuaranteePlan {
    pub(crate) fn block(&self, id: BlockId) -> &Block {
        &self.blocks[&id]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (BlockId, &Block)> {
        self.blocks.iter().map(|(id, block)| (*id, block))
    }

    pub(crate) fn blocks_owned_by(&self, organisation: &Organisation) -> &[BlockId] {
        self.by_organisation
            .get(organisation)
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.by_organisation.keys()
    }

    /// Changes the blocks to `counts`, the number of blocks by owner and size. Returns the jobs
    /// that lost their block and are borrowers from now on.
    pub(crate) fn set_block_counts(
        &mut self,
        counts: &BTreeMap<(Organisation, u32), u32>,
        pool: &mut WorkerPool,
    ) -> Vec<JobId> {
        let mut missing = counts.clone();
        let mut surplus = Vec::new();
        let mut by_use: Vec<(bool, BlockId)> = self
            .iter()
            .map(|(id, block)| (block.users.is_empty(), id))
            .collect();
        by_use.sort_unstable();
        for (_, id) in by_use {
            let block = &self.blocks[&id];
            let key = (block.organisation.clone(), block.accelerators);
            match missing.get_mut(&key) {
                Some(left) if *left > 0 => *left -= 1,
                _ => surplus.push(id),
            }
        }
        let mut displaced_jobs = Vec::new();
        for id in surplus {
            self.unplace_block(id, pool);
            if let Some(block) = self.blocks.remove(&id) {
                displaced_jobs.extend(block.users);
            }
        }
        for ((organisation, accelerators), count) in missing {
            for _ in 0..count {
                self.add_block(&organisation, accelerators);
            }
        }
        self.rebuild_index();
        displaced_jobs
    }

    fn add_block(&mut self, organisation: &Organisation, accelerators: u32) {
        let block = Block {
            organisation: organisation.clone(),
            accelerators,
            location: Slots::new(),
            users: SmallVec::new(),
        };
        let id = BlockId {
            owner: self.get_or_assign_owner_id(organisation),
            number: self.next_block_number,
        };
        self.blocks.insert(id, block);
        self.next_block_number += 1;
    }

    fn get_or_assign_owner_id(&mut self, organisation: &Organisation) -> u32 {
        let next = u32::try_from(self.owners.len()).expect("fewer than 2^32 organisations");
        *self.owners.entry(organisation.clone()).or_insert(next)
    }

    /// Numeric id of an organisation with a guarantee.
    pub(crate) fn owner_id(&self, organisation: &Organisation) -> Option<u32> {
        self.owners.get(organisation).copied()
    }

    fn rebuild_index(&mut self) {
        self.by_organisation.clear();
        self.unplaced.clear();
        for (id, block) in &self.blocks {
            let ids = self
                .by_organisation
                .entry(block.organisation.clone())
                .or_default();
            ids.push(*id);
            if block.location.is_empty() {
                self.unplaced.push(*id);
            }
        }
    }

    /// Places the blocks that have no location. If that fails, all unused blocks are repacked,
    /// largest first, and the result with more placed accelerators is kept.
    pub(crate) fn place_or_repack(&mut self, pool: &mut WorkerPool) {
        if self.place_unplaced(pool) || !self.has_space_for_unplaced(pool) {
            return;
        }
        let movable = |block: &Block| block.users.is_empty() && !block.location.is_empty();
        let before: Vec<(BlockId, Slots)> = self
            .iter()
            .filter(|(_, block)| movable(block))
            .map(|(id, block)| (id, block.location.clone()))
            .collect();
        let placed_before = self.placed_accelerators();
        for (id, _) in &before {
            self.unplace_block(*id, pool);
        }
        self.place_unplaced(pool);
        if self.placed_accelerators() > placed_before {
            return;
        }
        let unused: Vec<BlockId> = self
            .iter()
            .filter(|(_, block)| movable(block))
            .map(|(id, _)| id)
            .collect();
        for id in unused {
            self.unplace_block(id, pool);
        }
        for (id, location) in before {
            self.place_block(id, location, pool);
        }
    }

    /// Whether the accelerators outside all blocks suffice for the smallest unplaced block. While
    /// workers report one by one after a takeover, these accelerators rarely suffice, and repacking
    /// for each worker would be wasted work.
    fn has_space_for_unplaced(&self, pool: &WorkerPool) -> bool {
        let sizes = self.unplaced.iter().map(|id| self.blocks[id].accelerators);
        let space = pool.iter().map(|(_, worker)| LocationCost::space(worker));
        let space: u32 = space.map(u8::count_ones).sum();
        sizes.min().is_some_and(|smallest| smallest <= space)
    }

    fn placed_accelerators(&self) -> u32 {
        let placed = self
            .blocks
            .values()
            .filter(|block| !block.location.is_empty());
        placed.map(|block| block.accelerators).sum()
    }

    /// Places unplaced blocks, largest first. Returns true if none is left.
    fn place_unplaced(&mut self, pool: &mut WorkerPool) -> bool {
        let mut waiting = std::mem::take(&mut self.unplaced);
        waiting.sort_by_key(|id| (std::cmp::Reverse(self.blocks[id].accelerators), *id));
        let mut too_large = None;
        for id in waiting {
            let accelerators = self.blocks[&id].accelerators;
            let found = match PlacementRequest::for_block(accelerators) {
                Some(request) if too_large != Some(accelerators) => {
                    solver::solve(pool, request, &LocationCost)
                }
                _ => None,
            };
            match found {
                Some(location) => self.place_block(id, location, pool),
                None => {
                    too_large = Some(accelerators);
                    self.unplaced.push(id);
                }
            }
        }
        self.unplaced.is_empty()
    }

    /// Moves an unused block to another location.
    pub(crate) fn move_block(&mut self, id: BlockId, location: Slots, pool: &mut WorkerPool) {
        self.unplace_block(id, pool);
        self.place_block(id, location, pool);
    }

    pub(crate) fn place_block(&mut self, id: BlockId, location: Slots, pool: &mut WorkerPool) {
        for slot in &location {
            let worker = pool.get_mut(slot.worker);
            worker.block_accelerators |= slot.bits;
            worker.blocks.push((id, slot.bits));
        }
        self.unplaced.retain(|other| *other != id);
        if let Some(block) = self.blocks.get_mut(&id) {
            block.location = location;
        }
    }

    pub(crate) fn unplace_block(&mut self, id: BlockId, pool: &mut WorkerPool) {
        let Some(block) = self.blocks.get_mut(&id) else {
            return;
        };
        for slot in std::mem::take(&mut block.location) {
            let worker = pool.get_mut(slot.worker);
            worker.block_accelerators &= !slot.bits;
            worker.blocks.retain(|(other, _)| *other != id);
        }
        if !self.unplaced.contains(&id) {
            self.unplaced.push(id);
        }
    }

    /// Removes the locations of unused blocks on unusable workers, and of blocks that are no longer
    /// adjacent because a rack was added.
    pub(crate) fn unplace_unusable_blocks(&mut self, pool: &mut WorkerPool) {
        for id in pool.ids() {
            if !pool.get(id).is_usable() {
                self.unplace_unused_blocks(pool, id);
            }
        }
        let is_not_adjacent = |block: &Block| {
            let request = PlacementRequest::for_block(block.accelerators);
            let is_movable = block.users.is_empty() && block.location.len() > 1;
            is_movable
                && request
                    .is_some_and(|requested| !solver::is_adjacent(pool, &block.location, requested))
        };
        let non_adjacent: Vec<BlockId> = self
            .iter()
            .filter(|(_, block)| is_not_adjacent(block))
            .map(|(id, _)| id)
            .collect();
        for id in non_adjacent {
            self.unplace_block(id, pool);
        }
    }

    /// Removes the locations of unused blocks on the worker.
    pub(crate) fn unplace_unused_blocks(&mut self, pool: &mut WorkerPool, worker: WorkerId) {
        let blocks = pool.get(worker).blocks.iter();
        let unused: Vec<BlockId> = blocks
            .map(|(block, _)| *block)
            .filter(|block| self.blocks[block].users.is_empty())
            .collect();
        for block in unused {
            self.unplace_block(block, pool);
        }
    }

    /// Marks the blocks as used by the job.
    pub(crate) fn bind(&mut self, job: JobId, ids: &[BlockId]) {
        for id in ids {
            if let Some(block) = self.blocks.get_mut(id) {
                block.users.push(job);
            }
        }
    }

    /// Ends the job's use of the blocks. A block that becomes unused loses its location if a worker
    /// of it is unusable; returns true in that case.
    pub(crate) fn unbind(&mut self, job: JobId, ids: &[BlockId], pool: &mut WorkerPool) -> bool {
        let mut lost_location = false;
        for id in ids {
            let Some(block) = self.blocks.get_mut(id) else {
                continue;
            };
            block.users.retain(|user| *user != job);
            let is_unusable = |slot: &Slot| !pool.get(slot.worker).is_usable();
            if block.users.is_empty() && block.location.iter().any(is_unusable) {
                self.unplace_block(*id, pool);
                lost_location = true;
            }
        }
        lost_location
    }

    /// Explains why a block can't be reclaimed now; `None` if it can.
    pub(crate) fn unmet_cause(&self, block: &Block, pool: &WorkerPool) -> Option<Arc<str>> {
        if block.location.is_empty() {
            let size = block.accelerators;
            return Some(Arc::from(format!(
                "no usable adjacent accelerators are left for a block of {size}; workers are \
                 lost, excluded or quarantined, or the guarantees exceed the availability zone"
            )));
        }
        let is_unusable = |slot: &&Slot| !pool.get(slot.worker).is_usable();
        let slot = block.location.iter().find(is_unusable)?;
        let target = &pool.get(slot.worker).info.target;
        Some(Arc::from(format!(
            "worker {target} can't be used, and other work of the owner still runs in the block"
        )))
    }
}
