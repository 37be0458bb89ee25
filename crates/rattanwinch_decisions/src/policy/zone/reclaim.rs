//! Starts within guarantees, and the evictions that they need.

use std::collections::BTreeSet;
use std::sync::Arc;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::policy::guarantees::GuaranteePlan;
use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::placement::Pricing;
use crate::policy::placement::Wanted;
use crate::policy::placement::solver;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::workers::BlockId;
use crate::policy::workers::JobId;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Tenure;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::workers::blocks;
use crate::policy::zone::deciding::Misfits;
use crate::policy::zone::zone_policy::ZonePolicy;

/// The most homes that are moved onto other borrowers for one job. Each costs a search over
/// the zone; more would exceed the time that one decision may take.
const MOST_COSTLY_MOVES: usize = 8;

/// Prices for work within a guarantee: inside the owner's homes.
struct OwnHomes<'a> {
    plan: &'a GuaranteePlan,
    owner: u32,
    avoided: &'a [WorkerId],
    /// `None` if only free accelerators may be used, else the time for pricing evictions.
    evicting_at: Option<Timestamp>,
    /// Jobs that are evicted anyway.
    victims: &'a BTreeSet<JobId>,
}

impl OwnHomes<'_> {
    fn own(&self, worker: &Worker) -> u8 {
        let own = |(id, bits): &(BlockId, u8)| if id.owner == self.owner { *bits } else { 0 };
        worker
            .blocks
            .iter()
            .map(own)
            .fold(0, |all, bits| all | bits)
    }
}

impl Pricing for OwnHomes<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if worker.blocks.is_empty() || self.avoided.contains(&id) {
            return 0;
        }
        let available = self.own(worker) & worker.usable() & !worker.guaranteed;
        match self.evicting_at {
            Some(_) => available,
            None => available & !worker.taken,
        }
    }

    /// Lost work counts first; then blocks that are in use are filled before others are begun.
    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let around = worker.blocks.iter().find(|(_, home)| home & bits == bits);
        let is_begun = around.is_some_and(|(id, _)| !self.plan.block(*id).users.is_empty());
        let free = self.own(worker) & !worker.guaranteed;
        let order = blocks::split_levels(free, bits) * 2 + u64::from(!is_begun);
        let Some(now) = self.evicting_at else {
            return order;
        };
        let new = worker
            .started_on(bits)
            .filter(|occupant| !self.victims.contains(&occupant.job));
        let lost = new
            .map(|job| job.lost_work(now))
            .fold(0, u64::saturating_add);
        lost.saturating_mul(16).saturating_add(order)
    }
}

/// Prices for another home of an unused block: outside all homes.
struct NewHome<'a> {
    avoided: &'a [WorkerId],
    /// `None` if only free accelerators may be used, else the time for pricing evictions.
    evicting_at: Option<Timestamp>,
}

impl Pricing for NewHome<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        let available = worker.usable() & !worker.homes & !worker.guaranteed;
        match self.evicting_at {
            Some(_) => available,
            None => available & !worker.taken,
        }
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let space = worker.usable() & !worker.homes & !worker.guaranteed;
        let order = blocks::split_levels(space, bits);
        match self.evicting_at {
            Some(now) => worker
                .lost_work(bits, now)
                .saturating_mul(4)
                .saturating_add(order),
            None => order,
        }
    }
}

impl ZonePolicy {
    /// Accelerators within the guarantee of the job's organisation: free ones if possible, else
    /// those whose borrowers have the least to lose. `None` if the guarantee has no room.
    pub(super) fn find_guaranteed(
        &mut self,
        spec: &JobSpec,
        now: Timestamp,
        misfits: &mut Misfits,
    ) -> Option<Allocation> {
        let organisation = &spec.key.organisation;
        if self.plan.of(organisation).is_empty() {
            return None;
        }
        let wanted = Wanted::of_shape(spec.shape);
        let query = (organisation.clone(), wanted);
        if misfits.guaranteed.contains(&query) {
            return None;
        }
        let mut avoided = self.avoided_workers(spec);
        let mut cheapest = self.cheapest_own(spec, &avoided, Some(now));
        if cheapest.is_none() && self.move_homes_away(organisation, &avoided, now) {
            cheapest = self.cheapest_own(spec, &avoided, Some(now));
        }
        if cheapest.is_none() && !avoided.is_empty() {
            // A retry on a worker that it failed on costs less than a wait without a bound.
            avoided.clear();
            cheapest = self.cheapest_own(spec, &avoided, Some(now));
        }
        if cheapest.is_none() {
            misfits.guaranteed.insert(query);
        }
        let mut slots = cheapest?;
        if !self.is_clear(&slots) {
            // The moved homes may be further apart. A gang larger than each block has no claim to
            // blocks that happen to be adjacent, so it may find nothing then.
            self.move_homes(organisation, spec.shape.accelerators(), &avoided, now);
            slots = self
                .cheapest_own(spec, &avoided, None)
                .or_else(|| self.cheapest_own(spec, &avoided, Some(now)))?;
        }
        let blocks = self.blocks_of(&slots, organisation);
        Some(Allocation { slots, blocks })
    }

