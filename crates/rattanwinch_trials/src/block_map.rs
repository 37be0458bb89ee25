use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use rattanwinch_decisions::Placement;
use rattanwinch_decisions::TaskPlacement;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Adjacency;
use rattanwinch_types::GangShape;
use rattanwinch_types::TargetName;

/// The order in which a baseline searches the workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fit {
    /// In rack order.
    First,
    /// By free accelerators, the fewest first.
    Best,
}

/// The free accelerators of the workers of a zone, in rack order.
///
/// The baselines place jobs on it, and the fragmentation of every scheduler is measured on it.
#[derive(Clone, Debug)]
pub(crate) struct BlockMap {
    layout: Arc<Layout>,
    free: Vec<u8>,
    up: Vec<bool>,
}

/// The immutable part of a block map.
#[derive(Debug, Default)]
struct Layout {
    names: Vec<TargetName>,
    racks: Vec<usize>,
    by_name: BTreeMap<TargetName, usize>,
}

/// Returns the aligned blocks of `size` within `free`.
fn blocks(free: u8, size: u8) -> impl Iterator<Item = u8> {
    let firsts = (0..8).step_by(usize::from(size));
    let bits = firsts.map(move |first| (u8::MAX >> (8 - size)) << first);
    bits.filter(move |bits| free & bits == *bits)
}

/// The index of a worker, and a bit mask of its accelerators.
pub(crate) type Slot = (usize, u8);

impl BlockMap {
    /// Creates a map of free workers, which must be in rack order.
    pub(crate) fn new(workers: &[WorkerInfo]) -> Self {
        let mut layout = Layout::default();
        let mut rack_names: Vec<&str> = Vec::new();
        for worker in workers {
            if rack_names.last() != Some(&worker.rack.as_str()) {
                rack_names.push(worker.rack.as_str());
            }
            layout
                .by_name
                .insert(worker.target.clone(), layout.names.len());
            layout.names.push(worker.target.clone());
            layout.racks.push(rack_names.len() - 1);
        }
        Self {
            layout: Arc::new(layout),
            free: vec![u8::MAX; workers.len()],
            up: vec![true; workers.len()],
        }
    }

    /// Returns the number of free accelerators of the workers that are up.
    pub(crate) fn free(&self) -> u32 {
        let up = self.free.iter().zip(&self.up).filter(|(_, up)| **up);
        up.map(|(free, _)| free.count_ones()).sum()
    }

    /// Returns the number of accelerators of the workers that are up.
    pub(crate) fn capacity(&self) -> u32 {
        8 * u32::try_from(self.up.iter().filter(|up| **up).count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn set_up(&mut self, target: &TargetName, up: bool) {
        let index = self.layout.by_name[target];
        self.up[index] = up;
    }

    pub(crate) fn take(&mut self, placement: &Placement) {
        for task in &placement.tasks {
            self.free[self.layout.by_name[&task.target]] &= !task.accelerators.bits();
        }
    }

    pub(crate) fn release(&mut self, placement: &Placement) {
        for task in &placement.tasks {
            self.free[self.layout.by_name[&task.target]] |= task.accelerators.bits();
        }
    }

    /// Returns a copy with all accelerators free and all workers up.
    pub(crate) fn with_full_capacity(&self) -> Self {
        let mut empty = self.clone();
        empty.free.fill(u8::MAX);
        empty.up.fill(true);
        empty
    }

    /// Returns a copy with all accelerators free.
    pub(crate) fn without_jobs(&self) -> Self {
        let mut empty = self.clone();
        empty.free.fill(u8::MAX);
        empty
    }

    fn usable(&self, index: usize) -> u8 {
        if self.up[index] { self.free[index] } else { 0 }
    }

    /// Returns the groups of adjacent workers that may each contain a gang of the shape.
    pub(crate) fn groups(&self, shape: GangShape) -> Vec<Range<usize>> {
        let workers = self.layout.names.len();
        let racks_per_group = match shape.adjacency() {
            Adjacency::Zone => return std::iter::once(0..workers).collect(),
            Adjacency::Worker => return (0..workers).map(|index| index..index + 1).collect(),
            Adjacency::Rack => 1,
            Adjacency::Racks => 2 * shape.accelerators().div_ceil(24) as usize,
        };
        let rack_count = self.layout.racks.last().map_or(0, |last| last + 1);
        let starts = 0..rack_count.saturating_sub(racks_per_group - 1).max(1);
        starts
            .map(|first| {
                let from = self.layout.racks.partition_point(|rack| *rack < first);
                let to = self
                    .layout
                    .racks
                    .partition_point(|rack| *rack < first + racks_per_group);
                from..to
            })
            .collect()
    }

    /// Returns the number of free accelerators in the group that tasks of the shape can use.
    pub(crate) fn usable_in(&self, group: Range<usize>, shape: GangShape) -> u32 {
        let size = shape.accelerators_per_task();
        let count = |index| blocks(self.usable(index), size).count();
        let blocks: usize = group.map(count).sum();
        u32::try_from(blocks).unwrap_or(u32::MAX) * u32::from(size)
    }

    /// Finds accelerators for the gang: in the first group that fits, or in the best one.
    pub(crate) fn find(&self, shape: GangShape, fit: Fit) -> Option<Vec<Slot>> {
        let size = shape.accelerators_per_task();
        let task_count = usize::from(shape.tasks());
        let mut best: Option<(u32, Vec<Slot>)> = None;
        for group in self.groups(shape) {
            let mut order: Vec<usize> = group.collect();
            if fit == Fit::Best {
                order.sort_by_key(|index| self.usable(*index).count_ones());
            }
            let all = order
                .iter()
                .flat_map(|index| blocks(self.usable(*index), size).map(|bits| (*index, bits)));
            let slots: Vec<Slot> = all.take(task_count).collect();
            if slots.len() < task_count {
                continue;
            }
            if fit == Fit::First {
                return Some(slots);
            }
            let left = order
                .iter()
                .map(|index| self.usable(*index).count_ones())
                .sum();
            if best.as_ref().is_none_or(|(least, _)| left < *least) {
                best = Some((left, slots));
            }
        }
        best.map(|(_, slots)| slots)
    }

    pub(crate) fn placement(&self, slots: &[Slot]) -> Placement {
        let tasks = slots.iter().map(|(index, bits)| TaskPlacement {
            target: self.layout.names[*index].clone(),
            accelerators: AcceleratorSet::from_bits(*bits),
        });
        Placement {
            tasks: tasks.collect(),
        }
    }
}
