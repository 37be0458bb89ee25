//! The homes of guaranteed blocks after workers, guarantees or the decider have changed.

use rattanwinch_types::MAX_GANG_TASKS;
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
use crate::policy::workers::blocks;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Prices for a large block around a running job: its workers come first.
struct Around<'a> {
    policy: &'a ZonePolicy,
    slot: Slot,
    job: &'a Slots,
}

impl Pricing for Around<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        let whole = Slots::from_elem(
            Slot {
                worker: id,
                bits: u8::MAX,
            },
            1,
        );
        let is_possible = worker.all() == u8::MAX && self.policy.can_be_home(&whole);
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
    /// Brings the homes up to date: restored jobs get the blocks they lie in, unused homes leave
    /// workers that can't be used, and blocks without a home get one.
    pub(super) fn update_plan(&mut self) {
        if !std::mem::take(&mut self.is_plan_changed) {
            return;
        }
        self.plan.leave_unusable(&mut self.pool);
        for id in std::mem::take(&mut self.unbound) {
            if !self.rebind(id) && self.active.contains_key(&id) {
                self.unbound.insert(id);
            }
        }
        self.plan.place_missing(&mut self.pool);
    }

    /// Gives a running job the unused blocks of its organisation that can lie around its
    /// accelerators, so that it counts as work within the guarantee. All its tasks get one, or
    /// the job stays a borrower.
    fn rebind(&mut self, id: JobId) -> bool {
        let Some(job) = self.active.get(&id) else {
            return false;
        };
        let organisation = job.spec().key.organisation.clone();
        let slots = job.allocation().slots.clone();
        let mut chosen: Vec<(BlockId, Slots)> = Vec::new();
        for slot in &slots {
            let is_covered = chosen.iter().any(|(_, home)| covers(home, *slot));
            if is_covered {
                continue;
            }
            let taken: Vec<BlockId> = chosen.iter().map(|(id, _)| *id).collect();
            let unused =
                self.plan.of(&organisation).iter().copied().filter(|block| {
                    self.plan.block(*block).users.is_empty() && !taken.contains(block)
                });
            let found = unused
                .filter_map(|block| Some((block, self.home_around(block, *slot, &slots)?)))
                .find(|(_, home)| chosen.iter().all(|(_, other)| !overlap(home, other)));
            match found {
                Some(found) => chosen.push(found),
                None => return false,
            }
        }
        for (block, home) in &chosen {
            self.displace(home, *block);
            self.plan.move_home(*block, home.clone(), &mut self.pool);
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

    /// A home of the block around the slot, on usable accelerators without used homes; larger
    /// blocks take the other workers of the job first.
    fn home_around(&self, block: BlockId, slot: Slot, job: &Slots) -> Option<Slots> {
        let size = self.plan.block(block).accelerators;
        if size <= 8 {
            let size = u8::try_from(size).ok()?;
            if !matches!(size, 1 | 2 | 4 | 8) {
                return None;
            }
            let all = self.pool.get(slot.worker).all();
            let bits = blocks::each_block(all, size).find(|bits| bits & slot.bits == slot.bits)?;
            let home = Slots::from_elem(Slot { bits, ..slot }, 1);
            return self.can_be_home(&home).then_some(home);
        }
        self.large_home_around(size, slot, job)
    }

    /// Whole workers for a block larger than one worker: the slot's, then others of the job.
    fn large_home_around(&self, size: u32, slot: Slot, job: &Slots) -> Option<Slots> {
        let wanted = Wanted::of_guarantee(size)?;
        let pricing = Around {
            policy: self,
            slot,
            job,
        };
        let home = solver::solve(&self.pool, wanted, &pricing)?;
        covers(&home, slot).then_some(home)
    }

    /// Whether no used home and no guaranteed work lies on the slots, and all are usable.
    pub(super) fn can_be_home(&self, home: &Slots) -> bool {
        home.iter().all(|slot| {
            let worker = self.pool.get(slot.worker);
            let used = worker
                .blocks
                .iter()
                .any(|(id, bits)| bits & slot.bits != 0 && !self.plan.block(*id).users.is_empty());
            let is_usable = worker.usable() & slot.bits == slot.bits;
            is_usable && !used && worker.guaranteed & slot.bits == 0
        })
    }

    /// Takes the homes of unused blocks off the slots; they are placed elsewhere afterwards.
    fn displace(&mut self, home: &Slots, except: BlockId) {
        for slot in home {
            let worker = self.pool.get(slot.worker);
            let others: Vec<BlockId> = worker
                .blocks
                .iter()
                .filter(|(id, bits)| *id != except && bits & slot.bits != 0)
                .map(|(id, _)| *id)
                .collect();
            for other in others {
                self.plan.clear_home(other, &mut self.pool);
            }
        }
    }
}

fn covers(home: &Slots, slot: Slot) -> bool {
    home.iter()
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
