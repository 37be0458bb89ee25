use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::workload::TrialJob;
use crate::zone_change::ZoneChangeTotals;
use crate::zone_state::ZoneState;

const HOUR_MS: f64 = 3_600_000.0;

/// Totals over the simulated time of a trial.
#[derive(Debug, Default)]
pub(crate) struct TrialTotals {
    /// The unusable share of the free accelerators, integrated over milliseconds.
    fragmentation_ms: f64,
    /// Unusable free accelerators, integrated over milliseconds.
    unusable_ms: f64,
    /// Accelerators of open zones, integrated over milliseconds.
    capacity_ms: f64,
    /// The time during which jobs wait while accelerators are free, in milliseconds.
    waiting_ms: f64,
    /// Totals over the time of the zone change.
    pub zone_change: ZoneChangeTotals,
    /// Accelerator-milliseconds lost to evictions.
    pub eviction_lost_ms: f64,
    /// Accelerator-milliseconds lost to failures.
    pub failure_lost_ms: f64,
    /// Accelerator-milliseconds of completed work.
    pub completed_ms: f64,
    /// The number of evictions.
    pub evictions: u64,
}

impl TrialTotals {
    /// Adds a time interval in which the state did not change.
    pub(crate) fn add_interval(
        &mut self,
        zones: &mut [ZoneState],
        jobs: &[TrialJob],
        interval: (Timestamp, Timestamp),
        zone_change: Option<(Timestamp, Timestamp)>,
        started_jobs: impl FnOnce() -> Vec<usize>,
    ) {
        let (from, to) = interval;
        let millis = to.since(from).as_secs_f64() * 1000.0;
        if millis == 0.0 {
            return;
        }
        for zone in zones.iter_mut() {
            self.capacity_ms += millis * f64::from(zone.open_capacity());
            if let Some((free, unusable)) = zone.fragmentation(jobs).filter(|(free, _)| *free > 0) {
                self.fragmentation_ms += millis * f64::from(unusable) / f64::from(free);
                self.unusable_ms += millis * f64::from(unusable);
                self.waiting_ms += millis;
            }
        }
        let is_changing = zone_change.is_some_and(|(start, end)| from >= start && to <= end);
        if is_changing {
            self.zone_change
                .add_interval(zones, jobs, &started_jobs(), millis);
        }
    }

    /// Adds work that was lost and must be repeated.
    pub(crate) fn add_lost_work(&mut self, accelerators: u32, lost: Duration, to_eviction: bool) {
        let lost_ms = f64::from(accelerators) * lost.as_secs_f64() * 1000.0;
        if to_eviction {
            self.eviction_lost_ms += lost_ms;
        } else {
            self.failure_lost_ms += lost_ms;
        }
    }

    /// Subtracts work lost during the zone change from its useful work.
    pub(crate) fn subtract_lost_work(&mut self, accelerators: u32, lost: Duration) {
        let lost_ms = f64::from(accelerators) * lost.as_secs_f64() * 1000.0;
        self.zone_change.subtract_lost_work(lost_ms);
    }

    pub(crate) fn fragmentation(&self) -> f64 {
        share(self.fragmentation_ms, self.waiting_ms)
    }

    pub(crate) fn unusable(&self) -> f64 {
        share(self.unusable_ms, self.capacity_ms)
    }

    pub(crate) fn eviction_lost_h(&self) -> f64 {
        self.eviction_lost_ms / HOUR_MS
    }

    pub(crate) fn failure_lost_h(&self) -> f64 {
        self.failure_lost_ms / HOUR_MS
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 0.0 }
}
