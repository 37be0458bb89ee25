use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::GangShape;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::measures::DurationHistogram;

/// The maximum time of a reclaim: the checkpoint limit of 30 s plus the stop limit of 5 s.
const MAX_RECLAIM_TIME: Duration = Duration::from_secs(35);

/// The scheduler's reason for a wait, and since when it applies.
#[derive(Clone, Debug)]
struct WaitReason {
    at: Timestamp,
    reason: Arc<str>,
    guarantee: Option<GuaranteeStatus>,
}

/// The history of a wait within a guarantee.
#[derive(Clone, Debug)]
pub struct WaitTrace {
    key: RequestKey,
    shape: GangShape,
    zone: usize,
    failures: u32,
    queued_at: Timestamp,
    waited: Duration,
    reasons: Vec<WaitReason>,
}

/// Records the waits of jobs that fit the unused part of their owner's guarantee.
#[derive(Debug)]
pub(crate) struct GuaranteeWaits {
    /// The durations of all waits.
    pub times: DurationHistogram,
    /// The waits that exceeded the maximum reclaim time.
    pub over_limit: Vec<WaitTrace>,
    waiting: BTreeMap<usize, WaitTrace>,
}

impl GuaranteeWaits {
    pub(crate) fn new() -> Self {
        Self {
            times: DurationHistogram::new(),
            over_limit: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Begins the wait of a job that was queued in the zone.
    pub(crate) fn begin(
        &mut self,
        (index, spec): (usize, &JobSpec),
        zone: usize,
        failures: u32,
        now: Timestamp,
    ) {
        let trace = WaitTrace {
            key: spec.key.clone(),
            shape: spec.shape,
            zone,
            failures,
            queued_at: now,
            waited: Duration::ZERO,
            reasons: Vec::new(),
        };
        self.waiting.insert(index, trace);
    }

    /// Returns the jobs that wait in the zone.
    pub(crate) fn waiting_in(&self, zone: usize) -> Vec<(usize, RequestKey)> {
        let here = self.waiting.iter().filter(|(_, trace)| trace.zone == zone);
        here.map(|(index, trace)| (*index, trace.key.clone()))
            .collect()
    }

    /// Records the scheduler's reason for a wait, if it has changed.
    pub(crate) fn record_reason(
        &mut self,
        index: usize,
        reason: Arc<str>,
        guarantee: Option<GuaranteeStatus>,
        now: Timestamp,
    ) {
        let Some(trace) = self.waiting.get_mut(&index) else {
            return;
        };
        let is_unchanged =
            |entry: &WaitReason| entry.reason == reason && entry.guarantee == guarantee;
        if !trace.reasons.last().is_some_and(is_unchanged) {
            trace.reasons.push(WaitReason {
                at: now,
                reason,
                guarantee,
            });
        }
    }

    /// Ends the wait of a job that started, or left the queue without a start.
    pub(crate) fn end(&mut self, index: usize, now: Timestamp) {
        if let Some(mut trace) = self.waiting.remove(&index) {
            trace.waited = now.since(trace.queued_at);
            self.times.record(trace.waited);
            if trace.waited > MAX_RECLAIM_TIME {
                self.over_limit.push(trace);
            }
        }
    }
}

impl fmt::Display for WaitTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |at: Timestamp| at.since(Timestamp::ZERO).as_secs_f64();
        writeln!(
            f,
            "{} in zone {}, {} x {} within one {}, after {} failures: queued at {:.3} s, waited {:.3} s",
            self.key,
            self.zone + 1,
            self.shape.tasks(),
            self.shape.accelerators_per_task(),
            self.shape.adjacency().as_str(),
            self.failures,
            seconds(self.queued_at),
            self.waited.as_secs_f64(),
        )?;
        for entry in &self.reasons {
            write!(f, "  {:.3} s: {}", seconds(entry.at), entry.reason)?;
            if let Some(status) = &entry.guarantee {
                write!(
                    f,
                    " (guaranteed {}, used {}, unmet {}: {})",
                    status.guaranteed,
                    status.used,
                    status.unmet,
                    status.cause.as_deref().unwrap_or("none")
                )?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
