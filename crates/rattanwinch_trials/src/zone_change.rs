//! Where the time of a zone change goes.

use rattanwinch_types::GangShape;
use serde::Serialize;

use crate::block_map::BlockMap;
use crate::block_map::Fit;
use crate::workload::TrialJob;
use crate::zone_run::ZoneRun;

/// Accelerator-milliseconds of the time of a zone change.
#[derive(Debug, Default)]
pub(crate) struct ZoneChange {
    useful: f64,
    reachable: f64,
    packable: f64,
    leaving: f64,
    lost: f64,
    fits_own: f64,
    fits_other: f64,
}

/// Shares of what the remaining capacity and the waiting jobs allow by their numbers alone.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ZoneChangeShares {
    /// Useful work.
    pub useful: f64,
    /// What all jobs could use if they were packed anew at each moment, largest first, into all
    /// open zones, with moves that cost nothing.
    pub packable: f64,
    /// Accelerators of jobs that are being checkpointed or stopped.
    pub leaving: f64,
    /// Work that was done and lost.
    pub lost: f64,
    /// Free accelerators that jobs in the queue of the same zone fit.
    pub fits_own: f64,
    /// Other free accelerators that jobs in the queue of another zone fit.
    pub fits_other: f64,
}

fn shapes<'a>(queued: impl Iterator<Item = &'a usize>, jobs: &[TrialJob]) -> Vec<GangShape> {
    let mut shapes: Vec<GangShape> = queued.map(|index| jobs[*index].spec.shape).collect();
    shapes.sort_by_key(|shape| {
        let size = (
            shape.adjacency(),
            shape.accelerators_per_task(),
            shape.accelerators(),
        );
        std::cmp::Reverse(size)
    });
    shapes
}

/// Packs the shapes in their order into the first map that has room, and removes those that fit.
/// Returns their accelerators.
fn pack(maps: &mut [BlockMap], shapes: &mut Vec<GangShape>) -> u32 {
    let mut packed = 0;
    shapes.retain(|shape| {
        for map in maps.iter_mut() {
            if let Some(slots) = map.find(*shape, Fit::Best) {
                map.take(&map.placement(&slots));
                packed += shape.accelerators();
                return false;
            }
        }
        true
    });
    packed
}

impl ZoneChange {
    /// Adds a time in which nothing changed; `started` are the jobs that run or leave.
    pub(crate) fn pass(
        &mut self,
        zones: &[ZoneRun],
        jobs: &[TrialJob],
        started: &[usize],
        millis: f64,
    ) {
        let running: u32 = zones.iter().map(|zone| zone.running).sum();
        let asked: u32 = zones.iter().map(|zone| zone.asked(jobs)).sum();
        let capacity: u32 = zones.iter().map(ZoneRun::open_capacity).sum();
        let reachable = capacity.min(running + asked);
        self.useful += millis * f64::from(running);
        self.reachable += millis * f64::from(reachable);
        let open: Vec<&ZoneRun> = zones.iter().filter(|zone| !zone.is_closed).collect();
        let mut empty: Vec<BlockMap> = open.iter().map(|zone| zone.map.without_jobs()).collect();
        let queued = zones.iter().flat_map(|zone| &zone.queued);
        let mut all = shapes(queued.chain(started), jobs);
        let packable = pack(&mut empty, &mut all).min(reachable);
        self.packable += millis * f64::from(packable);
        let free: u32 = open.iter().map(|zone| zone.map.free()).sum();
        let gap = reachable.saturating_sub(running);
        let leaving = gap.min(capacity.saturating_sub(free + running));
        let mut maps: Vec<BlockMap> = open.iter().map(|zone| zone.map.clone()).collect();
        let (mut own, mut rest) = (0, Vec::new());
        for (zone, map) in open.iter().zip(&mut maps) {
            let mut waiting = shapes(zone.queued.iter(), jobs);
            own += pack(std::slice::from_mut(map), &mut waiting);
            rest.append(&mut waiting);
        }
        let own = own.min(gap - leaving);
        let other = pack(&mut maps, &mut rest).min(gap - leaving - own);
        self.leaving += millis * f64::from(leaving);
        self.fits_own += millis * f64::from(own);
        self.fits_other += millis * f64::from(other);
    }

    /// Work lost in the time of the zone change was not useful.
    pub(crate) fn discount(&mut self, lost_ms: f64) {
        self.useful -= lost_ms;
        self.lost += lost_ms;
    }

    pub(crate) fn shares(&self) -> ZoneChangeShares {
        let share = |part: f64| {
            if self.reachable > 0.0 {
                part / self.reachable
            } else {
                0.0
            }
        };
        ZoneChangeShares {
            useful: share(self.useful),
            packable: share(self.packable),
            leaving: share(self.leaving),
            lost: share(self.lost),
            fits_own: share(self.fits_own),
            fits_other: share(self.fits_other),
        }
    }
}
