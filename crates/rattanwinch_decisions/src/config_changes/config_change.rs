use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::ZoneName;

use super::DefaultKey;

rattanwinch_types::value! {
    /// One configuration change requested by an operator.
    ///
    /// A guarantee is identified by its organisation, availability zone and block size.
    pub enum ConfigChange {
        /// Sets a fleet-wide default.
        SetDefault {
            /// Default to set.
            key: DefaultKey,
            /// Value in the unit that the key names.
            value: u64,
        },
        /// Adds an organisation.
        AddOrganisation(OrganisationConfig),
        /// Replaces the settings of an organisation.
        ChangeOrganisation(OrganisationConfig),
        /// Removes an organisation that has no guarantee and no exception.
        RemoveOrganisation(Organisation),
        /// Adds an availability zone.
        AddZone(ZoneName),
        /// Removes an availability zone that has no guarantee and no exception.
        RemoveZone(ZoneName),
        /// Adds a guarantee.
        AddGuarantee(Guarantee),
        /// Changes the number of blocks of a guarantee.
        ChangeGuarantee(Guarantee),
        /// Removes a guarantee.
        RemoveGuarantee {
            /// The owner.
            organisation: Organisation,
            /// The availability zone.
            zone: ZoneName,
            /// Accelerators of each block.
            accelerators: u32,
        },
        /// Adds an exception, for example one that closes an availability zone.
        AddException {
            /// Id of the exception.
            id: ExceptionId,
            /// Effect of the exception.
            effect: ExceptionEffect,
        },
        /// Removes an exception.
        RemoveException(ExceptionId),
    }
}

impl ConfigChange {
    /// Adds an exception with the given id that closes an availability zone.
    #[must_use]
    pub const fn close_zone(id: ExceptionId, zone: ZoneName) -> Self {
        let effect = ExceptionEffect::CloseZone(zone);
        Self::AddException { id, effect }
    }

    /// Removes a closing exception; the availability zone opens when no other exception closes it.
    #[must_use]
    pub const fn reopen_zone(closing: ExceptionId) -> Self {
        Self::RemoveException(closing)
    }
}
