use std::collections::BTreeMap;
use std::sync::Arc;

use rattanwinch_types::Organisation;
use smallvec::SmallVec;

use crate::policy::placement::Pricing;
use crate::policy::placement::Wanted;
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
    /// The owner.
    pub organisation: Organisation,
    /// Its accelerators.
    pub accelerators: u32,
    /// Where it lies; empty if it can't be placed now.
    pub home: Slots,
    /// The owner's jobs that have accelerators in it.
    pub users: SmallVec<[JobId; 2]>,
}

/// The place of each guaranteed block.
///
/// Every block has a home: usable accelerators that no other block has, with the block's
/// adjacency. The homes are the proof that all guarantees can be reclaimed together, because
/// work within a guarantee runs only in its owner's homes and everything else can be evicted. A
/// home may move while its owner doesn't use it, so that borrowers need not be evicted.
#[derive(Clone, Debug, Default)]
pub(crate) struct GuaranteePlan {
    blocks: BTreeMap<BlockId, Block>,
    by_organisation: BTreeMap<Organisation, Vec<BlockId>>,
    next: u32,
    /// The number of each organisation that ever had a guarantee here.
    owners: BTreeMap<Organisation, u32>,
    /// Blocks without a home.
    unplaced: Vec<BlockId>,
}

/// Homes are placed where they split the fewest larger blocks of the space without homes.
struct HomePricing;

impl HomePricing {
    fn space(worker: &Worker) -> u8 {
        worker.usable() & !worker.homes & !worker.guaranteed
    }
}

impl Pricing for HomePricing {
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

    pub(crate) fn of(&self, organisation: &Organisation) -> &[BlockId] {
        self.by_organisation
            .get(organisation)
            .map_or(&[], Vec::as_slice)
    }

