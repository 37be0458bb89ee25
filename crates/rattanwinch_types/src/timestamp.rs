use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

crate::value! { copy
    /// A point in time in milliseconds.
    ///
    /// Scheduling code takes the current time as an argument and only compares and subtracts it.
    /// Daemons count from the Unix epoch; tests and simulations may start at zero.
    pub struct Timestamp(u64);
}

impl Timestamp {
    /// The origin of the time scale.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the origin.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if it has passed.
    #[must_use]
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Default for Timestamp {
    /// [`Self::ZERO`].
    fn default() -> Self {
        Self::ZERO
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    /// Adds a duration, truncated to milliseconds; saturates at the maximum.
    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    /// Subtracts a duration, truncated to milliseconds; saturates at zero.
    fn sub(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }
}
