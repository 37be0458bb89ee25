//! The breakdown of accelerator time during a zone change.

use rattanwinch_types::GangShape;
use serde::Serialize;

use crate::block_map::BlockMap;
use crate::block_map::Fit;
use crate::workload::TrialJob;
use crate::zone_state::ZoneState;

/// Accelerator-milliseconds during a zone change.
#[derive(Debug, Default)]
pub(crate) struct ZoneChangeTotals {
    useful: f64,
    attainable: f64,
    packable: f64,
    leaving: f64,
    lost: f64,
    fits_own: f64,
    fits_other: f64,
}

/// Shares of the attainable accelerator time: the capacity of the open zones or, if less, the
/// accelerators that running and queued jobs request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ZoneChangeShares {
    /// The share of useful work.
    pub useful: f64,
    /// The share that jobs could use if they were repacked at each moment, largest first, into all
    /// open zones at no cost.
    pub packable: f64,
    /// Accelerators of jobs that are being checkpointed or stopped.
    pub leaving: f64,
    /// Work that was lost.
    pub lost: f64,
    /// Free accelerators on which queued jobs of the same zone would fit.
    pub fits_own: f64,
    /// Other free accelerators on which queued jobs of another zone would fit.
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

/// Packs the shapes in order, each into the first map that it fits, and removes those that fit.
/// Returns the number of accelerators packed.
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

impl ZoneChangeTotals {
    /// Adds a time interval without changes; `started` are the running and evicting jobs.
    pub(crate) fn add_interval(
        &mut self,
        zones: &[ZoneState],
        jobs: &[TrialJob],
        started: &[usize],
        millis: f64,
    ) {
        let running: u32 = zones.iter().map(|zone| zone.running_accelerators).sum();
        let requested: u32 = zones
            .iter()
            .map(|zone| zone.requested_accelerators(jobs))
            .sum();
        let capacity: u32 = zones.iter().map(ZoneState::open_capacity).sum();
        let attainable = capacity.min(running + requested);
        self.useful += millis * f64::from(running);
        self.attainable += millis * f64::from(attainable);
        let open: Vec<&ZoneState> = zones.iter().filter(|zone| !zone.is_closed).collect();
        let mut empty: Vec<BlockMap> = open.iter().map(|zone| zone.map.without_jobs()).collect();
        let queued = zones.iter().flat_map(|zone| &zone.queued);
        let mut all = shapes(queued.chain(started), jobs);
        let packable = pack(&mut empty, &mut all).min(attainable);
        self.packable += millis * f64::from(packable);
        let free: u32 = open.iter().map(|zone| zone.map.free()).sum();
        let unused = attainable.saturating_sub(running);
        let leaving = unused.min(capacity.saturating_sub(free + running));
        let mut maps: Vec<BlockMap> = open.iter().map(|zone| zone.map.clone()).collect();
        let (mut own, mut remaining) = (0, Vec::new());
        for (zone, map) in open.iter().zip(&mut maps) {
            let mut waiting = shapes(zone.queued.iter(), jobs);
            own += pack(std::slice::from_mut(map), &mut waiting);
            remaining.append(&mut waiting);
        }
        let own = own.min(unused - leaving);
        let other = pack(&mut maps, &mut remaining).min(unused - leaving - own);
        self.leaving += millis * f64::from(leaving);
        self.fits_own += millis * f64::from(own);
        self.fits_other += millis * f64::from(other);
    }

    /// Moves lost work from the useful to the lost total.
    pub(crate) fn subtract_lost_work(&mut self, lost_ms: f64) {
        self.useful -= lost_ms;
        self.lost += lost_ms;
    }

    pub(crate) fn shares(&self) -> ZoneChangeShares {
        let share = |part: f64| {
            if self.attainable > 0.0 {
                part / self.attainable
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
