//! The invariants, as the program itself checks them.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use crate::policy::guarantees::Block;
use crate::policy::outcomes::Decision;
use crate::policy::placement::Wanted;
use crate::policy::placement::solver;
use crate::policy::queue::Allocation;
use crate::policy::workers::BlockId;
use crate::policy::workers::JobId;
use crate::policy::workers::Slot;
use crate::policy::workers::Tenure;
use crate::policy::workers::Worker;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How often a release build checks the whole state. The check reads every worker and job, about
/// 1 ms on 5,700 workers, which is too much for each decision. Starts are always checked.
const FULL_CHECK_EVERY: Duration = Duration::from_secs(10);

/// What the first broken invariant says.
type Result = std::result::Result<(), String>;

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result {
    if holds { Ok(()) } else { Err(message()) }
}

impl ZonePolicy {
    /// Checks the decisions and the state; counts a violation and fails in debug builds.
    pub(super) fn verify(&mut self, now: Timestamp, decisions: &[Decision]) {
        let mut checked = self.check_starts(decisions);
        let is_due = |at| now.since(at) >= FULL_CHECK_EVERY;
        if cfg!(debug_assertions) || self.checked_at.is_none_or(is_due) {
            self.checked_at = Some(now);
            checked = checked.and_then(|()| self.check_invariants());
        }
        if let Err(broken) = &checked {
            self.violations += 1;
            debug_assert!(false, "invariant broken: {broken}");
        }
    }

    /// Checks all invariants of the state.
    ///
    /// # Errors
    ///
    /// The sentence that says which invariant is broken and where.
    pub fn check_invariants(&self) -> std::result::Result<(), String> {
        for (_, worker) in self.pool.iter() {
            self.check_worker(worker)?;
        }
        for (id, block) in self.plan.iter() {
            self.check_block(id, block)?;
        }
        self.check_jobs()
    }

    /// No accelerator is granted twice, and the worker's sets follow from its jobs and blocks.
    fn check_worker(&self, worker: &Worker) -> Result {
        let target = &worker.info.target;
        let (mut taken, mut reserved, mut guaranteed, mut homes) = (0, 0, 0, 0);
        for occupant in &worker.occupants {
            let own = match occupant.tenure {
                Tenure::Reserved => &mut reserved,
                Tenure::Taken | Tenure::Leaving => &mut taken,
            };
            ensure(*own & occupant.bits == 0, || {
                format!("an accelerator of {target} is granted twice")
            })?;
            *own |= occupant.bits;
            if occupant.is_guaranteed {
                guaranteed |= occupant.bits;
            }
        }
        for (_, bits) in &worker.blocks {
            ensure(homes & bits == 0, || {
                format!("an accelerator of {target} is guaranteed twice")
            })?;
            homes |= bits;
        }
        let counted = (
            worker.taken,
            worker.reserved,
            worker.guaranteed,
            worker.homes,
        );
        ensure(counted == (taken, reserved, guaranteed, homes), || {
            format!("the sets of {target} don't follow from its jobs and blocks")
        })?;
        ensure(worker.guaranteed & !worker.homes == 0, || {
            format!("work within a guarantee lies outside all guaranteed blocks of {target}")
        })?;
        ensure(self.head.is_some() || worker.shadow == 0, || {
            format!("accelerators of {target} are kept for no job")
        })
    }

    /// An unused block lies on usable accelerators with the block's adjacency, free of other
    /// work within guarantees, so it can be reclaimed by evicting borrowers.
    fn check_block(&self, id: BlockId, block: &Block) -> Result {
        if block.home.is_empty() {
            return ensure(block.users.is_empty(), || {
                format!("{id:?} is used without a home")
            });
        }
        let count: u32 = block.home.iter().map(|slot| slot.bits.count_ones()).sum();
        ensure(count == block.accelerators, || {
            format!("{id:?} has a home of another size")
        })?;
        for slot in &block.home {
            let blocks = &self.pool.get(slot.worker).blocks;
            ensure(blocks.contains(&(id, slot.bits)), || {
                format!("the worker of {id:?} doesn't know it")
            })?;
        }
        if self.is_plan_changed || !block.users.is_empty() {
            return Ok(());
        }
        for slot in &block.home {
            let worker = self.pool.get(slot.worker);
            let can_be_reclaimed = worker.usable() & slot.bits == slot.bits;
            ensure(
                can_be_reclaimed && worker.guaranteed & slot.bits == 0,
                || format!("{id:?} of {} can't be reclaimed", block.organisation),
            )?;
        }
        let wanted = Wanted::of_guarantee(block.accelerators);
        let is_adjacent =
            wanted.is_some_and(|wanted| solver::is_adjacent(&self.pool, &block.home, wanted));
        ensure(is_adjacent, || format!("{id:?} isn't adjacent"))
    }

