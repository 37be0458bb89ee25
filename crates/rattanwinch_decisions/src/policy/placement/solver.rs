//! Finds aligned blocks for the tasks of a gang at the lowest total cost.

use std::collections::BinaryHeap;
use std::ops::Range;

use rattanwinch_types::Adjacency;
use rattanwinch_types::GangShape;

use crate::policy::workers::Slot;
use crate::policy::workers::Slots;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::workers::WorkerPool;
use crate::policy::workers::blocks;

/// Number of workers of an ordinary rack; larger blocks are measured in racks of this size.
const WORKERS_PER_RACK: u32 = 3;

/// Aligned blocks to search for, for a gang or for a guaranteed block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlacementRequest {
    /// The number of blocks.
    pub count: u32,
    /// Accelerators of each block: 1, 2, 4 or 8.
    pub size: u8,
    /// Required adjacency.
    pub adjacency: Adjacency,
}

impl PlacementRequest {
    pub(crate) fn for_gang(shape: GangShape) -> Self {
        Self {
            count: u32::from(shape.tasks()),
            size: shape.accelerators_per_task(),
            adjacency: shape.adjacency(),
        }
    }

    /// Request for a guaranteed block of this many accelerators; `None` if the size is invalid.
    pub(crate) fn for_block(accelerators: u32) -> Option<Self> {
        let (count, size, adjacency) = match accelerators {
            1 | 2 | 4 | 8 => (1, u8::try_from(accelerators).ok()?, Adjacency::Worker),
            large if large > 0 && large.is_multiple_of(8) && large / 8 <= WORKERS_PER_RACK => {
                (large / 8, 8, Adjacency::Rack)
            }
            large if large > 0 && large.is_multiple_of(8) => (large / 8, 8, Adjacency::Racks),
            _ => return None,
        };
        Some(Self {
            count,
            size,
            adjacency,
        })
    }

    /// Whether every placement for `larger` contains one for `self`; if `self` doesn't fit,
    /// `larger` doesn't either.
    pub(crate) fn fits_within(self, larger: Self) -> bool {
        let is_looser = match (self.adjacency, larger.adjacency) {
            (Adjacency::Racks, Adjacency::Racks) => self.max_racks() >= larger.max_racks(),
            (own, other) => own <= other,
        };
        is_looser && self.count <= larger.count && self.size <= larger.size
    }

    /// Maximum number of consecutive racks that the blocks may span: twice the fewest ordinary
    /// racks that hold them, so that a failed worker in the run doesn't rule it out.
    pub(crate) fn max_racks(self) -> usize {
        let workers = (self.count * u32::from(self.size)).div_ceil(8);
        2 * workers.div_ceil(WORKERS_PER_RACK) as usize
    }
}

/// Which accelerators a search may use, and at which cost.
pub(crate) trait CostModel {
    /// Accelerators of the worker that may be used.
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8;

    /// Cost of using the block `bits` of the worker.
    fn cost(&self, worker: &Worker, bits: u8) -> u64;

