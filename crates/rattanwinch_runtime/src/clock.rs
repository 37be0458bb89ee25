use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rattanwinch_types::Timestamp;

/// The time of a daemon: milliseconds since the Unix epoch that never go back.
///
/// It moves with the greater of the monotonic and the wall clock. A VM that was paused with its
/// monotonic clock stopped therefore sees the pause in the wall clock and finds its leases
/// expired; a wall clock that is set back doesn't lengthen a lease.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_wall: Duration,
}

impl Clock {
    /// Starts at the wall clock's time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            started_wall: wall(),
        }
    }

    /// The present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let monotonic = self.started_wall + self.started.elapsed();
        let greater = monotonic.max(wall());
        Timestamp::from_millis(u64::try_from(greater.as_millis()).unwrap_or(u64::MAX))
    }
}

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
