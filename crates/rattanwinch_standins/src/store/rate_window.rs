use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Counts calls in a sliding one-second window and records the peak.
#[derive(Debug, Default)]
pub(crate) struct RateWindow {
    times: VecDeque<Instant>,
    peak: usize,
}

impl RateWindow {
    /// Counts a call at `now` and returns the number of calls in the window that ends there.
    pub fn count(&mut self, now: Instant) -> usize {
        while let Some(oldest) = self.times.front()
            && now.duration_since(*oldest) >= WINDOW
        {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.peak = self.peak.max(self.times.len());
        self.times.len()
    }

    /// Returns the maximum number of calls in any window so far.
    pub const fn peak(&self) -> usize {
        self.peak
    }

    /// Resets the peak.
    pub fn reset_peak(&mut self) {
        self.peak = 0;
    }
}
