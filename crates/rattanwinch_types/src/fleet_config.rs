use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::ExceptionId;
use crate::Organisation;
use crate::TargetName;
use crate::Timestamp;
use crate::ZoneName;

crate::value! {
    /// Capacity that an organisation can always reclaim in one availability zone.
    pub struct Guarantee {
        /// The owner.
        pub organisation: Organisation,
        /// The availability zone.
        pub zone: ZoneName,
        /// The number of blocks.
        pub blocks: u32,
        /// The adjacent accelerators of each block: 1, 2, 4 or 8 in one worker, or a multiple of
        /// 8 for whole workers in one rack or neighbouring racks.
        pub accelerators: u32,
    }
}

crate::value! {
    /// An organisation that may send requests and jobs.
    pub struct OrganisationConfig {
        /// Its name.
        pub name: Organisation,
        /// The most accelerators that its jobs may use at once; `None` for no limit.
        pub quota_accelerators: Option<u32>,
    }
}

/// The fleet-wide defaults.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct FleetDefaults {
    /// How long plain requests go on without a fresh view of closed zones.
    #[builder(default = Duration::from_secs(21_600))]
    pub plain_when_stale: Duration,
    /// Attempts at an idempotent gang.
    #[builder(default = 3)]
    pub max_attempts: u32,
    /// The longest time that a checkpoint may take before the task is stopped.
    #[builder(default = Duration::from_secs(30))]
    pub checkpoint_limit: Duration,
    /// The longest time that a stop may take.
    #[builder(default = Duration::from_secs(5))]
    pub stop_limit: Duration,
    /// The weight of completion time in placement, in percent; the rest is for fragmentation.
    #[builder(default = 50)]
    pub completion_weight_percent: u8,
    /// The share of requests that has to be answered in time, in parts per million.
    #[builder(default = 999_000)]
    pub service_level_ppm: u32,
}

impl Default for FleetDefaults {
    fn default() -> Self {
        Self::builder().build()
    }
}

crate::value! {
    /// What an exception changes.
    pub enum ExceptionEffect {
        /// No work starts in the availability zone, and running work is moved out.
        CloseZone(ZoneName),
        /// No work starts at the target, and running work is moved out.
        ExcludeTarget(TargetName),
        /// The organisation's jobs use at most so many accelerators at once.
        LimitOrganisation {
            /// The organisation.
            organisation: Organisation,
            /// The most accelerators.
            accelerators: u32,
        },
    }
}

crate::value! {
    /// An operators' exception from the defaults.
    pub struct Exception {
        /// Its id.
        pub id: ExceptionId,
        /// What it changes.
        pub effect: ExceptionEffect,
        /// Why, in the author's words; never empty.
        pub reason: Arc<str>,
        /// Who made it; never empty.
        pub author: Arc<str>,
        /// When it was made.
        pub at: Timestamp,
    }
}

crate::value! {
    /// All that operators decide: one value with one revision.
    #[derive(Default)]
    pub struct FleetConfig {
        /// The availability zones.
        pub zones: Vec<ZoneName>,
        /// The organisations.
        pub organisations: Vec<OrganisationConfig>,
        /// The guarantees.
        pub guarantees: Vec<Guarantee>,
        /// The fleet-wide defaults.
        pub defaults: FleetDefaults,
        /// The exceptions, oldest first.
        pub exceptions: Vec<Exception>,
    }
}

impl FleetConfig {
    /// The exception that closes the zone, if there is one.
    #[must_use]
    pub fn zone_closure(&self, zone: &ZoneName) -> Option<&Exception> {
        self.exceptions
            .iter()
            .find(|exception| match &exception.effect {
                ExceptionEffect::CloseZone(closed) => closed == zone,
                _ => false,
            })
    }

    /// The exception that excludes the target, if there is one.
    #[must_use]
    pub fn target_exclusion(&self, target: &TargetName) -> Option<&Exception> {
        self.exceptions
            .iter()
            .find(|exception| match &exception.effect {
                ExceptionEffect::ExcludeTarget(excluded) => excluded == target,
                _ => false,
            })
    }

    /// The most accelerators that the organisation's jobs may use at once: its quota or the
    /// lowest limit among its exceptions; `None` for no limit.
    #[must_use]
    pub fn accelerator_limit(&self, organisation: &Organisation) -> Option<u32> {
        let configured = self
            .organisations
            .iter()
            .find(|known| known.name == *organisation);
        let quota = configured.and_then(|known| known.quota_accelerators);
        let limits = self
            .exceptions
            .iter()
            .filter_map(|exception| match &exception.effect {
                ExceptionEffect::LimitOrganisation {
                    organisation: limited,
                    accelerators,
                } if limited == organisation => Some(*accelerators),
                _ => None,
            });
        limits.chain(quota).min()
    }

    /// Whether the organisation may send requests.
    #[must_use]
    pub fn has_organisation(&self, organisation: &Organisation) -> bool {
        self.organisations
            .iter()
            .any(|known| known.name == *organisation)
    }
}