    /// The cheapest accelerators in the organisation's homes. A gang's lost work counts once,
    /// however many of its accelerators are needed, so the search is repeated with the victims
    /// of the first try at no cost, and the better outcome is taken.
    fn cheapest_own(
        &self,
        spec: &JobSpec,
        avoided: &[WorkerId],
        evicting_at: Option<Timestamp>,
    ) -> Option<Slots> {
        let mut victims = BTreeSet::new();
        let owner = self.plan.owner(&spec.key.organisation)?;
        let search = |victims: &BTreeSet<JobId>| {
            let pricing = OwnHomes {
                plan: &self.plan,
                owner,
                avoided,
                evicting_at,
                victims,
            };
            solver::solve(&self.pool, Wanted::of_shape(spec.shape), &pricing)
        };
        let first = search(&victims)?;
        let Some(now) = evicting_at else {
            return Some(first);
        };
        victims.extend(self.victims(&first));
        if victims.len() < 2 {
            return Some(first);
        }
        let second = search(&victims)?;
        let is_better = self.total_lost(&second, now) < self.total_lost(&first, now);
        Some(if is_better { second } else { first })
    }

    /// The started jobs that overlap the slots.
    pub(super) fn victims(&self, slots: &Slots) -> BTreeSet<JobId> {
        let on = |slot: &Slot| self.pool.get(slot.worker).started_on(slot.bits);
        slots.iter().flat_map(on).map(|job| job.job).collect()
    }

    /// The lost work of the started jobs on the slots, each counted once.
    pub(super) fn total_lost(&self, slots: &Slots, now: Timestamp) -> u64 {
        let mut seen = BTreeSet::new();
        let on = |slot: &Slot| self.pool.get(slot.worker).started_on(slot.bits);
        let occupants = slots.iter().flat_map(on);
        let first = occupants.filter(|occupant| seen.insert(occupant.job));
        first
            .map(|job| job.lost_work(now))
            .fold(0, u64::saturating_add)
    }

    fn blocks_of(&self, slots: &Slots, organisation: &Organisation) -> SmallVec<[BlockId; 2]> {
        let mut ids = SmallVec::new();
        for slot in slots {
            let blocks = &self.pool.get(slot.worker).blocks;
            let own = |(id, home): &&(BlockId, u8)| {
                home & slot.bits != 0 && self.plan.block(*id).organisation == *organisation
            };
            for (id, _) in blocks.iter().filter(own) {
                if !ids.contains(id) {
                    ids.push(*id);
                }
            }
        }
        ids
    }

    /// Moves unused homes of the organisation off borrowers: onto free accelerators, or onto
    /// borrowers with less to lose. A home on an avoided worker would keep the job from starting.
    fn move_homes(
        &mut self,
        organisation: &Organisation,
        accelerators: u32,
        avoided: &[WorkerId],
        now: Timestamp,
    ) {
        let mut moved = 0;
        let mut costly_moves = 0;
        let mut is_full = None;
        for id in self.plan.of(organisation).to_vec() {
            let block = self.plan.block(id);
            let lost = self.total_lost(&block.home, now);
            if block.home.is_empty() || !block.users.is_empty() || self.is_clear(&block.home) {
                continue;
            }
            let size = block.accelerators;
            let Some(wanted) = Wanted::of_guarantee(size) else {
                continue;
            };
            let free = NewHome {
                avoided,
                evicting_at: None,
            };
            let mut found = None;
            if is_full != Some(size) {
                found = solver::solve(&self.pool, wanted, &free);
                is_full = found.is_none().then_some(size);
            }
            if found.is_none() && costly_moves < MOST_COSTLY_MOVES {
                costly_moves += 1;
                let costly = NewHome {
                    avoided,
                    evicting_at: Some(now),
                };
                found = solver::solve(&self.pool, wanted, &costly)
                    .filter(|home| self.total_lost(home, now) < lost);
            }
            if let Some(home) = found {
                self.plan.move_home(id, home, &mut self.pool);
                moved += size;
            }
            if moved >= accelerators {
                return;
            }
        }
    }

