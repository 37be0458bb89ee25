//! Starts within guarantees and the evictions that they require.

use std::collections::BTreeSet;
use std::sync::Arc;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::policy::guarantees::GuaranteePlan;
use crate::policy::outcomes::Decision;
use crate::policy::outcomes::reasons;
use crate::policy::placement::CostModel;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::workers::BlockId;
use crate::policy::workers::JobId;
use crate::policy::workers::Occupancy;
use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::workers::blocks;
use crate::policy::zone::deciding::UnplaceableRequests;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Maximum number of blocks per job that are moved onto other borrowers. Each move costs a search
/// over the zone; more would exceed the time budget of one decision.
const MAX_EVICTING_MOVES: usize = 8;

/// Costs of placing a job in its organisation's own guaranteed blocks.
struct OwnBlocksCost<'a> {
    plan: &'a GuaranteePlan,
    owner: u32,
    avoided: &'a [WorkerId],
    /// The current time if evictions are allowed; `None` if only free accelerators may be used.
    evicting_at: Option<Timestamp>,
    /// Jobs that are already going to be evicted, whose lost work costs nothing more.
    victims: &'a BTreeSet<JobId>,
}

impl OwnBlocksCost<'_> {
    fn own_accelerators(&self, worker: &Worker) -> u8 {
        let own = |(id, bits): &(BlockId, u8)| if id.owner == self.owner { *bits } else { 0 };
        worker
            .blocks
            .iter()
            .map(own)
            .fold(0, |all, bits| all | bits)
    }
}

impl CostModel for OwnBlocksCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if worker.blocks.is_empty() || self.avoided.contains(&id) {
            return 0;
        }
        let available =
            self.own_accelerators(worker) & worker.usable_accelerators() & !worker.guaranteed;
        match self.evicting_at {
            Some(_) => available,
            None => available & !worker.taken,
        }
    }

    /// Minimises lost work first, then prefers blocks that are already in use over unused ones.
    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let surrounding = worker
            .blocks
            .iter()
            .find(|(_, location)| location & bits == bits);
        let is_in_use = surrounding.is_some_and(|(id, _)| !self.plan.block(*id).users.is_empty());
        let free = self.own_accelerators(worker) & !worker.guaranteed;
        let order = blocks::split_levels(free, bits) * 2 + u64::from(!is_in_use);
        let Some(now) = self.evicting_at else {
            return order;
        };
        let new_victims = worker
            .started_occupants(bits)
            .filter(|occupant| !self.victims.contains(&occupant.job));
        let lost = new_victims
            .map(|job| job.lost_work(now))
            .fold(0, u64::saturating_add);
        lost.saturating_mul(16).saturating_add(order)
    }
}

/// Costs of another location for an unused block, outside all guaranteed blocks.
struct NewLocationCost<'a> {
    avoided: &'a [WorkerId],
    /// The current time if evictions are allowed; `None` if only free accelerators may be used.
    evicting_at: Option<Timestamp>,
}

