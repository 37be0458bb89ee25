use std::time::Duration;

use arc_swap::ArcSwap;
use imbl::Vector;
use rattanwinch_types::Timestamp;

/// The length of the rate limiter's window. It exceeds the store's window of one second, because
/// calls that are sent a second apart can arrive closer together.
const RATE_WINDOW: Duration = Duration::from_millis(1100);

/// A sliding-window rate limiter for the calls of this process.
///
/// It keeps the start times of the last calls, because a token bucket would allow up to twice its
/// size in one window.
#[derive(Debug)]
pub(crate) struct CallRateLimiter {
    max_calls: usize,
    call_starts: ArcSwap<Vector<Timestamp>>,
}

impl CallRateLimiter {
    /// Creates a limiter that allows `per_second` calls in any one-second window.
    pub fn new(per_second: u32) -> Self {
        Self {
            max_calls: usize::try_from(per_second).unwrap_or(usize::MAX),
            call_starts: ArcSwap::from_pointee(Vector::new()),
        }
    }

    /// Reserves the next call and returns its start time, or `None` if the call would have to
    /// wait longer than `max_wait`.
    pub fn reserve(&self, now: Timestamp, max_wait: Duration) -> Option<Timestamp> {
        let mut reserved = None;
        self.call_starts.rcu(|call_starts| {
            let start = self.next_start(call_starts, now);
            let mut call_starts = Vector::clone(call_starts);
            reserved = (now.until(start) <= max_wait).then_some(start);
            if reserved.is_some() {
                call_starts.push_back(start);
                while call_starts.len() > self.max_calls {
                    call_starts.pop_front();
                }
            }
            call_starts
        });
        reserved
    }

    fn next_start(&self, call_starts: &Vector<Timestamp>, now: Timestamp) -> Timestamp {
        match call_starts.front() {
            Some(oldest) if call_starts.len() >= self.max_calls => now.max(*oldest + RATE_WINDOW),
            _ => now,
        }
    }
}
