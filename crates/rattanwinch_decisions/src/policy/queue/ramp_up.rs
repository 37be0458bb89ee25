use std::time::Duration;

use rattanwinch_types::Timestamp;

/// Duration of the ramp-up after an availability zone opens again.
const RAMP_UP_DURATION: Duration = Duration::from_secs(10);

/// Interval at which more starts are allowed during the ramp-up.
pub(crate) const RAMP_UP_INTERVAL: Duration = Duration::from_millis(500);

/// Ramp-up of an availability zone that has just opened: starts are allowed in steps, so that
/// executors, stores and networks don't get the whole queue at once.
#[derive(Clone, Debug)]
pub(crate) struct RampUp {
    opened_at: Timestamp,
    /// Accelerators of the jobs that have started since the zone opened.
    pub started_accelerators: u32,
}

impl RampUp {
    pub(crate) fn new(opened_at: Timestamp) -> Self {
        Self {
            opened_at,
            started_accelerators: 0,
        }
    }

    pub(crate) fn is_over(&self, now: Timestamp) -> bool {
        now.since(self.opened_at) >= RAMP_UP_DURATION
    }

    /// Whether one more job may start in a zone with this many accelerators. Each interval that has
    /// begun allows an even share of them; a job larger than a share starts alone in its interval.
    pub(crate) fn allows_start(&self, accelerators: u32, now: Timestamp) -> bool {
        let steps = RAMP_UP_DURATION.as_millis() / RAMP_UP_INTERVAL.as_millis();
        let begun = now.since(self.opened_at).as_millis() / RAMP_UP_INTERVAL.as_millis() + 1;
        u128::from(self.started_accelerators) < u128::from(accelerators) * begun / steps
    }
}
