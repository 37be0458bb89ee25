use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

crate::value! { copy
    /// A point in time in milliseconds.
    ///
    /// Decisions take it as an argument and only compare and subtract. Daemons use milliseconds
    /// since the Unix epoch; tests and simulations may start at zero.
    pub struct Timestamp(u64);
}

impl Timestamp {
    /// The start of the scale.
    pub const ZERO: Self = Self(0);

    /// Makes a timestamp from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the start of the scale.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time that has passed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The time left until `later`, or zero if it has passed.
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

    /// Moves the timestamp on; sub-millisecond parts are dropped, and the end of the scale holds.
    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    /// Moves the timestamp back; sub-millisecond parts are dropped, and the start holds.
    fn sub(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(millis))
    }
}
