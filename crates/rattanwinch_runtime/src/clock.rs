use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rattanwinch_types::Timestamp;

/// A daemon's clock: milliseconds since the Unix epoch that never decrease.
///
/// It follows the greater of the monotonic and the wall clock. A VM that was paused with its
/// monotonic clock stopped sees the pause in the wall clock and finds its leases expired; a wall
/// clock that is set back doesn't lengthen a lease.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_wall: Duration,
}

impl Clock {
    /// Starts the clock at the wall-clock time.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
            started_wall: wall_time(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let monotonic = self.started_wall + self.started.elapsed();
        let greater = monotonic.max(wall_time());
        Timestamp::from_millis(u64::try_from(greater.as_millis()).unwrap_or(u64::MAX))
    }
}

fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
