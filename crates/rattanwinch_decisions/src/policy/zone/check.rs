//! Runtime checks of the policy's invariants.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use crate::policy::guarantees::Block;
use crate::policy::outcomes::Decision;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::queue::Allocation;
use crate::policy::workers::BlockId;
use crate::policy::workers::JobId;
use crate::policy::workers::Occupancy;
use crate::policy::workers::Slot;
use crate::policy::workers::Worker;
use crate::policy::zone::zone_policy::ZonePolicy;

/// How often a release build checks the whole state. The check reads all workers and jobs, about 1
/// ms for 5,700 workers, which is too much for each decision. Starts are always checked.
const FULL_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// `Err` describes the first broken invariant.
type Result = std::result::Result<(), String>;

fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result {
    if holds { Ok(()) } else { Err(message()) }
}

impl ZonePolicy {
    /// Checks the decisions and the state; counts a violation and panics in debug builds.
    pub(super) fn check_decisions(&mut self, now: Timestamp, decisions: &[Decision]) {
        let mut checked = self.check_starts(decisions);
        let is_due = |at| now.since(at) >= FULL_CHECK_INTERVAL;
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
    /// Describes which invariant is broken and where.
    pub fn check_invariants(&self) -> std::result::Result<(), String> {
        for (_, worker) in self.pool.iter() {
            self.check_worker(worker)?;
        }
        for (id, block) in self.plan.iter() {
            self.check_block(id, block)?;
        }
        self.check_jobs()
    }

    /// Checks that no accelerator is granted twice and that the worker's sets match its occupants
    /// and blocks.
    fn check_worker(&self, worker: &Worker) -> Result {
        let target = &worker.info.target;
        let (mut taken, mut reserved, mut guaranteed, mut block_accelerators) = (0, 0, 0, 0);
        for occupant in &worker.occupants {
            let own = match occupant.state {
                Occupancy::Reserved => &mut reserved,
                Occupancy::Started | Occupancy::Evicting => &mut taken,
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
            ensure(block_accelerators & bits == 0, || {
                format!("an accelerator of {target} is guaranteed twice")
            })?;
            block_accelerators |= bits;
        }
        let counted = (
            worker.taken,
            worker.reserved,
            worker.guaranteed,
            worker.block_accelerators,
        );
        ensure(
            counted == (taken, reserved, guaranteed, block_accelerators),
            || format!("the sets of {target} don't match its jobs and blocks"),
        )?;
        ensure(worker.guaranteed & !worker.block_accelerators == 0, || {
            format!("work within a guarantee lies outside all guaranteed blocks of {target}")
        })?;
        ensure(self.head.is_some() || worker.head_reserved == 0, || {
            format!("accelerators of {target} are reserved for no job")
        })
    }

    /// Checks that an unused block lies on usable, adjacent accelerators without other guaranteed
    /// work, so that it can be reclaimed by evicting borrowers.
    fn check_block(&self, id: BlockId, block: &Block) -> Result {
        if block.location.is_empty() {
            return ensure(block.users.is_empty(), || {
                format!("{id:?} is used without a location")
            });
        }
        let count: u32 = block
            .location
            .iter()
            .map(|slot| slot.bits.count_ones())
            .sum();
        ensure(count == block.accelerators, || {
            format!("{id:?} has a location of another size")
        })?;
        for slot in &block.location {
            let blocks = &self.pool.get(slot.worker).blocks;
            ensure(blocks.contains(&(id, slot.bits)), || {
                format!("the worker of {id:?} doesn't list it")
            })?;
        }
        if self.is_plan_changed || !block.users.is_empty() {
            return Ok(());
        }
        for slot in &block.location {
            let worker = self.pool.get(slot.worker);
            let can_be_reclaimed = worker.usable_accelerators() & slot.bits == slot.bits;
            ensure(
                can_be_reclaimed && worker.guaranteed & slot.bits == 0,
                || format!("{id:?} of {} can't be reclaimed", block.organisation),
            )?;
        }
        let request = PlacementRequest::for_block(block.accelerators);
        let is_adjacent = request
            .is_some_and(|request| solver::is_adjacent(&self.pool, &block.location, request));
        ensure(is_adjacent, || format!("{id:?} isn't adjacent"))
    }

    /// Checks that each job is in exactly one state, its accelerators are marked, and the counts
    /// match.
    fn check_jobs(&self) -> Result {
        let jobs = self.queue.len() + self.reclaiming.len() + self.active.len();
        ensure(jobs == self.ids.len(), || {
            format!("{jobs} jobs have {} keys", self.ids.len())
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
            format!("{granted} tasks are placed, but workers list {occupants} occupants")
        })?;
        let counted = self.usage.iter().filter(|(_, used)| **used > 0);
        let counted: BTreeMap<&Organisation, u32> = counted.map(|(name, n)| (name, *n)).collect();
        ensure(counted == usage, || {
            "the organisations' usage doesn't match their jobs".to_owned()
        })
    }

    /// Checks that the workers list the job as an occupant, and that a guaranteed job lies in
    /// blocks of its own organisation.
    fn check_allocation(&self, id: JobId, own: &Allocation, owner: &Organisation) -> Result {
        for slot in &own.slots {
            let worker = self.pool.get(slot.worker);
            let is_known = worker
                .occupants
                .iter()
                .any(|job| job.job == id && job.bits == slot.bits);
            ensure(is_known, || {
                format!("{} doesn't list {id:?} as an occupant", worker.info.target)
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

    /// Checks that nothing starts in a closed zone or on an unusable worker, and that each
    /// placement has the shape and the adjacency of its job.
    fn check_starts(&self, decisions: &[Decision]) -> Result {
        for decision in decisions {
            let Decision::Start { key, placement, .. } = decision else {
                continue;
            };
            ensure(self.zone_config.closure_reason.is_none(), || {
                format!("{key} starts in a closed zone")
            })?;
            let job = self.ids.get(key).and_then(|id| self.active.get(id));
            let Some(job) = job else {
                return Err(format!("{key} starts without accelerators"));
            };
            let request = PlacementRequest::for_gang(job.spec().shape);
            let slots = &job.allocation().slots;
            let size = u32::from(request.size);
            let has_shape = slots.len() == placement.tasks.len()
                && slots.len() == request.count as usize
                && slots.iter().all(|slot| slot.bits.count_ones() == size);
            ensure(has_shape, || format!("{key} starts in another shape"))?;
            ensure(solver::is_adjacent(&self.pool, slots, request), || {
                format!("{key} isn't adjacent")
            })?;
            let can_start = |slot: &Slot| {
                let worker = self.pool.get(slot.worker);
                worker.usable_accelerators() & slot.bits == slot.bits
                    && worker.reserved & slot.bits == 0
            };
            ensure(slots.iter().all(can_start), || {
                format!("{key} starts on accelerators that can't be used")
            })?;
        }
        Ok(())
    }
}
