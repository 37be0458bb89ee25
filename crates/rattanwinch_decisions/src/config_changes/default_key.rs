use std::ops::RangeInclusive;
use std::time::Duration;

use rattanwinch_types::FleetDefaults;

/// A day in milliseconds, the maximum of most defaults that are durations.
const DAY_MS: u64 = 24 * 3600 * 1000;

rattanwinch_types::value! { copy
    /// A fleet-wide default; the name ends in the unit, if there is one.
    pub enum DefaultKey {
        /// How long plain requests are accepted without a fresh view of closed zones.
        PlainWhenStaleMs,
        /// Maximum number of attempts at an idempotent gang.
        MaxAttempts,
        /// Time limit of a checkpoint.
        CheckpointLimitMs,
        /// Time limit of a stop.
        StopLimitMs,
        /// Weight of completion time in the queue order.
        CompletionWeightPercent,
        /// Share of requests that has to be answered in time.
        ServiceLevelPpm,
    }
}

impl DefaultKey {
    /// Every key, in the order of declaration.
    pub const ALL: [Self; 6] = [
        Self::PlainWhenStaleMs,
        Self::MaxAttempts,
        Self::CheckpointLimitMs,
        Self::StopLimitMs,
        Self::CompletionWeightPercent,
        Self::ServiceLevelPpm,
    ];

    /// Stable name used in messages and commands.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PlainWhenStaleMs => "plain_when_stale_ms",
            Self::MaxAttempts => "max_attempts",
            Self::CheckpointLimitMs => "checkpoint_limit_ms",
            Self::StopLimitMs => "stop_limit_ms",
            Self::CompletionWeightPercent => "completion_weight_percent",
            Self::ServiceLevelPpm => "service_level_ppm",
        }
    }

    /// Parses the stable name.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|key| key.as_str() == text)
    }

    /// Range of allowed values.
    ///
    /// A service level of 100% is excluded, because it has no error budget.
    #[must_use]
    pub const fn range(self) -> RangeInclusive<u64> {
        match self {
            Self::PlainWhenStaleMs => 0..=7 * DAY_MS,
            Self::MaxAttempts => 1..=100,
            Self::CheckpointLimitMs | Self::StopLimitMs => 0..=DAY_MS,
            Self::CompletionWeightPercent => 0..=100,
            Self::ServiceLevelPpm => 1..=999_999,
        }
    }

    /// Returns the value of this default.
    #[must_use]
    pub fn get(self, defaults: &FleetDefaults) -> u64 {
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        match self {
            Self::PlainWhenStaleMs => millis(defaults.plain_when_stale),
            Self::MaxAttempts => defaults.max_attempts.into(),
            Self::CheckpointLimitMs => millis(defaults.checkpoint_limit),
            Self::StopLimitMs => millis(defaults.stop_limit),
            Self::CompletionWeightPercent => defaults.completion_weight_percent.into(),
            Self::ServiceLevelPpm => defaults.service_level_ppm.into(),
        }
    }

    /// Sets the value; returns false without a change if it is out of [`Self::range`].
    pub fn set(self, defaults: &mut FleetDefaults, value: u64) -> bool {
        if !self.range().contains(&value) {
            return false;
        }
        // The range is narrower than each type, so no value is truncated.
        let small = u32::try_from(value).unwrap_or(u32::MAX);
        let span = Duration::from_millis(value);
        match self {
            Self::PlainWhenStaleMs => defaults.plain_when_stale = span,
            Self::MaxAttempts => defaults.max_attempts = small,
            Self::CheckpointLimitMs => defaults.checkpoint_limit = span,
            Self::StopLimitMs => defaults.stop_limit = span,
            Self::CompletionWeightPercent => {
                defaults.completion_weight_percent = u8::try_from(value).unwrap_or(u8::MAX);
            }
            Self::ServiceLevelPpm => defaults.service_level_ppm = small,
        }
        true
    }
}
