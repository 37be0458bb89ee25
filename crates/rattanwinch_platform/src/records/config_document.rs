use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::FleetDefaults;
use rattanwinch_types::Guarantee;
use rattanwinch_types::InvalidName;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use super::ChangeRecord;
use super::WireChangeRecord;

/// The maximum number of recent changes in the document, which let a conflict response list what
/// changed without another store call.
pub const MAX_RECENT_CHANGES: usize = 16;

/// The result of decoding a stored configuration.
type Result<T> = std::result::Result<T, InvalidConfig>;

/// The error of decoding a stored configuration document or change record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig(Arc<str>);

impl InvalidConfig {
    pub(super) fn new(message: impl AsRef<str>) -> Self {
        Self(Arc::from(message.as_ref()))
    }
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stored configuration: {}", self.0)
    }
}

impl std::error::Error for InvalidConfig {}

impl From<InvalidName> for InvalidConfig {
    fn from(error: InvalidName) -> Self {
        Self::new(error.to_string())
    }
}

rattanwinch_types::value! {
    /// The configuration document, stored under `config/current`.
    #[derive(Default)]
    pub struct ConfigDocument {
        /// The fleet configuration set by operators.
        pub config: FleetConfig,
        /// The most recent changes, oldest first, at most [`MAX_RECENT_CHANGES`].
        pub recent: Vec<ChangeRecord>,
    }
}

impl ConfigDocument {
    /// Decodes a stored document.
    ///
    /// # Errors
    ///
    /// [`InvalidConfig`] with the invalid field.
    pub fn from_json(bytes: &[u8]) -> Result<Self> {
        let wire: WireConfigDocument = serde_json::from_slice(bytes)
            .map_err(|error| InvalidConfig::new(format!("document: {error}")))?;
        Self::try_from(wire)
    }

    /// Encodes the document for storage.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&WireConfigDocument::from(self.clone()))
            .expect("every field of the document has a JSON form")
    }

    /// Returns the document with `config` and with `record` as the most recent change.
    #[must_use]
    pub fn with_change(&self, config: FleetConfig, record: ChangeRecord) -> Self {
        let dropped = (self.recent.len() + 1).saturating_sub(MAX_RECENT_CHANGES);
        let kept = self.recent.iter().skip(dropped).cloned();
        Self {
            config,
            recent: kept.chain([record]).collect(),
        }
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`ConfigDocument`]. Unknown fields are ignored, because a newer version
    /// may have written the document.
    pub struct WireConfigDocument {
        /// The fleet configuration set by operators.
        pub config: WireFleetConfig,
        /// The most recent changes, oldest first.
        #[serde(default)]
        pub recent: Vec<WireChangeRecord>,
    }
}

