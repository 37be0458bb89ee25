use std::time::Duration;

use rattanwinch_types::FleetDefaults;

/// How long an agent holds a member without a release.
pub const HOLD_DURATION: Duration = Duration::from_secs(5);

/// Timeout for all agents of a gang to respond to a hold.
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum remaining time of the holds for sending a release. A release that arrives after the hold
/// has expired is refused, and the gang would start only in part.
pub const RELEASE_MARGIN: Duration = Duration::from_secs(2);

/// Added to the task lease before a silent member counts as ended, to allow for clock drift.
pub(super) const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Interval at which an unanswered message is sent again and a failed store call is retried.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// A member that its agent has not reported for this long counts as lost: six missed heartbeats.
pub(super) const MEMBER_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Backoff after the first failed hold; doubled with each consecutive failure.
pub(super) const MIN_BACKOFF_MS: u64 = 50;

/// Maximum backoff after failed holds.
pub(super) const MAX_BACKOFF_MS: u64 = 2000;

/// Maximum number of explanations kept per job; the oldest are dropped first.
pub(super) const MAX_EXPLANATIONS: usize = 32;

rattanwinch_types::value! { copy
    /// Fleet-wide defaults that apply to gangs.
    pub struct GangLimits {
        /// Maximum number of released attempts at an idempotent job.
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