    /// Each job is in one state, its accelerators are marked, and the counts add up.
    fn check_jobs(&self) -> Result {
        let jobs = self.queue.len() + self.reclaiming.len() + self.active.len();
        ensure(jobs == self.ids.len(), || {
            format!("{jobs} jobs are known by {} keys", self.ids.len())
        })?;
        let mut usage: BTreeMap<&Organisation, u32> = BTreeMap::new();
        let mut granted = 0;
        let active = self
            .active
            .iter()
            .map(|(id, job)| (*id, job.spec(), job.allocation()));
        let reclaiming = self
            .reclaiming
            .iter()
            .map(|(id, job)| (*id, &job.spec, &job.state.allocation));
        for (id, spec, allocation) in active.chain(reclaiming) {
            granted += allocation.slots.len();
            *usage.entry(&spec.key.organisation).or_default() += spec.shape.accelerators();
            self.check_allocation(id, allocation, &spec.key.organisation)?;
        }
        let occupants: usize = self.pool.iter().map(|(_, w)| w.occupants.len()).sum();
        ensure(occupants == granted, || {
            format!("{granted} tasks are placed, but workers have {occupants}")
        })?;
        let counted = self.usage.iter().filter(|(_, used)| **used > 0);
        let counted: BTreeMap<&Organisation, u32> = counted.map(|(name, n)| (name, *n)).collect();
        ensure(counted == usage, || {
            "the organisations' usage doesn't add up".to_owned()
        })
    }

    /// The workers know the job, and work within a guarantee lies in its owner's blocks.
    fn check_allocation(&self, id: JobId, own: &Allocation, owner: &Organisation) -> Result {
        for slot in &own.slots {
            let worker = self.pool.get(slot.worker);
            let is_known = worker
                .occupants
                .iter()
                .any(|job| job.job == id && job.bits == slot.bits);
            ensure(is_known, || {
                format!("{} doesn't know {id:?}", worker.info.target)
            })?;
            if own.is_guaranteed() {
                let is_used = |(block, _): &&(BlockId, u8)| own.blocks.contains(block);
                let used = worker.blocks.iter().filter(is_used);
                let inside = used.fold(0, |all, (_, bits)| all | bits);
                ensure(slot.bits & !inside == 0, || {
                    format!("{id:?} lies outside the blocks of its guarantee")
                })?;
            }
        }
        for block in &own.blocks {
            let block = self.plan.block(*block);
            let is_own = block.organisation == *owner && block.users.contains(&id);
            ensure(is_own, || {
                format!("{id:?} uses a block of {}", block.organisation)
            })?;
        }
        Ok(())
    }

    /// Nothing starts in a closed zone or on a worker that can't be used, and placements have
    /// the shape and the adjacency of their job.
    fn check_starts(&self, decisions: &[Decision]) -> Result {
        for decision in decisions {
            let Decision::Start { key, placement, .. } = decision else {
                continue;
            };
            ensure(self.rules.closure.is_none(), || {
                format!("{key} starts in a closed zone")
            })?;
            let job = self.ids.get(key).and_then(|id| self.active.get(id));
            let Some(job) = job else {
                return Err(format!("{key} starts without accelerators"));
            };
            let wanted = Wanted::of_shape(job.spec().shape);
            let slots = &job.allocation().slots;
            let size = u32::from(wanted.size);
            let has_shape = slots.len() == placement.tasks.len()
                && slots.len() == wanted.count as usize
                && slots.iter().all(|slot| slot.bits.count_ones() == size);
            ensure(has_shape, || format!("{key} starts in another shape"))?;
            ensure(solver::is_adjacent(&self.pool, slots, wanted), || {
                format!("{key} isn't adjacent")
            })?;
            let can_start = |slot: &Slot| {
                let worker = self.pool.get(slot.worker);
                worker.usable() & slot.bits == slot.bits && worker.reserved & slot.bits == 0
            };
            ensure(slots.iter().all(can_start), || {
                format!("{key} starts on accelerators that can't be used")
            })?;
        }
        Ok(())
    }
}