    /// Moves unused homes of the organisation off the workers that a job failed on, so that its
    /// retry doesn't wait for the guarantee elsewhere. True if one moved.
    fn move_homes_away(
        &mut self,
        organisation: &Organisation,
        avoided: &[WorkerId],
        now: Timestamp,
    ) -> bool {
        let mut has_moved = false;
        for id in self.plan.of(organisation).to_vec() {
            let block = self.plan.block(id);
            let is_avoided = |slot: &Slot| avoided.contains(&slot.worker);
            if !block.users.is_empty() || !block.home.iter().any(is_avoided) {
                continue;
            }
            let pricing = NewHome {
                avoided,
                evicting_at: Some(now),
            };
            let wanted = Wanted::of_guarantee(block.accelerators);
            let found = wanted.and_then(|wanted| solver::solve(&self.pool, wanted, &pricing));
            if let Some(home) = found {
                self.plan.move_home(id, home, &mut self.pool);
                has_moved = true;
            }
        }
        has_moved
    }

    /// Keeps the accelerators for the job and evicts the borrowers from them.
    pub(super) fn begin_reclaim(
        &mut self,
        id: JobId,
        allocation: Allocation,
        now: Timestamp,
        decisions: &mut Vec<Decision>,
    ) {
        let Some(job) = self.queue.remove(id) else {
            return;
        };
        if self.head.as_ref().is_some_and(|head| head.job == id) {
            self.drop_head();
        }
        self.occupy(id, &job.spec, &allocation, Tenure::Reserved, now);
        self.reclaiming.insert(id, job.reclaim(allocation));
        self.evict_for(id, now, decisions);
    }

    /// Starts the jobs whose accelerators are clear and evicts what is still in the way of the
    /// others.
    pub(super) fn finish_reclaims(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let waiting: Vec<JobId> = self.reclaiming.keys().copied().collect();
        for id in waiting {
            let job = &self.reclaiming[&id];
            let wanted = Wanted::of_shape(job.spec.shape);
            let slots = job.state.allocation.slots.clone();
            let is_usable = |slot: &Slot| self.pool.get(slot.worker).is_usable();
            // A rack that is new in the row moves others apart.
            let is_adjacent = solver::is_adjacent(&self.pool, &slots, wanted);
            if !is_adjacent || !slots.iter().all(is_usable) {
                self.give_up_reclaim(id, now);
            } else if self.is_clear(&slots) {
                self.start_reclaimed(id, now, decisions);
            } else {
                self.evict_for(id, now, decisions);
            }
        }
    }

    fn start_reclaimed(&mut self, id: JobId, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(job) = self.reclaiming.remove(&id) else {
            return;
        };
        let expected_end = now + self.run_times.expect(&job.spec);
        let slots = job.state.allocation.slots.clone();
        self.pool.change_occupant(id, &slots, |occupant| {
            occupant.tenure = Tenure::Taken;
            occupant.since = now;
            occupant.expected_end = expected_end;
        });
        let reason = reasons::reclaimed_start(&job.spec, now.since(job.queued_at));
        self.announce(ActiveJob::Holding(job.hold()), id, reason, decisions);
    }

    /// Evicts the running jobs on the reclaimed accelerators; one that is still starting is
    /// evicted once it runs.
    fn evict_for(&mut self, id: JobId, now: Timestamp, decisions: &mut Vec<Decision>) {
        let job = &self.reclaiming[&id];
        let spec = Arc::clone(&job.spec);
        let slots = job.state.allocation.slots.clone();
        let lost = self.total_lost(&slots, now);
        for victim in self.victims(&slots) {
            let limit = self.rules.defaults.checkpoint_limit;
            let owner = &spec.key.organisation;
            let reason = reasons::reclaim_eviction(owner, &spec.key, lost, limit);
            self.begin_eviction(victim, reason, now, decisions);
        }
    }
}