impl From<ConfigDocument> for WireConfigDocument {
    fn from(document: ConfigDocument) -> Self {
        Self {
            config: document.config.into(),
            recent: document.recent.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireConfigDocument> for ConfigDocument {
    type Error = InvalidConfig;

    fn try_from(wire: WireConfigDocument) -> Result<Self> {
        Ok(Self {
            config: wire.config.try_into()?,
            recent: try_all(wire.recent)?,
        })
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`FleetConfig`].
    pub struct WireFleetConfig {
        /// The availability zones.
        pub zones: Vec<String>,
        /// The organisations.
        pub organisations: Vec<WireOrganisation>,
        /// The guarantees.
        pub guarantees: Vec<WireGuarantee>,
        /// The fleet-wide defaults.
        pub defaults: WireFleetDefaults,
        /// The exceptions, oldest first.
        pub exceptions: Vec<WireException>,
    }
}

impl From<FleetConfig> for WireFleetConfig {
    fn from(config: FleetConfig) -> Self {
        Self {
            zones: config.zones.into_iter().map(Into::into).collect(),
            organisations: config.organisations.into_iter().map(Into::into).collect(),
            guarantees: config.guarantees.into_iter().map(Into::into).collect(),
            defaults: config.defaults.into(),
            exceptions: config.exceptions.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireFleetConfig> for FleetConfig {
    type Error = InvalidConfig;

    fn try_from(wire: WireFleetConfig) -> Result<Self> {
        let zones = wire.zones.into_iter().map(ZoneName::new);
        Ok(Self {
            zones: zones.collect::<std::result::Result<_, _>>()?,
            organisations: try_all(wire.organisations)?,
            guarantees: try_all(wire.guarantees)?,
            defaults: wire.defaults.into(),
            exceptions: try_all(wire.exceptions)?,
        })
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of an [`OrganisationConfig`].
    pub struct WireOrganisation {
        /// The name of the organisation.
        pub name: String,
        /// The maximum number of accelerators in use by its jobs; absent for no limit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub quota_accelerators: Option<u32>,
    }
}

impl From<OrganisationConfig> for WireOrganisation {
    fn from(organisation: OrganisationConfig) -> Self {
        Self {
            name: organisation.name.into(),
            quota_accelerators: organisation.quota_accelerators,
        }
    }
}

impl TryFrom<WireOrganisation> for OrganisationConfig {
    type Error = InvalidConfig;

    fn try_from(wire: WireOrganisation) -> Result<Self> {
        Ok(Self {
            name: Organisation::new(wire.name)?,
            quota_accelerators: wire.quota_accelerators,
        })
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`Guarantee`].
    pub struct WireGuarantee {
        /// The organisation that owns the guarantee.
        pub organisation: String,
        /// The availability zone.
        pub zone: String,
        /// The number of blocks.
        pub blocks: u32,
        /// The number of adjacent accelerators in each block.
        pub accelerators: u32,
    }
}

impl From<Guarantee> for WireGuarantee {
    fn from(guarantee: Guarantee) -> Self {
        Self {
            organisation: guarantee.organisation.into(),
            zone: guarantee.zone.into(),
            blocks: guarantee.blocks,
            accelerators: guarantee.accelerators,
        }
    }
}

impl TryFrom<WireGuarantee> for Guarantee {
    type Error = InvalidConfig;

    fn try_from(wire: WireGuarantee) -> Result<Self> {
        Ok(Self {
            organisation: Organisation::new(wire.organisation)?,
            zone: ZoneName::new(wire.zone)?,
            blocks: wire.blocks,
            accelerators: wire.accelerators,
        })
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of [`FleetDefaults`].
    pub struct WireFleetDefaults {
        /// How long plain requests continue without a fresh list of closed zones, in ms.
        pub plain_when_stale_ms: u64,
        /// The maximum number of attempts of an idempotent gang.
        pub max_attempts: u32,
        /// The time limit of a checkpoint, in milliseconds.
        pub checkpoint_limit_ms: u64,
        /// The time limit of a stop, in milliseconds.
        pub stop_limit_ms: u64,
        /// The weight of the completion time in placement, in percent.
        pub completion_weight_percent: u8,
        /// The share of requests that must be answered in time, in parts per million.
        pub service_level_ppm: u32,
    }
}

impl From<FleetDefaults> for WireFleetDefaults {
    fn from(defaults: FleetDefaults) -> Self {
        Self {
            plain_when_stale_ms: to_millis(defaults.plain_when_stale),
            max_attempts: defaults.max_attempts,
            checkpoint_limit_ms: to_millis(defaults.checkpoint_limit),
            stop_limit_ms: to_millis(defaults.stop_limit),
            completion_weight_percent: defaults.completion_weight_percent,
            service_level_ppm: defaults.service_level_ppm,
        }
    }
}

impl From<WireFleetDefaults> for FleetDefaults {
    fn from(wire: WireFleetDefaults) -> Self {
        Self {
            plain_when_stale: Duration::from_millis(wire.plain_when_stale_ms),
            max_attempts: wire.max_attempts,
            checkpoint_limit: Duration::from_millis(wire.checkpoint_limit_ms),
            stop_limit: Duration::from_millis(wire.stop_limit_ms),
            completion_weight_percent: wire.completion_weight_percent,
            service_level_ppm: wire.service_level_ppm,
        }
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of an [`Exception`].
    pub struct WireException {
        /// The id of the exception.
        pub id: String,
        /// The effect of the exception.
        pub effect: WireExceptionEffect,
        /// The author's reason for the exception.
        pub reason: String,
        /// The author of the exception.
        pub author: String,
        /// When the exception was added, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
    }
}

impl From<Exception> for WireException {
    fn from(exception: Exception) -> Self {
        Self {
            id: exception.id.into(),
            effect: exception.effect.into(),
            reason: exception.reason.as_ref().to_owned(),
            author: exception.author.as_ref().to_owned(),
            at_unix_ms: exception.at.as_millis(),
        }
    }
}

impl TryFrom<WireException> for Exception {
    type Error = InvalidConfig;

    fn try_from(wire: WireException) -> Result<Self> {
        Ok(Self {
            id: ExceptionId::new(wire.id)?,
            effect: wire.effect.try_into()?,
            reason: Arc::from(wire.reason),
            author: Arc::from(wire.author),
            at: Timestamp::from_millis(wire.at_unix_ms),
        })
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of an [`ExceptionEffect`].
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum WireExceptionEffect {
        /// Closes an availability zone: no work starts there.
        CloseZone {
            /// The availability zone.
            zone: String,
        },
        /// Excludes a target: no work starts there.
        ExcludeTarget {
            /// The target.
            target: String,
        },
        /// Limits the number of accelerators in use by an organisation's jobs.
        LimitOrganisation {
            /// The organisation.
            organisation: String,
            /// The maximum number of accelerators.
            accelerators: u32,
        },
    }
}

impl From<ExceptionEffect> for WireExceptionEffect {
    fn from(effect: ExceptionEffect) -> Self {
        match effect {
            ExceptionEffect::CloseZone(zone) => Self::CloseZone { zone: zone.into() },
            ExceptionEffect::ExcludeTarget(target) => Self::ExcludeTarget {
                target: target.into(),
            },
            ExceptionEffect::LimitOrganisation {
                organisation,
                accelerators,
            } => Self::LimitOrganisation {
                organisation: organisation.into(),
                accelerators,
            },
        }
    }
}

impl TryFrom<WireExceptionEffect> for ExceptionEffect {
    type Error = InvalidName;

    fn try_from(wire: WireExceptionEffect) -> std::result::Result<Self, InvalidName> {
        Ok(match wire {
            WireExceptionEffect::CloseZone { zone } => Self::CloseZone(ZoneName::new(zone)?),
            WireExceptionEffect::ExcludeTarget { target } => {
                Self::ExcludeTarget(TargetName::new(target)?)
            }
            WireExceptionEffect::LimitOrganisation {
                organisation,
                accelerators,
            } => Self::LimitOrganisation {
                organisation: Organisation::new(organisation)?,
                accelerators,
            },
        })
    }
}

fn try_all<W, T: TryFrom<W, Error = InvalidConfig>>(wires: Vec<W>) -> Result<Vec<T>> {
    wires.into_iter().map(T::try_from).collect()
}

fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
