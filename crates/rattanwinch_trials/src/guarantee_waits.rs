use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::GangShape;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::JobSpec;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::measures::Times;

/// A reclaim takes at most the checkpoint limit of 30 s and the stop limit of 5 s.
const STATED: Duration = Duration::from_secs(35);

/// What a scheduler said about a wait, from then on.
#[derive(Clone, Debug)]
struct Note {
    at: Timestamp,
    reason: Arc<str>,
    guarantee: Option<GuaranteeStatus>,
}

/// The course of one wait within a guarantee.
#[derive(Clone, Debug)]
pub struct WaitTrace {
    key: RequestKey,
    shape: GangShape,
    zone: usize,
    failures: u32,
    began: Timestamp,
    took: Duration,
    notes: Vec<Note>,
}

/// The waits of jobs that fit the unused part of their owner's guarantee.
#[derive(Debug)]
pub(crate) struct GuaranteeWaits {
    /// All of them.
    pub times: Times,
    /// Those that exceeded the stated time.
    pub overlong: Vec<WaitTrace>,
    open: BTreeMap<usize, WaitTrace>,
}

impl GuaranteeWaits {
    pub(crate) fn new() -> Self {
        Self {
            times: Times::new(),
            overlong: Vec::new(),
            open: BTreeMap::new(),
        }
    }

    /// The job was queued in the zone, after so many failures.
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
            began: now,
            took: Duration::ZERO,
            notes: Vec::new(),
        };
        self.open.insert(index, trace);
    }

    /// The jobs that wait in the zone.
    pub(crate) fn waiting(&self, zone: usize) -> Vec<(usize, RequestKey)> {
        let here = self.open.iter().filter(|(_, trace)| trace.zone == zone);
        here.map(|(index, trace)| (*index, trace.key.clone()))
            .collect()
    }

    /// Notes what the scheduler says, if it differs from before.
    pub(crate) fn note(
        &mut self,
        index: usize,
        reason: Arc<str>,
        guarantee: Option<GuaranteeStatus>,
        now: Timestamp,
    ) {
        let Some(trace) = self.open.get_mut(&index) else {
            return;
        };
        let is_known = |note: &Note| note.reason == reason && note.guarantee == guarantee;
        if !trace.notes.last().is_some_and(is_known) {
            trace.notes.push(Note {
                at: now,
                reason,
                guarantee,
            });
        }
    }

    /// The job started, or left the queue without a start.
    pub(crate) fn end(&mut self, index: usize, now: Timestamp) {
        if let Some(mut trace) = self.open.remove(&index) {
            trace.took = now.since(trace.began);
            self.times.record(trace.took);
            if trace.took > STATED {
                self.overlong.push(trace);
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
            seconds(self.began),
            self.took.as_secs_f64(),
        )?;
        for note in &self.notes {
            write!(f, "  {:.3} s: {}", seconds(note.at), note.reason)?;
            if let Some(status) = &note.guarantee {
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
