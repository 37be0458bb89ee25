use std::fmt;

use rattanwinch_decisions::ConfigChange;
use rattanwinch_decisions::DefaultKey;
use rattanwinch_platform::records::WireExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::Guarantee;
use rattanwinch_types::InvalidName;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::ZoneName;

/// A change with an invalid field; the text says which and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidChange(String);

impl fmt::Display for InvalidChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidChange {}

impl From<InvalidName> for InvalidChange {
    fn from(error: InvalidName) -> Self {
        Self(error.to_string())
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`ConfigChange`]; the field `kind` is the discriminant.
    #[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
    pub enum WireConfigChange {
        /// Sets a fleet-wide default.
        SetDefault {
            /// The key of the default, such as `max_attempts`.
            key: String,
            /// Its value in the unit that the key names.
            value: u64,
        },
        /// Adds an organisation.
        AddOrganisation {
            /// Its name.
            name: String,
            /// The maximum number of accelerators that the organisation's jobs may use
            /// concurrently; absent for no limit.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            quota_accelerators: Option<u32>,
        },
        /// Replaces the settings of an organisation.
        ChangeOrganisation {
            /// Its name.
            name: String,
            /// The maximum number of accelerators that the organisation's jobs may use
            /// concurrently; absent for no limit.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            quota_accelerators: Option<u32>,
        },
        /// Removes an organisation.
        RemoveOrganisation {
            /// Its name.
            name: String,
        },
        /// Adds an availability zone.
        AddZone {
            /// Its name.
            zone: String,
        },
        /// Removes an availability zone.
        RemoveZone {
            /// Its name.
            zone: String,
        },
        /// Adds a guarantee.
        AddGuarantee {
            /// The owner of the guarantee.
            organisation: String,
            /// The availability zone.
            zone: String,
            /// The number of blocks.
            blocks: u32,
            /// The accelerators of each block.
            accelerators: u32,
        },
        /// Changes the number of blocks of a guarantee.
        ChangeGuarantee {
            /// The owner of the guarantee.
            organisation: String,
            /// The availability zone.
            zone: String,
            /// The number of blocks.
            blocks: u32,
            /// The accelerators of each block.
            accelerators: u32,
        },
        /// Removes a guarantee.
        RemoveGuarantee {
            /// The owner of the guarantee.
            organisation: String,
            /// The availability zone.
            zone: String,
            /// The accelerators of each block.
            accelerators: u32,
        },
        /// Adds an exception.
        AddException {
            /// Its id.
            id: String,
            /// The effect of the exception.
            effect: WireExceptionEffect,
        },
        /// Removes an exception.
        RemoveException {
            /// Its id.
            id: String,
        },
    }
}

impl From<ConfigChange> for WireConfigChange {
    fn from(change: ConfigChange) -> Self {
        match change {
            ConfigChange::SetDefault { key, value } => Self::SetDefault {
                key: key.as_str().to_owned(),
                value,
            },
            ConfigChange::AddOrganisation(organisation) => Self::AddOrganisation {
                name: organisation.name.into(),
                quota_accelerators: organisation.quota_accelerators,
            },
            ConfigChange::ChangeOrganisation(organisation) => Self::ChangeOrganisation {
                name: organisation.name.into(),
                quota_accelerators: organisation.quota_accelerators,
            },
            ConfigChange::RemoveOrganisation(name) => {
                Self::RemoveOrganisation { name: name.into() }
            }
            ConfigChange::AddZone(zone) => Self::AddZone { zone: zone.into() },
            ConfigChange::RemoveZone(zone) => Self::RemoveZone { zone: zone.into() },
            ConfigChange::AddGuarantee(guarantee) => Self::AddGuarantee {
                organisation: guarantee.organisation.into(),
                zone: guarantee.zone.into(),
                blocks: guarantee.blocks,
                accelerators: guarantee.accelerators,
            },
            ConfigChange::ChangeGuarantee(guarantee) => Self::ChangeGuarantee {
                organisation: guarantee.organisation.into(),
                zone: guarantee.zone.into(),
                blocks: guarantee.blocks,
                accelerators: guarantee.accelerators,
            },
            ConfigChange::RemoveGuarantee {
                organisation,
                zone,
                accelerators,
            } => Self::RemoveGuarantee {
                organisation: organisation.into(),
                zone: zone.into(),
                accelerators,
            },
            ConfigChange::AddException { id, effect } => Self::AddException {
                id: id.into(),
                effect: effect.into(),
            },
            ConfigChange::RemoveException(id) => Self::RemoveException { id: id.into() },
        }
    }
}

impl TryFrom<WireConfigChange> for ConfigChange {
    type Error = InvalidChange;

    fn try_from(wire: WireConfigChange) -> Result<Self, InvalidChange> {
        Ok(match wire {
            WireConfigChange::SetDefault { key, value } => Self::SetDefault {
                key: default_key(&key)?,
                value,
            },
            WireConfigChange::AddOrganisation {
                name,
                quota_accelerators,
            } => Self::AddOrganisation(organisation(name, quota_accelerators)?),
            WireConfigChange::ChangeOrganisation {
                name,
                quota_accelerators,
            } => Self::ChangeOrganisation(organisation(name, quota_accelerators)?),
            WireConfigChange::RemoveOrganisation { name } => {
                Self::RemoveOrganisation(Organisation::new(name)?)
            }
            WireConfigChange::AddZone { zone } => Self::AddZone(ZoneName::new(zone)?),
            WireConfigChange::RemoveZone { zone } => Self::RemoveZone(ZoneName::new(zone)?),
            WireConfigChange::AddGuarantee {
                organisation,
                zone,
                blocks,
                accelerators,
            } => Self::AddGuarantee(guarantee(organisation, zone, blocks, accelerators)?),
            WireConfigChange::ChangeGuarantee {
                organisation,
                zone,
                blocks,
                accelerators,
            } => Self::ChangeGuarantee(guarantee(organisation, zone, blocks, accelerators)?),
            WireConfigChange::RemoveGuarantee {
                organisation,
                zone,
                accelerators,
            } => Self::RemoveGuarantee {
                organisation: Organisation::new(organisation)?,
                zone: ZoneName::new(zone)?,
                accelerators,
            },
            WireConfigChange::AddException { id, effect } => Self::AddException {
                id: ExceptionId::new(id)?,
                effect: effect.try_into()?,
            },
            WireConfigChange::RemoveException { id } => {
                Self::RemoveException(ExceptionId::new(id)?)
            }
        })
    }
}

fn default_key(text: &str) -> Result<DefaultKey, InvalidChange> {
    DefaultKey::parse(text).ok_or_else(|| {
        let known = DefaultKey::ALL.map(DefaultKey::as_str).join(", ");
        InvalidChange(format!("unknown key {text:?}: expected one of {known}"))
    })
}

fn organisation(
    name: String,
    quota_accelerators: Option<u32>,
) -> Result<OrganisationConfig, InvalidChange> {
    Ok(OrganisationConfig {
        name: Organisation::new(name)?,
        quota_accelerators,
    })
}

fn guarantee(
    organisation: String,
    zone: String,
    blocks: u32,
    accelerators: u32,
) -> Result<Guarantee, InvalidChange> {
    Ok(Guarantee {
        organisation: Organisation::new(organisation)?,
        zone: ZoneName::new(zone)?,
        blocks,
        accelerators,
    })
}