impl CostModel for NewLocationCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            return 0;
        }
        let available =
            worker.usable_accelerators() & !worker.block_accelerators & !worker.guaranteed;
        match self.evicting_at {
            Some(_) => available,
            None => available & !worker.taken,
        }
    }

    fn cost(&self, worker: &Worker, bits: u8) -> u64 {
        let space = worker.usable_accelerators() & !worker.block_accelerators & !worker.guaranteed;
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
    /// Finds accelerators within the guarantee of the job's organisation: free ones if possible,
    /// otherwise those whose eviction loses the least work. Returns `None` if the guarantee has no
    /// capacity left.
    pub(super) fn find_guaranteed(
        &mut self,
        spec: &JobSpec,
        now: Timestamp,
        unplaceable: &mut UnplaceableRequests,
    ) -> Option<Allocation> {
        let organisation = &spec.key.organisation;
        if self.plan.blocks_owned_by(organisation).is_empty() {
            return None;
        }
        let request = PlacementRequest::for_gang(spec.shape);
        let query = (organisation.clone(), request);
        if unplaceable.guaranteed.contains(&query) {
            return None;
        }
        let mut avoided = self.avoided_workers(spec);
        let mut cheapest = self.cheapest_in_own_blocks(spec, &avoided, Some(now));
        if cheapest.is_none() && self.move_blocks_off_avoided(organisation, &avoided, now) {
            cheapest = self.cheapest_in_own_blocks(spec, &avoided, Some(now));
        }
        if cheapest.is_none() && !avoided.is_empty() {
            // Retrying on a worker where the job failed is better than waiting without a bound.
            avoided.clear();
            cheapest = self.cheapest_in_own_blocks(spec, &avoided, Some(now));
        }
        if cheapest.is_none() {
            unplaceable.guaranteed.insert(query);
        }
        let mut slots = cheapest?;
        if !self.is_unoccupied(&slots) {
            // The moved blocks may lie further apart. Adjacency is guaranteed only within one
            // block, so the search for a gang larger than one block may find nothing.
            self.move_blocks_off_borrowers(organisation, spec.shape.accelerators(), &avoided, now);
            slots = self
                .cheapest_in_own_blocks(spec, &avoided, None)
                .or_else(|| self.cheapest_in_own_blocks(spec, &avoided, Some(now)))?;
        }
        let blocks = self.blocks_of(&slots, organisation);
        Some(Allocation { slots, blocks })
    }

    /// Finds the cheapest accelerators in the organisation's guaranteed blocks. The lost work of a
    /// gang counts once, regardless of how many of its accelerators are needed. The search is
    /// therefore repeated with the victims of the first search at no cost, and the better result is
    /// used.
    fn cheapest_in_own_blocks(
        &self,
        spec: &JobSpec,
        avoided: &[WorkerId],
        evicting_at: Option<Timestamp>,
    ) -> Option<Slots> {
        let mut victims = BTreeSet::new();
        let owner = self.plan.owner_id(&spec.key.organisation)?;
        let search = |victims: &BTreeSet<JobId>| {
            let cost_model = OwnBlocksCost {
                plan: &self.plan,
                owner,
                avoided,
                evicting_at,
                victims,
            };
            solver::solve(
                &self.pool,
                PlacementRequest::for_gang(spec.shape),
                &cost_model,
            )
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
        let is_better = self.total_lost_work(&second, now) < self.total_lost_work(&first, now);
        Some(if is_better { second } else { first })
    }

    /// Started jobs that overlap the slots.
    pub(super) fn victims(&self, slots: &Slots) -> BTreeSet<JobId> {
        let occupants_on = |slot: &Slot| self.pool.get(slot.worker).started_occupants(slot.bits);
        slots
            .iter()
            .flat_map(occupants_on)
            .map(|job| job.job)
            .collect()
    }

    /// Total lost work of the started jobs on the slots, each counted once.
    pub(super) fn total_lost_work(&self, slots: &Slots, now: Timestamp) -> u64 {
        let mut seen = BTreeSet::new();
        let occupants_on = |slot: &Slot| self.pool.get(slot.worker).started_occupants(slot.bits);
        let occupants = slots.iter().flat_map(occupants_on);
        let first = occupants.filter(|occupant| seen.insert(occupant.job));
        first
            .map(|job| job.lost_work(now))
            .fold(0, u64::saturating_add)
    }

    fn blocks_of(&self, slots: &Slots, organisation: &Organisation) -> SmallVec<[BlockId; 2]> {
        let mut ids = SmallVec::new();
        for slot in slots {
            let blocks = &self.pool.get(slot.worker).blocks;
            let own = |(id, location): &&(BlockId, u8)| {
                location & slot.bits != 0 && self.plan.block(*id).organisation == *organisation
            };
            for (id, _) in blocks.iter().filter(own) {
                if !ids.contains(id) {
                    ids.push(*id);
                }
            }
        }
        ids
    }

    /// Moves unused blocks of the organisation off borrowers: onto free accelerators, or onto
    /// borrowers with less work to lose. Avoided workers are excluded, because a block there would
    /// keep the job from starting.
    fn move_blocks_off_borrowers(
        &mut self,
        organisation: &Organisation,
        accelerators: u32,
        avoided: &[WorkerId],
        now: Timestamp,
    ) {
        let mut moved = 0;
        let mut evicting_moves = 0;
        let mut unplaceable_size = None;
        for id in self.plan.blocks_owned_by(organisation).to_vec() {
            let block = self.plan.block(id);
            let lost = self.total_lost_work(&block.location, now);
            if block.location.is_empty()
                || !block.users.is_empty()
                || self.is_unoccupied(&block.location)
            {
                continue;
            }
            let size = block.accelerators;
            let Some(request) = PlacementRequest::for_block(size) else {
                continue;
            };
            let free = NewLocationCost {
                avoided,
                evicting_at: None,
            };
            let mut found = None;
            if unplaceable_size != Some(size) {
                found = solver::solve(&self.pool, request, &free);
                unplaceable_size = found.is_none().then_some(size);
            }
            if found.is_none() && evicting_moves < MAX_EVICTING_MOVES {
                evicting_moves += 1;
                let costly = NewLocationCost {
                    avoided,
                    evicting_at: Some(now),
                };
                found = solver::solve(&self.pool, request, &costly)
                    .filter(|location| self.total_lost_work(location, now) < lost);
            }
            if let Some(location) = found {
                self.plan.move_block(id, location, &mut self.pool);
                moved += size;
            }
            if moved >= accelerators {
                return;
            }
        }
    }

    /// Moves unused blocks of the organisation off the workers that a job failed on, so that its
    /// retry doesn't wait for other blocks of the guarantee. Returns true if a block moved.
    fn move_blocks_off_avoided(
        &mut self,
        organisation: &Organisation,
        avoided: &[WorkerId],
        now: Timestamp,
    ) -> bool {
        let mut has_moved = false;
        for id in self.plan.blocks_owned_by(organisation).to_vec() {
            let block = self.plan.block(id);
            let is_avoided = |slot: &Slot| avoided.contains(&slot.worker);
            if !block.users.is_empty() || !block.location.iter().any(is_avoided) {
                continue;
            }
            let cost_model = NewLocationCost {
                avoided,
                evicting_at: Some(now),
            };
            let request = PlacementRequest::for_block(block.accelerators);
            let found = request.and_then(|request| solver::solve(&self.pool, request, &cost_model));
            if let Some(location) = found {
                self.plan.move_block(id, location, &mut self.pool);
                has_moved = true;
            }
        }
        has_moved
    }

    /// Reserves the accelerators for the job and evicts the borrowers from them.
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
            self.clear_head_reservation();
        }
        self.occupy(id, &job.spec, &allocation, Occupancy::Reserved, now);
        self.reclaiming.insert(id, job.reclaim(allocation));
        self.evict_borrowers_for(id, now, decisions);
    }

    /// Starts reclaiming jobs whose accelerators are free, and continues evictions for the others.
    pub(super) fn advance_reclaims(&mut self, now: Timestamp, decisions: &mut Vec<Decision>) {
        let waiting: Vec<JobId> = self.reclaiming.keys().copied().collect();
        for id in waiting {
            let job = &self.reclaiming[&id];
            let request = PlacementRequest::for_gang(job.spec.shape);
            let slots = job.state.allocation.slots.clone();
            let is_usable = |slot: &Slot| self.pool.get(slot.worker).is_usable();
            // A rack that was added in between can make the slots no longer adjacent.
            let is_adjacent = solver::is_adjacent(&self.pool, &slots, request);
            if !is_adjacent || !slots.iter().all(is_usable) {
                self.cancel_reclaim(id, now);
            } else if self.is_unoccupied(&slots) {
                self.start_reclaimed(id, now, decisions);
            } else {
                self.evict_borrowers_for(id, now, decisions);
            }
        }
    }

    fn start_reclaimed(&mut self, id: JobId, now: Timestamp, decisions: &mut Vec<Decision>) {
        let Some(job) = self.reclaiming.remove(&id) else {
            return;
        };
        let expected_end = now + self.run_times.expected(&job.spec);
        let slots = job.state.allocation.slots.clone();
        self.pool.change_occupant(id, &slots, |occupant| {
            occupant.state = Occupancy::Started;
            occupant.since = now;
            occupant.expected_end = expected_end;
        });
        let reason = reasons::reclaimed_start(&job.spec, now.since(job.queued_at));
        self.record_start(ActiveJob::Holding(job.hold()), id, reason, decisions);
    }

    /// Evicts the running jobs on the reclaimed accelerators. A job that is still starting is
    /// evicted once it runs.
    fn evict_borrowers_for(&mut self, id: JobId, now: Timestamp, decisions: &mut Vec<Decision>) {
        let job = &self.reclaiming[&id];
        let spec = Arc::clone(&job.spec);
        let slots = job.state.allocation.slots.clone();
        let lost = self.total_lost_work(&slots, now);
        for victim in self.victims(&slots) {
            let limit = self.zone_config.defaults.checkpoint_limit;
            let owner = &spec.key.organisation;
            let reason = reasons::reclaim_eviction(owner, &spec.key, lost, limit);
            self.begin_eviction(victim, reason, now, decisions);
        }
    }
}
