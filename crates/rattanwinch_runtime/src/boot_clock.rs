use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rattanwinch_types::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The time since the VM was started, which also runs while the VM is suspended.
///
/// Jumps of the time of day don't move it, so leases and ages are counted on it. Its values mean
/// nothing on another VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// The present time on this VM.
    #[must_use]
    pub fn now(self) -> Timestamp {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Timestamp::from_millis(seconds * 1000 + nanos / 1_000_000)
    }

    /// The time of day, for what callers state in it; it may jump.
    #[must_use]
    pub fn wall(self) -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or_default();
        Timestamp::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}
