use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::workload::TrialJob;
use crate::zone_change::ZoneChange;
use crate::zone_run::ZoneRun;

const HOUR_MS: f64 = 3_600_000.0;

/// What is summed up over time.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    /// Share of unusable free accelerators, times milliseconds.
    fragmented_ms: f64,
    /// Unusable free accelerators, times milliseconds.
    unusable_ms: f64,
    /// Accelerators of open zones, times milliseconds.
    capacity_ms: f64,
    /// Milliseconds in which jobs wait and accelerators are free.
    waiting_ms: f64,
    /// The time of the zone change.
    pub zone_change: ZoneChange,
    /// Accelerator-milliseconds lost to evictions.
    pub eviction_lost_ms: f64,
    /// Accelerator-milliseconds lost to failures.
    pub failure_lost_ms: f64,
    /// Accelerator-milliseconds of completed work.
    pub completed_ms: f64,
    /// Evictions.
    pub evictions: u64,
}

impl Accounts {
    /// Adds the time from `from` to `to`, in which nothing changed.
    pub(crate) fn pass(
        &mut self,
        zones: &mut [ZoneRun],
        jobs: &[TrialJob],
        span: (Timestamp, Timestamp),
        zone_change: Option<(Timestamp, Timestamp)>,
        started: impl FnOnce() -> Vec<usize>,
    ) {
        let (from, to) = span;
        let millis = to.since(from).as_secs_f64() * 1000.0;
        if millis == 0.0 {
            return;
        }
        for zone in zones.iter_mut() {
            self.capacity_ms += millis * f64::from(zone.open_capacity());
            if let Some((free, unusable)) = zone.fragmentation(jobs).filter(|(free, _)| *free > 0) {
                self.fragmented_ms += millis * f64::from(unusable) / f64::from(free);
                self.unusable_ms += millis * f64::from(unusable);
                self.waiting_ms += millis;
            }
        }
        let is_changing = zone_change.is_some_and(|(start, end)| from >= start && to <= end);
        if is_changing {
            self.zone_change.pass(zones, jobs, &started(), millis);
        }
    }

    /// Work that was done and has to be done again.
    pub(crate) fn lose(&mut self, accelerators: u32, lost: Duration, to_eviction: bool) {
        let lost_ms = f64::from(accelerators) * lost.as_secs_f64() * 1000.0;
        if to_eviction {
            self.eviction_lost_ms += lost_ms;
        } else {
            self.failure_lost_ms += lost_ms;
        }
    }

    /// Work lost in the time of the zone change was not useful.
    pub(crate) fn discount(&mut self, accelerators: u32, lost: Duration) {
        let lost_ms = f64::from(accelerators) * lost.as_secs_f64() * 1000.0;
        self.zone_change.discount(lost_ms);
    }

    pub(crate) fn fragmentation(&self) -> f64 {
        share(self.fragmented_ms, self.waiting_ms)
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
