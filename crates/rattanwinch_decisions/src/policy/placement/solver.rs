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

/// The workers of an ordinary rack; larger blocks are measured in racks of this size.
const RACK_WORKERS: u32 = 3;

/// What to find: the blocks of a gang, or of a guaranteed block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Wanted {
    /// The number of blocks.
    pub count: u32,
    /// Accelerators of each: 1, 2, 4 or 8.
    pub size: u8,
    /// How close together.
    pub adjacency: Adjacency,
}

impl Wanted {
    pub(crate) fn of_shape(shape: GangShape) -> Self {
        Self {
            count: u32::from(shape.tasks()),
            size: shape.accelerators_per_task(),
            adjacency: shape.adjacency(),
        }
    }

    /// What a guaranteed block of so many accelerators needs; `None` if it is no block.
    pub(crate) fn of_guarantee(accelerators: u32) -> Option<Self> {
        let (count, size, adjacency) = match accelerators {
            1 | 2 | 4 | 8 => (1, u8::try_from(accelerators).ok()?, Adjacency::Worker),
            large if large > 0 && large.is_multiple_of(8) && large / 8 <= RACK_WORKERS => {
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

    /// Whether every place for `larger` has a place for `self`, so that if `self` doesn't fit,
    /// `larger` doesn't either.
    pub(crate) fn fits_within(self, larger: Self) -> bool {
        let is_looser = match (self.adjacency, larger.adjacency) {
            (Adjacency::Racks, Adjacency::Racks) => self.longest_run() >= larger.longest_run(),
            (own, other) => own <= other,
        };
        is_looser && self.count <= larger.count && self.size <= larger.size
    }

    /// The longest run of neighbouring racks that the blocks may lie in: twice the fewest
    /// ordinary racks that hold them, so that a failed worker in the run doesn't rule it out.
    pub(crate) fn longest_run(self) -> usize {
        let workers = (self.count * u32::from(self.size)).div_ceil(8);
        2 * workers.div_ceil(RACK_WORKERS) as usize
    }
}

/// What a search may use and what it pays.
pub(crate) trait Pricing {
    /// The accelerators of the worker that may be used.
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8;

    /// The cost of the block `bits` of the worker.
    fn cost(&self, worker: &Worker, bits: u8) -> u64;

    /// A cost that no block of `size` of the worker goes below.
    fn floor(&self, _worker: &Worker, _size: u8) -> u64 {
        0
    }
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    cost: u64,
    slot: Slot,
}

/// All usable blocks in the order of the row, and the end of each rack's.
#[derive(Debug, Default)]
struct Candidates {
    all: Vec<Candidate>,
    rack_ends: Vec<usize>,
}

/// Finds the blocks with the lowest total cost. Among equal costs the blocks that come first in
/// the row are taken, which keeps a gang together.
///
/// The cost is the lowest possible within a worker, a rack or the whole zone, and for runs of
/// racks while there are at most [`EXACT_RUN_WORK`] blocks to compare; above that the runs are
/// ranked by the mean cost of the blocks in the shortest run that holds the gang.
pub(crate) fn solve(pool: &WorkerPool, wanted: Wanted, pricing: &impl Pricing) -> Option<Slots> {
    if wanted.count == 1 || wanted.adjacency == Adjacency::Zone {
        return cheapest_anywhere(pool, wanted, pricing);
    }
    let candidates = collect(pool, wanted, pricing);
    let all = &candidates.all;
    let range = match wanted.adjacency {
        Adjacency::Zone | Adjacency::Worker => best_worker(all, wanted.count as usize)?,
        Adjacency::Rack => best_run(&candidates, wanted.count as usize, 1)?,
        Adjacency::Racks => best_run(&candidates, wanted.count as usize, wanted.longest_run())?,
    };
    cheapest(&all[range], wanted.count as usize)
}

/// Whether the slots are as close together as wanted.
pub(crate) fn is_adjacent(pool: &WorkerPool, slots: &[Slot], wanted: Wanted) -> bool {
    let racks = || slots.iter().map(|slot| pool.get(slot.worker).rack);
    let (Some(first), Some(last)) = (racks().min(), racks().max()) else {
        return false;
    };
    match wanted.adjacency {
        Adjacency::Zone => true,
        Adjacency::Worker => slots.iter().all(|slot| slot.worker == slots[0].worker),
        Adjacency::Rack => first == last,
        Adjacency::Racks => last - first < wanted.longest_run(),
    }
}

/// The most blocks that are compared in an exact search over runs of racks, which is quadratic; a
/// gang of 128 on 5,700 workers would compare millions.
const EXACT_RUN_WORK: usize = 50_000;

/// The cheapest blocks of the zone, in the order of the row. Keeps only as many as are wanted and
/// stops when all of them cost nothing, which a burst of 10,000 small jobs needs.
fn cheapest_anywhere(pool: &WorkerPool, wanted: Wanted, pricing: &impl Pricing) -> Option<Slots> {
    let count = wanted.count as usize;
    let mut best: BinaryHeap<(u64, u32, Slot)> = BinaryHeap::with_capacity(count + 1);
    let mut position = 0;
    for (id, worker) in pool.iter() {
        let allowed = pricing.allowed(id, worker);
        let is_full = best.len() == count;
        let worst = best.peek().map_or(u64::MAX, |(cost, ..)| *cost);
        if allowed == 0 || (is_full && pricing.floor(worker, wanted.size) >= worst) {
            continue;
        }
        for bits in blocks::each_block(allowed, wanted.size) {
            let cost = pricing.cost(worker, bits);
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

fn collect(pool: &WorkerPool, wanted: Wanted, pricing: &impl Pricing) -> Candidates {
    let mut candidates = Candidates::default();
    for rack in pool.racks() {
        for id in &rack.workers {
            let worker = pool.get(*id);
            let allowed = pricing.allowed(*id, worker);
            for bits in blocks::each_block(allowed, wanted.size) {
                let cost = pricing.cost(worker, bits);
                let slot = Slot { worker: *id, bits };
                candidates.all.push(Candidate { cost, slot });
            }
        }
        candidates.rack_ends.push(candidates.all.len());
    }
    candidates
}

/// The total cost of the `count` cheapest; `None` if there are fewer.
fn least_cost(candidates: &[Candidate], count: usize, costs: &mut Vec<u64>) -> Option<u64> {
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

/// The `count` cheapest candidates in the order of the row.
fn cheapest(candidates: &[Candidate], count: usize) -> Option<Slots> {
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

fn best_worker(all: &[Candidate], count: usize) -> Option<Range<usize>> {
    let mut costs = Vec::new();
    let mut best: Option<(u64, Range<usize>)> = None;
    let mut start = 0;
    for blocks in all.chunk_by(|left, right| left.slot.worker == right.slot.worker) {
        let range = start..start + blocks.len();
        start = range.end;
        let Some(cost) = least_cost(blocks, count, &mut costs) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, range));
        }
    }
    best.map(|(_, range)| range)
}

/// The cheapest run of at most `longest` racks; the shorter run among equals.
fn best_run(candidates: &Candidates, count: usize, longest: usize) -> Option<Range<usize>> {
    let (all, ends) = (&candidates.all, &candidates.rack_ends);
    let is_exact = all.len().saturating_mul(longest) <= EXACT_RUN_WORK;
    let mut costs = Vec::new();
    let mut sums = vec![0];
    if !is_exact {
        sums.extend(all.iter().scan(0_u64, |sum, candidate| {
            *sum = sum.saturating_add(candidate.cost);
            Some(*sum)
        }));
    }
    let mut best: Option<((u64, usize), Range<usize>)> = None;
    let mut shortest = 0;
    for first in 0..ends.len() {
        let start = if first == 0 { 0 } else { ends[first - 1] };
        shortest = shortest.max(first);
        while shortest < ends.len() && ends[shortest] - start < count {
            shortest += 1;
        }
        if shortest >= ends.len() {
            break;
        }
        if shortest >= first + longest {
            continue;
        }
        let (cost, end) = if is_exact {
            let end = ends[(first + longest).min(ends.len()) - 1];
            (least_cost(&all[start..end], count, &mut costs)?, end)
        } else {
            let end = ends[shortest];
            ((sums[end] - sums[start]) / (end - start) as u64, end)
        };
        let key = (cost, shortest - first);
        if best.as_ref().is_none_or(|(least, _)| key < *least) {
            best = Some((key, start..end));
        }
    }
    best.map(|(_, range)| range)
}
