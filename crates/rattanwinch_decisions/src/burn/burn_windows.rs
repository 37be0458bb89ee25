use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use super::BurnReport;
use super::BurnWindow;
use super::OrganisationBurn;
use super::RequestCount;
use super::count_ring::CountRing;

/// Maximum number of tracked organisations, over six times the 160 teams of the two-year size. Each
/// takes 19 KiB.
pub const MAX_BURN_ORGANISATIONS: usize = 1024;

/// Fine buckets of 10 s over 1 h: the 5 min window is off by at most 3%.
const FINE_BUCKET_LENGTH: Duration = Duration::from_secs(10);
const FINE_BUCKET_COUNT: usize = 360;

/// Coarse buckets of 5 min over 3 days: the 6 h window is off by at most 1.4%.
const COARSE_BUCKET_LENGTH: Duration = Duration::from_secs(300);
const COARSE_BUCKET_COUNT: usize = 864;

/// Good and bad requests of each organisation over the latest 3 days, in bounded memory.
#[derive(Clone, Debug, Default)]
pub struct BurnWindows {
    organisations: BTreeMap<Organisation, Rings>,
    untracked: u64,
}

#[derive(Clone, Debug)]
struct Rings {
    fine: CountRing,
    coarse: CountRing,
}

impl Rings {
    fn new() -> Self {
        Self {
            fine: CountRing::new(FINE_BUCKET_LENGTH, FINE_BUCKET_COUNT),
            coarse: CountRing::new(COARSE_BUCKET_LENGTH, COARSE_BUCKET_COUNT),
        }
    }

    fn sum(&self, window: BurnWindow, now: Timestamp) -> RequestCount {
        let length = window.length();
        let ring = match window {
            BurnWindow::FiveMinutes | BurnWindow::HalfHour | BurnWindow::Hour => &self.fine,
            BurnWindow::SixHours | BurnWindow::ThreeDays => &self.coarse,
        };
        ring.sum(length, now)
    }
}

impl BurnWindows {
    /// Creates windows without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one request.
    pub fn record(&mut self, organisation: &Organisation, good: bool, now: Timestamp) {
        let count = RequestCount {
            good: u64::from(good),
            bad: u64::from(!good),
        };
        self.add(organisation, count, now);
    }

    /// Adds requests that were counted elsewhere since the last call.
    ///
    /// Beyond [`MAX_BURN_ORGANISATIONS`], requests of further organisations only count as
    /// [`Self::untracked`].
    pub fn add(&mut self, organisation: &Organisation, count: RequestCount, now: Timestamp) {
        if !self.organisations.contains_key(organisation) {
            if self.organisations.len() >= MAX_BURN_ORGANISATIONS {
                self.untracked = self.untracked.saturating_add(count.total());
                return;
            }
            self.organisations
                .insert(organisation.clone(), Rings::new());
        }
        if let Some(rings) = self.organisations.get_mut(organisation) {
            rings.fine.add(count, now);
            rings.coarse.add(count, now);
        }
    }

    /// Removes organisations for which `keep` returns false, for example after their removal from
    /// the configuration.
    pub fn retain(&mut self, keep: impl Fn(&Organisation) -> bool) {
        self.organisations
            .retain(|organisation, _| keep(organisation));
    }

    /// Number of requests of organisations beyond [`MAX_BURN_ORGANISATIONS`].
    #[must_use]
    pub const fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Reports the burn of every organisation against the service level at `now`.
    #[must_use]
    pub fn report(&self, service_level_ppm: u32, now: Timestamp) -> BurnReport {
        let organisations = self.organisations.iter().map(|(organisation, rings)| {
            let counts = BurnWindow::ALL.map(|window| rings.sum(window, now));
            OrganisationBurn {
                organisation: organisation.clone(),
                counts,
                service_level_ppm,
            }
        });
        BurnReport {
            at: now,
            service_level_ppm,
            organisations: organisations.collect(),
        }
    }
}
