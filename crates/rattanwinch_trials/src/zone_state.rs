use std::collections::BTreeSet;

use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::GangShape;
use rattanwinch_types::Timestamp;

use crate::block_map::BlockMap;
use crate::fragmentation;
use crate::workload::TrialJob;
use crate::zone_scheduler::ZoneScheduler;

/// The state of an availability zone in a trial.
#[derive(Debug)]
pub(crate) struct ZoneState {
    /// The scheduler of the zone.
    pub scheduler: Box<dyn ZoneScheduler>,
    /// The driver's own map of free accelerators.
    pub map: BlockMap,
    /// The workers, in rack order.
    pub workers: Vec<WorkerInfo>,
    /// The number of current outages of each worker.
    pub outages: Vec<u32>,
    /// True for each worker whose executor fails all tasks.
    pub faulty: Vec<bool>,
    /// True if operators have closed the zone.
    pub is_closed: bool,
    /// The jobs that are queued in the zone.
    pub queued: BTreeSet<usize>,
    /// The number of accelerators of running tasks.
    pub running_accelerators: u32,
    /// When the scheduler wants to be called again.
    pub wake_at: Option<Timestamp>,
    /// Cached result of [`Self::fragmentation`]; `None` if the state has changed since.
    fragmentation: Option<(u32, u32)>,
}

impl ZoneState {
    pub(crate) fn new(scheduler: Box<dyn ZoneScheduler>, workers: Vec<WorkerInfo>) -> Self {
        Self {
            scheduler,
            map: BlockMap::new(&workers),
            outages: vec![0; workers.len()],
            faulty: vec![false; workers.len()],
            workers,
            is_closed: false,
            queued: BTreeSet::new(),
            running_accelerators: 0,
            wake_at: None,
            fragmentation: None,
        }
    }

    pub(crate) fn invalidate_fragmentation(&mut self) {
        self.fragmentation = None;
    }

    /// Returns the number of accelerators that jobs may run on.
    pub(crate) fn open_capacity(&self) -> u32 {
        if self.is_closed {
            0
        } else {
            self.map.capacity()
        }
    }

    /// Returns the number of accelerators that the queued jobs request.
    pub(crate) fn requested_accelerators(&self, jobs: &[TrialJob]) -> u32 {
        let accelerators = |index: &usize| jobs[*index].spec.shape.accelerators();
        self.queued.iter().map(accelerators).sum()
    }

    /// Returns the number of free accelerators, and how many of them the largest waiting shape
    /// cannot use; `None` if no job waits or the zone is closed.
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