    pub(crate) fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.by_organisation.keys()
    }

    /// Changes the blocks to `counts`: the number of blocks by owner and accelerators. Returns
    /// the jobs that lost their block and are borrowers from now on.
    pub(crate) fn set_counts(
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
        let mut dismissed = Vec::new();
        for id in surplus {
            self.clear_home(id, pool);
            if let Some(block) = self.blocks.remove(&id) {
                dismissed.extend(block.users);
            }
        }
        for ((organisation, accelerators), count) in missing {
            for _ in 0..count {
                self.add(&organisation, accelerators);
            }
        }
        self.index();
        dismissed
    }

    fn add(&mut self, organisation: &Organisation, accelerators: u32) {
        let block = Block {
            organisation: organisation.clone(),
            accelerators,
            home: Slots::new(),
            users: SmallVec::new(),
        };
        let id = BlockId {
            owner: self.owner_number(organisation),
            number: self.next,
        };
        self.blocks.insert(id, block);
        self.next += 1;
    }

    fn owner_number(&mut self, organisation: &Organisation) -> u32 {
        let next = u32::try_from(self.owners.len()).expect("fewer than 2^32 organisations");
        *self.owners.entry(organisation.clone()).or_insert(next)
    }

    /// The number of an organisation with a guarantee.
    pub(crate) fn owner(&self, organisation: &Organisation) -> Option<u32> {
        self.owners.get(organisation).copied()
    }

    fn index(&mut self) {
        self.by_organisation.clear();
        self.unplaced.clear();
        for (id, block) in &self.blocks {
            let ids = self
                .by_organisation
                .entry(block.organisation.clone())
                .or_default();
            ids.push(*id);
            if block.home.is_empty() {
                self.unplaced.push(*id);
            }
        }
    }

    /// Gives homes to blocks that have none. If that fails, all unused homes are placed anew,
    /// largest first, and the outcome with more guaranteed accelerators in place is kept.
    pub(crate) fn place_missing(&mut self, pool: &mut WorkerPool) {
        if self.place_unplaced(pool) || !self.has_space_for_unplaced(pool) {
            return;
        }
        let movable = |block: &Block| block.users.is_empty() && !block.home.is_empty();
        let before: Vec<(BlockId, Slots)> = self
            .iter()
            .filter(|(_, block)| movable(block))
            .map(|(id, block)| (id, block.home.clone()))
            .collect();
        let placed_before = self.placed_accelerators();
        for (id, _) in &before {
            self.clear_home(*id, pool);
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
            self.clear_home(id, pool);
        }
        for (id, home) in before {
            self.set_home(id, home, pool);
        }
    }

    /// Whether the accelerators outside all homes are enough for the smallest block without one.
    /// While workers report one by one after a takeover they hardly ever are, and placing all
    /// homes anew for each worker would be wasted.
    fn has_space_for_unplaced(&self, pool: &WorkerPool) -> bool {
        let sizes = self.unplaced.iter().map(|id| self.blocks[id].accelerators);
        let space = pool.iter().map(|(_, worker)| HomePricing::space(worker));
        let space: u32 = space.map(u8::count_ones).sum();
        sizes.min().is_some_and(|smallest| smallest <= space)
    }

    fn placed_accelerators(&self) -> u32 {
        let placed = self.blocks.values().filter(|block| !block.home.is_empty());
        placed.map(|block| block.accelerators).sum()
    }

    /// Places blocks without a home, largest first. True if none is left without.
    fn place_unplaced(&mut self, pool: &mut WorkerPool) -> bool {
        let mut waiting = std::mem::take(&mut self.unplaced);
        waiting.sort_by_key(|id| (std::cmp::Reverse(self.blocks[id].accelerators), *id));
        let mut too_large = None;
        for id in waiting {
            let accelerators = self.blocks[&id].accelerators;
            let found = match Wanted::of_guarantee(accelerators) {
                Some(wanted) if too_large != Some(accelerators) => {
                    solver::solve(pool, wanted, &HomePricing)
                }
                _ => None,
            };
            match found {
                Some(home) => self.set_home(id, home, pool),
                None => {
                    too_large = Some(accelerators);
                    self.unplaced.push(id);
                }
            }
        }
        self.unplaced.is_empty()
    }

    /// Moves an unused block to another home.
    pub(crate) fn move_home(&mut self, id: BlockId, home: Slots, pool: &mut WorkerPool) {
        self.clear_home(id, pool);
        self.set_home(id, home, pool);
    }

    pub(crate) fn set_home(&mut self, id: BlockId, home: Slots, pool: &mut WorkerPool) {
        for slot in &home {
            let worker = pool.get_mut(slot.worker);
            worker.homes |= slot.bits;
            worker.blocks.push((id, slot.bits));
        }
        self.unplaced.retain(|other| *other != id);
        if let Some(block) = self.blocks.get_mut(&id) {
            block.home = home;
        }
    }

    pub(crate) fn clear_home(&mut self, id: BlockId, pool: &mut WorkerPool) {
        let Some(block) = self.blocks.get_mut(&id) else {
            return;
        };
        for slot in std::mem::take(&mut block.home) {
            let worker = pool.get_mut(slot.worker);
            worker.homes &= !slot.bits;
            worker.blocks.retain(|(other, _)| *other != id);
        }
        if !self.unplaced.contains(&id) {
            self.unplaced.push(id);
        }
    }

    /// Takes the homes of unused blocks off workers that can't be used, and away from where
    /// their parts are no longer adjacent because a rack is new in the row.
    pub(crate) fn leave_unusable(&mut self, pool: &mut WorkerPool) {
        for id in pool.ids() {
            if !pool.get(id).is_usable() {
                self.leave(pool, id);
            }
        }
        let is_apart = |block: &Block| {
            let wanted = Wanted::of_guarantee(block.accelerators);
            let is_movable = block.users.is_empty() && block.home.len() > 1;
            is_movable && wanted.is_some_and(|w| !solver::is_adjacent(pool, &block.home, w))
        };
        let apart: Vec<BlockId> = self
            .iter()
            .filter(|(_, block)| is_apart(block))
            .map(|(id, _)| id)
            .collect();
        for id in apart {
            self.clear_home(id, pool);
        }
    }

    /// Takes the homes of unused blocks off the worker.
    pub(crate) fn leave(&mut self, pool: &mut WorkerPool, worker: WorkerId) {
        let blocks = pool.get(worker).blocks.iter();
        let unused: Vec<BlockId> = blocks
            .map(|(block, _)| *block)
            .filter(|block| self.blocks[block].users.is_empty())
            .collect();
        for block in unused {
            self.clear_home(block, pool);
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

    /// Ends the job's use of the blocks. A block that becomes unused gives up a home that has a
    /// worker that can't be used; true if one did.
    pub(crate) fn unbind(&mut self, job: JobId, ids: &[BlockId], pool: &mut WorkerPool) -> bool {
        let mut cleared = false;
        for id in ids {
            let Some(block) = self.blocks.get_mut(id) else {
                continue;
            };
            block.users.retain(|user| *user != job);
            let broken = |slot: &Slot| !pool.get(slot.worker).is_usable();
            if block.users.is_empty() && block.home.iter().any(broken) {
                self.clear_home(*id, pool);
                cleared = true;
            }
        }
        cleared
    }

    /// The sentence for a block that can't be reclaimed now, or `None` if it can.
    pub(crate) fn unmet_cause(&self, block: &Block, pool: &WorkerPool) -> Option<Arc<str>> {
        if block.home.is_empty() {
            let size = block.accelerators;
            return Some(Arc::from(format!(
                "no usable adjacent accelerators are left for a block of {size}; workers are \
                 lost, excluded or quarantined, or the guarantees exceed the availability zone"
            )));
        }
        let broken = |slot: &&Slot| !pool.get(slot.worker).is_usable();
        let slot = block.home.iter().find(broken)?;
        let target = &pool.get(slot.worker).info.target;
        Some(Arc::from(format!(
            "worker {target} can't be used, and other work of the owner still runs in the block"
        )))
    }
}
