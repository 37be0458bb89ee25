use std::time::Duration;

use rattanwinch_types::Timestamp;

/// How long the refilling of an availability zone is spread over after it opens again.
const REFILL_SPAN: Duration = Duration::from_secs(10);

/// How often more starts are allowed in that time.
pub(crate) const REFILL_STEP: Duration = Duration::from_millis(500);

/// The refilling of an availability zone that has just opened: starts are allowed in steps, so
/// that executors, stores and networks don't get the whole queue at once.
#[derive(Clone, Debug)]
pub(crate) struct Refill {
    opened_at: Timestamp,
    /// Accelerators of the jobs that started since.
    pub started: u32,
}

impl Refill {
    pub(crate) fn new(opened_at: Timestamp) -> Self {
        Self {
            opened_at,
            started: 0,
        }
    }

    pub(crate) fn is_over(&self, now: Timestamp) -> bool {
        now.since(self.opened_at) >= REFILL_SPAN
    }

    /// Whether one more job may start in a zone of so many accelerators: an even share of them
    /// for each step that has begun. A job larger than a share starts alone in its step.
    pub(crate) fn allows_start(&self, accelerators: u32, now: Timestamp) -> bool {
        let steps = REFILL_SPAN.as_millis() / REFILL_STEP.as_millis();
        let begun = now.since(self.opened_at).as_millis() / REFILL_STEP.as_millis() + 1;
        u128::from(self.started) < u128::from(accelerators) * begun / steps
    }
}
