use std::time::Duration;

use arc_swap::ArcSwap;
use imbl::Vector;
use rattanwinch_types::Timestamp;

/// The window in which calls are counted. It is longer than the second that the store counts,
/// because calls that leave a second apart can arrive closer together.
const WINDOW: Duration = Duration::from_millis(1100);

/// The share of calls of this process in any one-second window.
///
/// It keeps the times of the last calls rather than a token bucket, because a bucket lets up to
/// twice its size through in one window.
#[derive(Debug)]
pub(crate) struct CallBudget {
    per_window: usize,
    starts: ArcSwap<Vector<Timestamp>>,
}

impl CallBudget {
    /// A budget of `per_second` calls in any one-second window.
    pub fn new(per_second: u32) -> Self {
        Self {
            per_window: usize::try_from(per_second).unwrap_or(usize::MAX),
            starts: ArcSwap::from_pointee(Vector::new()),
        }
    }

    /// Reserves the next call and returns when it may start; `None` if that is more than
    /// `max_wait` after `now`.
    pub fn reserve(&self, now: Timestamp, max_wait: Duration) -> Option<Timestamp> {
        let mut reserved = None;
        self.starts.rcu(|starts| {
            let start = self.next_start(starts, now);
            let mut starts = Vector::clone(starts);
            reserved = (now.until(start) <= max_wait).then_some(start);
            if reserved.is_some() {
                starts.push_back(start);
                while starts.len() > self.per_window {
                    starts.pop_front();
                }
            }
            starts
        });
        reserved
    }

    fn next_start(&self, starts: &Vector<Timestamp>, now: Timestamp) -> Timestamp {
        match starts.front() {
            Some(oldest) if starts.len() >= self.per_window => now.max(*oldest + WINDOW),
            _ => now,
        }
    }
}
