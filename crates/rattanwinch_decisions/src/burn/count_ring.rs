use std::time::Duration;

use rattanwinch_types::Timestamp;

rattanwinch_types::value! { copy
    /// Number of requests that met the service level and that didn't.
    #[derive(Default)]
    pub struct RequestCount {
        /// Answered in time.
        pub good: u64,
        /// Not answered or answered late, through a fault of the system.
        pub bad: u64,
    }
}

impl RequestCount {
    /// Sum of good and bad requests.
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

/// Ring of counts for the latest periods of equal length.
#[derive(Clone, Debug)]
pub(super) struct CountRing {
    bucket_length: Duration,
    /// Number of the period of the latest bucket, counted from time zero.
    latest: u64,
    buckets: Box<[RequestCount]>,
}

impl CountRing {
    pub fn new(bucket_length: Duration, buckets: usize) -> Self {
        Self {
            bucket_length,
            latest: 0,
            buckets: vec![RequestCount::default(); buckets].into(),
        }
    }

    /// Adds a count; a count that is older than the ring is dropped.
    pub fn add(&mut self, count: RequestCount, now: Timestamp) {
        let period = self.period_at(now);
        self.advance(period);
        if self.latest - period < self.len() {
            let index = self.index(period);
            self.buckets[index] = self.buckets[index].plus(count);
        }
    }

    /// Sum over `window` before `now`, including the current bucket.
    pub fn sum(&self, window: Duration, now: Timestamp) -> RequestCount {
        let end = self.period_at(now);
        let bucket_count = window.as_millis() / self.bucket_length.as_millis();
        let bucket_count = u64::try_from(bucket_count)
            .unwrap_or(u64::MAX)
            .min(self.len());
        let start = (end + 1).saturating_sub(bucket_count);
        let oldest = (self.latest + 1).saturating_sub(self.len());
        let periods = start.max(oldest)..=end.min(self.latest);
        periods.fold(RequestCount::default(), |sum, period| {
            sum.plus(self.buckets[self.index(period)])
        })
    }

    /// Clears the buckets after the latest one up to `period`, at most all of them.
    fn advance(&mut self, period: u64) {
        let first = (self.latest + 1).max((period + 1).saturating_sub(self.len()));
        for passed in first..=period {
            let index = self.index(passed);
            self.buckets[index] = RequestCount::default();
        }
        self.latest = self.latest.max(period);
    }

    fn period_at(&self, now: Timestamp) -> u64 {
        let bucket_length = u64::try_from(self.bucket_length.as_millis()).unwrap_or(u64::MAX);
        now.as_millis() / bucket_length.max(1)
    }

    fn len(&self) -> u64 {
        self.buckets.len() as u64
    }

    fn index(&self, period: u64) -> usize {
        usize::try_from(period % self.len()).expect("an index below the length fits")
    }
}
