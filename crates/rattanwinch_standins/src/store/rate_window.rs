use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// The window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The calls of the last second, and the most there were in any one-second window.
#[derive(Debug, Default)]
pub(crate) struct RateWindow {
    times: VecDeque<Instant>,
    most: usize,
}

impl RateWindow {
    /// Counts a call at `now` and returns how many there are in the second that ends with it.
    pub fn count(&mut self, now: Instant) -> usize {
        while let Some(oldest) = self.times.front()
            && now.duration_since(*oldest) >= WINDOW
        {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.most = self.most.max(self.times.len());
        self.times.len()
    }

    /// The most calls in any one-second window so far.
    pub const fn most(&self) -> usize {
        self.most
    }

    /// Forgets the greatest number so far.
    pub fn reset_most(&mut self) {
        self.most = 0;
    }
}
