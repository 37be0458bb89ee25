use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::zone_change::ZoneChangeShares;

/// A distribution of times or ratios.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The results of one scheduler on the events of one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Jobs that succeeded.
    pub succeeded: u64,
    /// Jobs that were refused, cancelled or given up.
    pub not_completed: u64,
    /// Jobs that had not ended a day after the last arrival.
    pub unfinished: u64,
    /// The time from submission to success, in seconds; unfinished jobs count until the end.
    pub completion_s: Percentiles,
    /// The completion time divided by the uninterrupted run time.
    pub slowdown: Percentiles,
    /// The share of free accelerators that the largest waiting shape cannot use, averaged over the
    /// time during which jobs wait while accelerators are free.
    pub fragmentation: f64,
    /// The same unusable accelerators as a share of the open capacity, until the last event.
    /// Unlike `fragmentation`, a scheduler cannot lower it by leaving more accelerators free.
    pub unusable_of_capacity: f64,
    /// Useful accelerator-hours from the closing of a zone until after its reopening, divided by
    /// those that the remaining capacity and the waiting jobs allow.
    pub zone_change_useful: f64,
    /// The breakdown of accelerator time during the zone change.
    pub zone_change: ZoneChangeShares,
    /// The waits of jobs that fit the unused part of their owner's guarantee, in seconds.
    pub guarantee_wait_s: Percentiles,
    /// The longest such wait, in seconds.
    pub guarantee_wait_max_s: f64,
    /// The waits of urgent jobs, in seconds.
    pub urgent_wait_s: Percentiles,
    /// Accelerator-hours lost or spent in evictions.
    pub eviction_lost_h: f64,
    /// The number of evictions.
    pub evictions: u64,
    /// Accelerator-hours lost to failed workers and failed tasks.
    pub failure_lost_h: f64,
    /// Accelerator-hours of completed work divided by the capacity until the last success.
    pub utilisation: f64,
    /// The number of invariant violations.
    pub violations: u64,
}

/// A histogram of durations, in milliseconds.
#[derive(Debug)]
pub(crate) struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    pub(crate) fn new() -> Self {
        let max_ms = 30 * 86_400_000;
        Self(Histogram::new_with_max(max_ms, 3).expect("3 digits are a valid precision"))
    }

    pub(crate) fn record(&mut self, span: Duration) {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.0.saturating_record(millis);
    }

    /// Records a ratio as thousandths.
    pub(crate) fn record_ratio(&mut self, ratio: f64) {
        self.record(Duration::from_secs_f64(ratio));
    }

    pub(crate) fn percentiles(&self) -> Percentiles {
        let at = |quantile| self.0.value_at_quantile(quantile) as f64 / 1000.0;
        Percentiles {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }

    pub(crate) fn max(&self) -> f64 {
        self.0.max() as f64 / 1000.0
    }
}
