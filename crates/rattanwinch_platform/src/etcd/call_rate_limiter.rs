use std::time::Duration;

use arc_swap::ArcSwap;
use imbl::Vector;
use rattanwinch_types::Timestamp;

/// The store's window, in which the number of calls is limited.
const STORE_WINDOW: Duration = Duration::from_millis(1000);

/// How long a call counts from its start. It exceeds the store's window, because calls that are
/// sent a second apart can arrive closer together.
const RATE_WINDOW: Duration = Duration::from_millis(1100);

/// The delay before a call is tried again that an unanswered one holds up.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a call without an end counts. It is longer than any call's timeout, so the call was
/// dropped before it was sent.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);

/// A call, as far as it counts against the limit.
#[derive(Clone, Copy, Debug)]
struct LimitedCall {
    start: Timestamp,
    /// When the call was answered or failed; it arrived at the store before.
    end: Option<Timestamp>,
}

impl LimitedCall {
    /// When the call can no longer be in the store's window; an estimate while it is unanswered.
    fn counts_until(&self) -> Timestamp {
        let by_start = self.start + RATE_WINDOW;
        self.end
            .map_or(by_start, |end| by_start.max(end + STORE_WINDOW))
    }

    /// True if the call may be in the store's window at `now`.
    fn counts_at(&self, now: Timestamp) -> bool {
        match self.end {
            Some(_) => self.counts_until() > now,
            None => self.start + MAX_CALL_TIME > now,
        }
    }
}

/// A sliding-window rate limiter for the calls of this process.
///
/// The limiter keeps the last calls, because a token bucket would allow up to twice its size in one
/// window. A call that takes long may arrive late and so counts until a window after its end.
#[derive(Debug)]
pub(crate) struct CallRateLimiter {
    max_calls: usize,
    calls: ArcSwap<Vector<LimitedCall>>,
}

impl CallRateLimiter {
    /// Creates a limiter that allows `calls_per_second` calls in any one-second window.
    pub fn new(calls_per_second: u32) -> Self {
        Self {
            max_calls: usize::try_from(calls_per_second).unwrap_or(usize::MAX),
            calls: ArcSwap::from_pointee(Vector::new()),
        }
    }

    /// Reserves the next call and returns its start time, or `None` if the call would have to
    /// wait longer than `max_wait`.
    pub fn reserve(&self, now: Timestamp, max_wait: Duration) -> Option<Timestamp> {
        let mut reserved = None;
        self.calls.rcu(|calls| {
            let mut calls: Vector<_> = calls
                .iter()
                .filter(|call| call.counts_at(now))
                .copied()
                .collect();
            let start = self.next_start(&calls, now);
            reserved = (now.until(start) <= max_wait).then_some(start);
            if reserved.is_some() {
                calls.push_back(LimitedCall { start, end: None });
            }
            calls
        });
        reserved
    }

    /// Returns true if the call reserved for `start` may be sent at `now`: the calls before it were
    /// answered as early as expected.
    pub fn may_send(&self, start: Timestamp, now: Timestamp) -> bool {
        let calls = self.calls.load();
        let earlier = calls.iter().filter(|call| call.start <= start);
        // The call itself is among them.
        earlier.filter(|call| call.counts_at(now)).count() <= self.max_calls
    }

    /// Records the end of the call reserved for `start`.
    pub fn record_end(&self, start: Timestamp, end: Timestamp) {
        self.calls.rcu(|calls| {
            let mut calls = Vector::clone(calls);
            let call = calls
                .iter_mut()
                .find(|call| call.start == start && call.end.is_none());
            if let Some(call) = call {
                call.end = Some(end);
            }
            calls
        });
    }

    /// Withdraws the reservation for `start`, for a call that isn't sent.
    pub fn release(&self, start: Timestamp) {
        self.calls.rcu(|calls| {
            let mut calls = Vector::clone(calls);
            let position = calls
                .iter()
                .position(|call| call.start == start && call.end.is_none());
            if let Some(position) = position {
                calls.remove(position);
            }
            calls
        });
    }

    fn next_start(&self, calls: &Vector<LimitedCall>, now: Timestamp) -> Timestamp {
        if calls.len() < self.max_calls {
            return now;
        }
        let mut ends: Vec<_> = calls.iter().map(LimitedCall::counts_until).collect();
        ends.sort_unstable();
        let expected = ends[calls.len() - self.max_calls];
        if expected > now {
            expected
        } else {
            now + UNANSWERED_RETRY_DELAY
        }
    }
}
