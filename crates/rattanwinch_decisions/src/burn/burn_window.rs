use std::time::Duration;

rattanwinch_types::value! { copy
    /// Window over which a burn rate is computed.
    pub enum BurnWindow {
        /// 5 min; shows whether a fast burn continues.
        FiveMinutes,
        /// 30 min; shows whether a slow burn continues.
        HalfHour,
        /// 1 h.
        Hour,
        /// 6 h.
        SixHours,
        /// 3 days.
        ThreeDays,
    }
}

impl BurnWindow {
    /// Every window, the shortest first.
    pub const ALL: [Self; 5] = [
        Self::FiveMinutes,
        Self::HalfHour,
        Self::Hour,
        Self::SixHours,
        Self::ThreeDays,
    ];

    /// Length of the window.
    #[must_use]
    pub const fn length(self) -> Duration {
        let minutes = match self {
            Self::FiveMinutes => 5,
            Self::HalfHour => 30,
            Self::Hour => 60,
            Self::SixHours => 6 * 60,
            Self::ThreeDays => 3 * 24 * 60,
        };
        Duration::from_secs(minutes * 60)
    }

    /// Stable name used in reports and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FiveMinutes => "5m",
            Self::HalfHour => "30m",
            Self::Hour => "1h",
            Self::SixHours => "6h",
            Self::ThreeDays => "3d",
        }
    }
}
