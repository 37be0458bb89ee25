use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use super::BurnAlert;
use super::BurnWindow;
use super::RequestCount;

rattanwinch_types::value! {
    /// How fast each organisation's error budget is spent.
    pub struct BurnReport {
        /// When it was made.
        pub at: Timestamp,
        /// The share of requests that has to be answered in time, in parts per million.
        pub service_level_ppm: u32,
        /// The organisations, by name.
        pub organisations: Vec<OrganisationBurn>,
    }
}

rattanwinch_types::value! {
    /// The burn of one organisation.
    pub struct OrganisationBurn {
        /// The organisation.
        pub organisation: Organisation,
        /// The counts over each window, in the order of [`BurnWindow::ALL`].
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

    /// The burn rate in thousandths: the share of bad requests over the share that the service
    /// level allows. 1000 spends the budget exactly; 0 without requests.
    #[must_use]
    pub fn rate_permille(&self, window: BurnWindow) -> u64 {
        let count = self.count(window);
        let allowed_ppm = 1_000_000_u128.saturating_sub(self.service_level_ppm.into());
        // A service level of 100% allows nothing; it is refused on input and counts as the
        // smallest budget here.
        let divisor = u128::from(count.total()) * allowed_ppm.max(1);
        let rate = u128::from(count.bad) * 1_000_000_000;
        u64::try_from(rate.checked_div(divisor).unwrap_or(0)).unwrap_or(u64::MAX)
    }

    /// True if both windows of the alert are at its threshold or above.
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
