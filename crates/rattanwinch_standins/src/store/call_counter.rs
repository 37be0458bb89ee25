use std::time::Instant;

use super::KvRefusal;
use super::KvResult;
use super::RateWindow;
use super::StoreCounts;
use super::StoreLimits;

rattanwinch_types::value! { copy
    /// How a call counts.
    pub(crate) enum CallClass {
        /// It reads.
        Read,
        /// It writes, or changes a lease.
        Write,
    }
}

/// Counts calls and refuses those beyond the rates.
#[derive(Debug)]
pub(crate) struct CallCounter {
    limits: StoreLimits,
    counts: StoreCounts,
    reads: RateWindow,
    writes: RateWindow,
}

impl CallCounter {
    /// A counter that has counted nothing.
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            limits,
            counts: StoreCounts::default(),
            reads: RateWindow::default(),
            writes: RateWindow::default(),
        }
    }

    /// Counts a call; refuses it if it exceeds the rate of its class.
    pub fn count(&mut self, kind: &str, class: CallClass, now: Instant) -> KvResult<()> {
        *self.counts.calls.entry(kind.to_owned()).or_default() += 1;
        let exceeded = match class {
            CallClass::Write => self.writes.count(now) > self.limits.writes_per_second,
            CallClass::Read => {
                let waiting = self.counts.waiting_watches;
                self.reads.count(now) + waiting > self.limits.reads_per_second
            }
        };
        if exceeded {
            self.counts.refused_by_rate += 1;
            return Err(KvRefusal::TooManyRequests);
        }
        Ok(())
    }

    /// Counts a watch that begins to wait.
    pub fn watch_starts(&mut self) {
        self.counts.waiting_watches += 1;
    }

    /// Counts a watch that no longer waits.
    pub fn watch_ends(&mut self) {
        self.counts.waiting_watches = self.counts.waiting_watches.saturating_sub(1);
    }

    /// What was counted.
    pub fn counts(&self) -> StoreCounts {
        StoreCounts {
            most_writes_per_second: self.writes.most(),
            most_reads_per_second: self.reads.most(),
            ..self.counts.clone()
        }
    }

    /// Counts from zero again; waiting watches stay.
    pub fn reset(&mut self) {
        self.counts = StoreCounts {
            waiting_watches: self.counts.waiting_watches,
            ..StoreCounts::default()
        };
        self.reads.reset_most();
        self.writes.reset_most();
    }
}
