use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rattanwinch_types::Timestamp;
use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// A monotonic clock since the boot of the VM that also runs while the VM is suspended.
///
/// Leases and ages are measured on it, since changes of the wall-clock time don't affect it. Its
/// values have no meaning on other VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// The current time since boot.
    #[must_use]
    pub fn now(self) -> Timestamp {
        read(ClockId::Boottime)
    }

    /// The time since boot without the time in which the VM was suspended.
    ///
    /// Other processes on the VM measure their timeouts on it.
    #[must_use]
    pub fn steady(self) -> Timestamp {
        read(ClockId::Monotonic)
    }

    /// The wall-clock time, for values exchanged with callers; it may jump.
    #[must_use]
    pub fn wall_time(self) -> Timestamp {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or_default();
        Timestamp::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }
}

fn read(clock: ClockId) -> Timestamp {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Timestamp::from_millis(seconds * 1000 + nanos / 1_000_000)
}
