use std::time::Duration;

use arc_swap::ArcSwap;
use imbl::Vector;
use rattanwinch_types::Timestamp;

/// The length of the rate limiter's window. It exceeds the store's window of one second, because
/// calls that are sent a second apart can arrive closer together.
const RATE_WINDOW: Duration = Duration::from_millis(1100);

/// A sliding-window rate limiter for the calls of this process.
///
/// The limiter keeps the start times of the last calls, because a token bucket would allow up to
/// twice its size in one window.
#[derive(Debug)]
pub(crate) struct CallRateLimiter {
    max_calls: usize,
    starts: ArcSwap<Vector<Timestamp>>,
}

impl CallRateLimiter {
    /// Creates a limiter that allows `calls_per_second` calls in any one-second window.
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            max_calls: usize::try_from(calls_per_second).unwrap_or(usize::MAX),
            starts: ArcSwap::from_pointee(Vector::new()),
        }
    }

    /// Reserves the next call and returns its start time, or `None` if the call would have to
    /// wait longer than `max_wait`.
    pub fn reserve(&self, now: Timestamp, max_wait: Duration) -> Option<Timestamp> {
        let mut reserved = None;
        self.starts.rcu(|starts| {
            let start = self.next_start(starts, now);
            let mut starts = Vector::clone(starts);
            reserved = (now.until(start) <= max_wait).then_some(start);
            if reserved.is_some() {
                starts.push_back(start);
                while starts.len() > self.max_calls {
                    starts.pop_front();
                }
            }
            starts
        });
        reserved
    }

    fn next_start(&self, starts: &Vector<Timestamp>, now: Timestamp) -> Timestamp {
        match starts.front() {
            Some(oldest) if starts.len() >= self.max_calls => now.max(*oldest + RATE_WINDOW),
            _ => now,
        }
    }
}
