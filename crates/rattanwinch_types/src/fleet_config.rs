use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::ExceptionId;
use crate::Organisation;
use crate::TargetName;
use crate::Timestamp;
use crate::ZoneName;

crate::value! {
    /// Capacity in one availability zone that an organisation can reclaim from borrowers.
    pub struct Guarantee {
        /// The organisation that owns the guarantee.
        pub organisation: Organisation,
        /// The availability zone.
        pub zone: ZoneName,
        /// The number of blocks.
        pub blocks: u32,
        /// Adjacent accelerators per block: 1, 2, 4 or 8 in one worker, or a multiple of 8 for
        /// whole workers in one rack or neighbouring racks.
        pub accelerators: u32,
    }
}

crate::value! {
    /// An organisation that may send requests and jobs.
    pub struct OrganisationConfig {
        /// The name of the organisation.
        pub name: Organisation,
        /// The maximum number of accelerators in use by its jobs; `None` for no limit.
        pub quota_accelerators: Option<u32>,
    }
}

/// Fleet-wide default settings.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct FleetDefaults {
    /// How long plain requests are accepted while the view of closed zones is stale.
    #[builder(default = Duration::from_secs(21_600))]
    pub plain_when_stale: Duration,
    /// The maximum number of attempts at an idempotent gang.
    #[builder(default = 3)]
    pub max_attempts: u32,
    /// The time limit of a checkpoint, after which the task is stopped.
    #[builder(default = Duration::from_secs(30))]
    pub checkpoint_limit: Duration,
    /// The time limit of a stop.
    #[builder(default = Duration::from_secs(5))]
    pub stop_limit: Duration,
    /// The weight of completion time in placement, in percent; fragmentation has the rest.
    #[builder(default = 50)]
    pub completion_weight_percent: u8,
    /// The service level objective: requests answered in time, in parts per million.
    #[builder(default = 999_000)]
    pub service_level_ppm: u32,
}

impl Default for FleetDefaults {
    fn default() -> Self {
        Self::builder().build()
    }
}

crate::value! {
    /// The effect of an exception.
    pub enum ExceptionEffect {
        /// Closes the availability zone: no work starts there and running work is evicted.
        CloseZone(ZoneName),
        /// Excludes the target: no work starts there and running work is evicted.
        ExcludeTarget(TargetName),
        /// Limits the accelerators that the organisation's jobs use at once.
        LimitOrganisation {
            /// The organisation.
            organisation: Organisation,
            /// The maximum number of accelerators.
            accelerators: u32,
        },
    }
}

crate::value! {
    /// An exception from the defaults, made by an operator.
    pub struct Exception {
        /// The id of the exception.
        pub id: ExceptionId,
        /// The effect of the exception.
        pub effect: ExceptionEffect,
        /// The author's reason; never empty.
        pub reason: Arc<str>,
        /// The author; never empty.
        pub author: Arc<str>,
        /// When the exception was made.
        pub at: Timestamp,
    }
}

crate::value! {
    /// The operators' configuration of the fleet, stored as one value with one revision.
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
    /// Returns the exception that closes the zone, if any.
    #[must_use]
    pub fn zone_closure(&self, zone: &ZoneName) -> Option<&Exception> {
        self.exceptions
            .iter()
            .find(|exception| match &exception.effect {
                ExceptionEffect::CloseZone(closed) => closed == zone,
                _ => false,
            })
    }

    /// Returns the exception that excludes the target, if any.
    #[must_use]
    pub fn target_exclusion(&self, target: &TargetName) -> Option<&Exception> {
        self.exceptions
            .iter()
            .find(|exception| match &exception.effect {
                ExceptionEffect::ExcludeTarget(excluded) => excluded == target,
                _ => false,
            })
    }

    /// Returns the maximum number of accelerators that the organisation's jobs may use at once.
    ///
    /// The lowest of its quota and the limits in exceptions; `None` for no limit.
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

    /// Returns true if the organisation is configured and may send requests.
    #[must_use]
    pub fn has_organisation(&self, organisation: &Organisation) -> bool {
        self.organisations
            .iter()
            .any(|known| known.name == *organisation)
    }
}
