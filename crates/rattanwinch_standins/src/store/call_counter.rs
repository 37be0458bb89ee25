use std::time::Instant;

use super::KvError;
use super::KvResult;
use super::RateWindow;
use super::StoreCounts;
use super::StoreLimits;

rattanwinch_types::value! { copy
    /// The rate limit against which a call counts.
    pub(crate) enum CallClass {
        /// Reads keys.
        Read,
        /// Writes keys or changes a lease.
        Write,
    }
}

/// Counts calls and enforces the rate limits.
#[derive(Debug)]
pub(crate) struct CallCounter {
    limits: StoreLimits,
    counts: StoreCounts,
    reads: RateWindow,
    writes: RateWindow,
}

impl CallCounter {
    /// Creates a counter with all counts at zero.
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            limits,
            counts: StoreCounts::default(),
            reads: RateWindow::default(),
            writes: RateWindow::default(),
        }
    }

    /// Counts a call; fails if it exceeds the rate limit of its class.
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
            return Err(KvError::TooManyRequests);
        }
        Ok(())
    }

    /// Counts a watch that was opened.
    pub fn watch_opened(&mut self) {
        self.counts.waiting_watches += 1;
    }

    /// Counts a watch that was closed.
    pub fn watch_closed(&mut self) {
        self.counts.waiting_watches = self.counts.waiting_watches.saturating_sub(1);
    }

    /// Returns the counts.
    pub fn counts(&self) -> StoreCounts {
        StoreCounts {
            most_writes_per_second: self.writes.peak(),
            most_reads_per_second: self.reads.peak(),
            ..self.counts.clone()
        }
    }

    /// Resets the counts, except for the number of open watches.
    pub fn reset(&mut self) {
        self.counts = StoreCounts {
            waiting_watches: self.counts.waiting_watches,
            ..StoreCounts::default()
        };
        self.reads.reset_peak();
        self.writes.reset_peak();
    }
}
