use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use super::BurnAlert;
use super::BurnWindow;
use super::RequestCount;

rattanwinch_types::value! {
    /// Burn rates of the error budgets of all organisations.
    pub struct BurnReport {
        /// When the report was made.
        pub at: Timestamp,
        /// The share of requests that has to be answered in time, in parts per million.
        pub service_level_ppm: u32,
        /// Organisations, by name.
        pub organisations: Vec<OrganisationBurn>,
    }
}

rattanwinch_types::value! {
    /// Burn rates of one organisation.
    pub struct OrganisationBurn {
        /// The organisation.
        pub organisation: Organisation,
        /// Counts over each window, in the order of [`BurnWindow::ALL`].
        pub counts: [RequestCount; BurnWindow::ALL.len()],
        /// The share of requests that has to be answered in time, in parts per million.
        pub service_level_ppm: u32,
    }
}

impl OrganisationBurn {
    /// The counts over a window.
    #[must_use]
    pub const fn count(&self, window: BurnWindow) -> RequestCount {
        self.counts[window as usize]
    }

    /// Burn rate in thousandths: the share of bad requests divided by the share that the service
    /// level allows. 1000 spends exactly the budget; 0 without requests.
    #[must_use]
    pub fn rate_permille(&self, window: BurnWindow) -> u64 {
        let count = self.count(window);
        let allowed_ppm = 1_000_000_u128.saturating_sub(self.service_level_ppm.into());
        // A service level of 100% has no error budget; it is refused on input and counts as the
        // smallest budget here.
        let divisor = u128::from(count.total()) * allowed_ppm.max(1);
        let rate = u128::from(count.bad) * 1_000_000_000;
        u64::try_from(rate.checked_div(divisor).unwrap_or(0)).unwrap_or(u64::MAX)
    }

    /// Whether both windows of the alert are at its threshold or above.
    #[must_use]
    pub fn fires(&self, alert: BurnAlert) -> bool {
        let threshold = alert.threshold_permille();
        let windows = alert.windows();
        windows
            .into_iter()
            .all(|window| self.rate_permille(window) >= threshold)
    }

    /// The alerts that fire, the most urgent first.
    pub fn alerts(&self) -> impl Iterator<Item = BurnAlert> {
        BurnAlert::ALL
            .into_iter()
            .filter(|alert| self.fires(*alert))
    }
}
