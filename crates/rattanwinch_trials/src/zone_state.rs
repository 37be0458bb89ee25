use std::collections::BTreeSet;

use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::GangShape;
use rattanwinch_types::Timestamp;

use crate::block_map::BlockMap;
use crate::fragmentation;
use crate::workload::TrialJob;
use crate::zone_scheduler::ZoneScheduler;

/// One availability zone of a trial.
#[derive(Debug)]
pub(crate) struct ZoneRun {
    /// What decides.
    pub scheduler: Box<dyn ZoneScheduler>,
    /// The driver's own books of free accelerators.
    pub map: BlockMap,
    /// The workers, in rack order.
    pub workers: Vec<WorkerInfo>,
    /// How many outages each worker is in.
    pub outages: Vec<u32>,
    /// Whether each worker's executor fails everything.
    pub broken: Vec<bool>,
    /// Whether operators have closed the zone.
    pub is_closed: bool,
    /// The jobs that are queued here.
    pub queued: BTreeSet<usize>,
    /// Accelerators of tasks that make progress.
    pub running: u32,
    /// When the scheduler asked to be called again.
    pub wake_at: Option<Timestamp>,
    /// Free accelerators, and those that the largest waiting shape can't use; `None` if the
    /// state has changed since.
    fragmentation: Option<(u32, u32)>,
}

impl ZoneRun {
    pub(crate) fn new(scheduler: Box<dyn ZoneScheduler>, workers: Vec<WorkerInfo>) -> Self {
        Self {
            scheduler,
            map: BlockMap::new(&workers),
            outages: vec![0; workers.len()],
            broken: vec![false; workers.len()],
            workers,
            is_closed: false,
            queued: BTreeSet::new(),
            running: 0,
            wake_at: None,
            fragmentation: None,
        }
    }

    pub(crate) fn touch(&mut self) {
        self.fragmentation = None;
    }

    /// Accelerators that work may run on.
    pub(crate) fn open_capacity(&self) -> u32 {
        if self.is_closed {
            0
        } else {
            self.map.capacity()
        }
    }

    /// Accelerators that the queued jobs ask for.
    pub(crate) fn asked(&self, jobs: &[TrialJob]) -> u32 {
        let accelerators = |index: &usize| jobs[*index].spec.shape.accelerators();
        self.queued.iter().map(accelerators).sum()
    }

    /// Free accelerators, and how many of them the largest waiting shape can't use; `None` if
    /// nothing waits or the zone is closed.
    pub(crate) fn fragmentation(&mut self, jobs: &[TrialJob]) -> Option<(u32, u32)> {
        if self.is_closed || self.queued.is_empty() {
            return None;
        }
        if self.fragmentation.is_none() {
            let shapes = self.queued.iter().map(|index| jobs[*index].spec.shape);
            let size = |shape: &GangShape| (shape.accelerators(), shape.adjacency());
            let largest = shapes.max_by_key(size)?;
            let unusable = fragmentation::unusable(&self.map, largest);
            self.fragmentation = Some((self.map.free(), unusable));
        }
        self.fragmentation
    }
}
