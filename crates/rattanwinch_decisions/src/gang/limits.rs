use std::time::Duration;

use rattanwinch_types::FleetDefaults;

/// How long an agent keeps a hold without a release.
pub const HOLD_FOR: Duration = Duration::from_secs(5);

/// How long all members of a gang have to answer a hold.
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(500);

/// A release is sent only if holds last longer than this: a release that arrives after the hold
/// has expired is refused, and then the gang would start in part.
pub const RELEASE_MARGIN: Duration = Duration::from_secs(2);

/// Added to the task lease before a silent member counts as ended, for clocks that drift.
pub(super) const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// The time between two sendings of a message that wasn't answered, and between two tries of a
/// store call that failed.
pub(super) const RESEND_AFTER: Duration = Duration::from_millis(500);

/// A member that its agent hasn't reported for this long is lost: six missed heartbeats.
pub(super) const MISSING_AFTER: Duration = Duration::from_secs(3);

/// The first back-off after a failed hold; doubled with each failure in a row.
pub(super) const FIRST_BACKOFF_MS: u64 = 50;

/// The longest back-off after failed holds.
pub(super) const LAST_BACKOFF_MS: u64 = 2000;

/// The reasons that are kept of one job; the oldest are dropped first.
pub(super) const MAX_REASONS: usize = 32;

rattanwinch_types::value! { copy
    /// The fleet-wide defaults that gangs obey.
    pub struct GangLimits {
        /// Released attempts at an idempotent job.
        pub max_attempts: u32,
        /// How long a checkpoint may take before the member is stopped.
        pub checkpoint_limit: Duration,
    }
}

impl From<&FleetDefaults> for GangLimits {
    fn from(defaults: &FleetDefaults) -> Self {
        Self {
            max_attempts: defaults.max_attempts.max(1),
            checkpoint_limit: defaults.checkpoint_limit,
        }
    }
}

impl Default for GangLimits {
    fn default() -> Self {
        Self::from(&FleetDefaults::default())
    }
}
