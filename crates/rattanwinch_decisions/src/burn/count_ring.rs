use std::time::Duration;

use rattanwinch_types::Timestamp;

rattanwinch_types::value! { copy
    /// Requests that met the service level and requests that didn't.
    #[derive(Default)]
    pub struct RequestCount {
        /// Answered in time.
        pub good: u64,
        /// Not answered, or too late, through a fault of the system.
        pub bad: u64,
    }
}

impl RequestCount {
    /// Both together.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Adds the counts of `other`.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            bad: self.bad.saturating_add(other.bad),
        }
    }
}

/// Counts of the latest `buckets` spans of time, each of the same length.
#[derive(Clone, Debug)]
pub(super) struct CountRing {
    span: Duration,
    /// The number of the span that the latest bucket stands for, counted from time zero.
    latest: u64,
    buckets: Box<[RequestCount]>,
}

impl CountRing {
    pub fn new(span: Duration, buckets: usize) -> Self {
        Self {
            span,
            latest: 0,
            buckets: vec![RequestCount::default(); buckets].into(),
        }
    }

    /// Adds a count; one that is older than the ring is dropped.
    pub fn add(&mut self, count: RequestCount, now: Timestamp) {
        let number = self.number(now);
        self.advance(number);
        if self.latest - number < self.len() {
            let index = self.index(number);
            self.buckets[index] = self.buckets[index].plus(count);
        }
    }

    /// The sum over `window` before `now`, the present bucket included.
    pub fn sum(&self, window: Duration, now: Timestamp) -> RequestCount {
        let end = self.number(now);
        let spans = window.as_millis() / self.span.as_millis();
        let spans = u64::try_from(spans).unwrap_or(u64::MAX).min(self.len());
        let start = (end + 1).saturating_sub(spans);
        let oldest = (self.latest + 1).saturating_sub(self.len());
        let numbers = start.max(oldest)..=end.min(self.latest);
        numbers.fold(RequestCount::default(), |sum, number| {
            sum.plus(self.buckets[self.index(number)])
        })
    }

    /// Clears the buckets between the latest and `number`, at most all.
    fn advance(&mut self, number: u64) {
        let first = (self.latest + 1).max((number + 1).saturating_sub(self.len()));
        for passed in first..=number {
            let index = self.index(passed);
            self.buckets[index] = RequestCount::default();
        }
        self.latest = self.latest.max(number);
    }

    fn number(&self, now: Timestamp) -> u64 {
        let span = u64::try_from(self.span.as_millis()).unwrap_or(u64::MAX);
        now.as_millis() / span.max(1)
    }

    fn len(&self) -> u64 {
        self.buckets.len() as u64
    }

    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.len()).expect("an index below the length fits")
    }
}