    /// Lower bound of the cost of any block of `size` of the worker.
    fn min_cost(&self, _worker: &Worker, _size: u8) -> u64 {
        0
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    cost: u64,
    slot: Slot,
}

/// All usable blocks in rack order, and the end index of each rack.
#[derive(Debug, Default)]
struct Candidates {
    all: Vec<Candidate>,
    rack_ends: Vec<usize>,
}

/// Finds the blocks with the lowest total cost. Among equal costs, the first blocks in rack order
/// are chosen, which keeps a gang together.
///
/// The result is optimal within a worker, a rack or the whole zone, and for runs of racks while
/// there are at most [`MAX_EXACT_COMPARISONS`] blocks to compare. Above that, runs are ranked by
/// the mean cost of the blocks in the shortest run that holds the gang.
pub(crate) fn solve(
    pool: &WorkerPool,
    request: PlacementRequest,
    cost_model: &impl CostModel,
) -> Option<Slots> {
    if request.count == 1 || request.adjacency == Adjacency::Zone {
        return cheapest_in_zone(pool, request, cost_model);
    }
    let candidates = collect_candidates(pool, request, cost_model);
    let all = &candidates.all;
    let range = match request.adjacency {
        Adjacency::Zone | Adjacency::Worker => cheapest_worker(all, request.count as usize)?,
        Adjacency::Rack => cheapest_rack_run(&candidates, request.count as usize, 1)?,
        Adjacency::Racks => {
            cheapest_rack_run(&candidates, request.count as usize, request.max_racks())?
        }
    };
    cheapest_candidates(&all[range], request.count as usize)
}

/// Whether the slots satisfy the requested adjacency.
pub(crate) fn is_adjacent(pool: &WorkerPool, slots: &[Slot], request: PlacementRequest) -> bool {
    let racks = || slots.iter().map(|slot| pool.get(slot.worker).rack);
    let (Some(first), Some(last)) = (racks().min(), racks().max()) else {
        return false;
    };
    match request.adjacency {
        Adjacency::Zone => true,
        Adjacency::Worker => slots.iter().all(|slot| slot.worker == slots[0].worker),
        Adjacency::Rack => first == last,
        Adjacency::Racks => last - first < request.max_racks(),
    }
}

/// Maximum number of blocks compared in an exact search over runs of racks. The search is
/// quadratic; a gang of 128 on 5,700 workers would compare millions.
const MAX_EXACT_COMPARISONS: usize = 50_000;

/// Finds the cheapest blocks of the zone, in rack order. Keeps only as many as requested and stops
/// early if all of them cost nothing, which a burst of 10,000 small jobs needs.
fn cheapest_in_zone(
    pool: &WorkerPool,
    request: PlacementRequest,
    cost_model: &impl CostModel,
) -> Option<Slots> {
    let count = request.count as usize;
    let mut best: BinaryHeap<(u64, u32, Slot)> = BinaryHeap::with_capacity(count + 1);
    let mut position = 0;
    for (id, worker) in pool.iter() {
        let allowed = cost_model.allowed(id, worker);
        let is_full = best.len() == count;
        let worst = best.peek().map_or(u64::MAX, |(cost, ..)| *cost);
        if allowed == 0 || (is_full && cost_model.min_cost(worker, request.size) >= worst) {
            continue;
        }
        for bits in blocks::each_block(allowed, request.size) {
            let cost = cost_model.cost(worker, bits);
            position += 1;
            if best.len() < count {
                best.push((cost, position, Slot { worker: id, bits }));
            } else if let Some(mut worst) = best.peek_mut()
                && cost < worst.0
            {
                *worst = (cost, position, Slot { worker: id, bits });
            }
        }
        if best.len() == count && best.peek().is_some_and(|(cost, ..)| *cost == 0) {
            break;
        }
    }
    if best.len() < count {
        return None;
    }
    let mut chosen = best.into_vec();
    chosen.sort_unstable_by_key(|(_, position, _)| *position);
    Some(chosen.into_iter().map(|(_, _, slot)| slot).collect())
}

fn collect_candidates(
    pool: &WorkerPool,
    request: PlacementRequest,
    cost_model: &impl CostModel,
) -> Candidates {
    let mut candidates = Candidates::default();
    for rack in pool.racks() {
        for id in &rack.workers {
            let worker = pool.get(*id);
            let allowed = cost_model.allowed(*id, worker);
            for bits in blocks::each_block(allowed, request.size) {
                let cost = cost_model.cost(worker, bits);
                let slot = Slot { worker: *id, bits };
                candidates.all.push(Candidate { cost, slot });
            }
        }
        candidates.rack_ends.push(candidates.all.len());
    }
    candidates
}

/// Total cost of the `count` cheapest candidates; `None` if there are fewer.
fn min_total_cost(candidates: &[Candidate], count: usize, costs: &mut Vec<u64>) -> Option<u64> {
    if candidates.len() < count {
        return None;
    }
    costs.clear();
    costs.extend(candidates.iter().map(|candidate| candidate.cost));
    if costs.len() > count {
        costs.select_nth_unstable(count - 1);
    }
    Some(costs[..count].iter().sum())
}

/// The `count` cheapest candidates in rack order.
fn cheapest_candidates(candidates: &[Candidate], count: usize) -> Option<Slots> {
    if candidates.len() < count {
        return None;
    }
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    if candidates.len() > count {
        order.select_nth_unstable_by_key(count - 1, |index| (candidates[*index].cost, *index));
        order.truncate(count);
        order.sort_unstable();
    }
    Some(
        order
            .into_iter()
            .map(|index| candidates[index].slot)
            .collect(),
    )
}

fn cheapest_worker(all: &[Candidate], count: usize) -> Option<Range<usize>> {
    let mut costs = Vec::new();
    let mut best: Option<(u64, Range<usize>)> = None;
    let mut start = 0;
    for blocks in all.chunk_by(|left, right| left.slot.worker == right.slot.worker) {
        let range = start..start + blocks.len();
        start = range.end;
        let Some(cost) = min_total_cost(blocks, count, &mut costs) else {
            continue;
        };
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, range));
        }
    }
    best.map(|(_, range)| range)
}

/// Finds the cheapest run of at most `max_racks` racks; among equal costs, the shorter run.
fn cheapest_rack_run(
    candidates: &Candidates,
    count: usize,
    max_racks: usize,
) -> Option<Range<usize>> {
    let (all, ends) = (&candidates.all, &candidates.rack_ends);
    let is_exact = all.len().saturating_mul(max_racks) <= MAX_EXACT_COMPARISONS;
    let mut costs = Vec::new();
    let mut sums = vec![0];
    if !is_exact {
        sums.extend(all.iter().scan(0_u64, |sum, candidate| {
            *sum = sum.saturating_add(candidate.cost);
            Some(*sum)
        }));
    }
    let mut best: Option<((u64, usize), Range<usize>)> = None;
    let mut shortest_end = 0;
    for first in 0..ends.len() {
        let start = if first == 0 { 0 } else { ends[first - 1] };
        shortest_end = shortest_end.max(first);
        while shortest_end < ends.len() && ends[shortest_end] - start < count {
            shortest_end += 1;
        }
        if shortest_end >= ends.len() {
            break;
        }
        if shortest_end >= first + max_racks {
            continue;
        }
        let (cost, end) = if is_exact {
            let end = ends[(first + max_racks).min(ends.len()) - 1];
            (min_total_cost(&all[start..end], count, &mut costs)?, end)
        } else {
            let end = ends[shortest_end];
            ((sums[end] - sums[start]) / (end - start) as u64, end)
        };
        let key = (cost, shortest_end - first);
        if best.as_ref().is_none_or(|(lowest, _)| key < *lowest) {
            best = Some((key, start..end));
        }
    }
    best.map(|(_, range)| range)
}
