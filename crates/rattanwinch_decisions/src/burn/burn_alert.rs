use super::BurnWindow;

rattanwinch_types::value! { copy
    /// An alert on two windows: the long one shows that a significant part of the error budget was
    /// spent, the short one that it is still being spent.
    ///
    /// Rates and windows are those of "The Site Reliability Workbook", chapter 5, "Alerting on
    /// SLOs", table 5-8, for a service level over 30 days: 2% of the budget in 1 h, 5% in 6 h, 10%
    /// in 3 days.
    pub enum BurnAlert {
        /// 14.4 times the sustainable rate over 1 h and 5 min; pages an operator.
        Fast,
        /// 6 times the sustainable rate over 6 h and 30 min; pages an operator.
        Slow,
        /// The sustainable rate or more over 3 days and 6 h; opens a ticket.
        Ticket,
    }
}

impl BurnAlert {
    /// Every alert, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Fast, Self::Slow, Self::Ticket];

    /// The long and the short window.
    #[must_use]
    pub const fn windows(self) -> [BurnWindow; 2] {
        match self {
            Self::Fast => [BurnWindow::Hour, BurnWindow::FiveMinutes],
            Self::Slow => [BurnWindow::SixHours, BurnWindow::HalfHour],
            Self::Ticket => [BurnWindow::ThreeDays, BurnWindow::SixHours],
        }
    }

    /// Burn rate from which the alert fires, in thousandths.
    #[must_use]
    pub const fn threshold_permille(self) -> u64 {
        match self {
            Self::Fast => 14_400,
            Self::Slow => 6_000,
            Self::Ticket => 1_000,
        }
    }

    /// Stable name used in reports and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Slow => "slow",
            Self::Ticket => "ticket",
        }
    }
}
