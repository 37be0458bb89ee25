use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Organisation;
use rattanwinch_types::PeerState;
use rattanwinch_types::Revision;
use rattanwinch_types::ZoneEpoch;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

use super::InvalidMessage;
use super::to_millis;

rattanwinch_types::value! { wire
    /// A [`GuaranteeStatus`] as it travels, in accelerators.
    pub struct WireGuaranteeStatus {
        /// The owner.
        pub organisation: String,
        /// Guaranteed to it.
        pub guaranteed: u32,
        /// Used by its work within the guarantee.
        pub used: u32,
        /// Borrowed by its work.
        pub borrowed: u32,
        /// In blocks that can't be reclaimed now.
        pub unmet: u32,
        /// Why they can't.
        pub cause: Option<String>,
    }
}

impl From<GuaranteeStatus> for WireGuaranteeStatus {
    fn from(status: GuaranteeStatus) -> Self {
        Self {
            organisation: status.organisation.into(),
            guaranteed: status.guaranteed,
            used: status.used,
            borrowed: status.borrowed,
            unmet: status.unmet,
            cause: status.cause.map(|cause| cause.to_string()),
        }
    }
}

impl TryFrom<WireGuaranteeStatus> for GuaranteeStatus {
    type Error = InvalidMessage;

    fn try_from(wire: WireGuaranteeStatus) -> Result<Self, InvalidMessage> {
        Ok(Self {
            organisation: Organisation::new(wire.organisation)?,
            guaranteed: wire.guaranteed,
            used: wire.used,
            borrowed: wire.borrowed,
            unmet: wire.unmet,
            cause: wire.cause.map(Arc::from),
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`ZoneSummary`] as it travels.
    pub struct WireZoneSummary {
        /// The availability zone.
        pub zone: String,
        /// The decider's epoch.
        pub epoch: i64,
        /// Free blocks of 1, 2, 4 and 8 accelerators.
        pub free_blocks: [u32; 4],
        /// Accelerators of live workers.
        pub accelerators: u32,
        /// Jobs that wait.
        pub waiting: u32,
        /// How the guarantees stand.
        pub guarantees: Vec<WireGuaranteeStatus>,
    }
}

impl From<ZoneSummary> for WireZoneSummary {
    fn from(summary: ZoneSummary) -> Self {
        Self {
            zone: summary.zone.into(),
            epoch: summary.epoch.0,
            free_blocks: summary.free_blocks,
            accelerators: summary.accelerators,
            waiting: summary.waiting,
            guarantees: summary.guarantees.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireZoneSummary> for ZoneSummary {
    type Error = InvalidMessage;

    fn try_from(wire: WireZoneSummary) -> Result<Self, InvalidMessage> {
        let guarantees = wire.guarantees.into_iter().map(GuaranteeStatus::try_from);
        Ok(Self {
            zone: ZoneName::new(wire.zone)?,
            epoch: Epoch(wire.epoch),
            free_blocks: wire.free_blocks,
            accelerators: wire.accelerators,
            waiting: wire.waiting,
            guarantees: guarantees.collect::<Result<_, _>>()?,
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`ZoneEpoch`] as it travels.
    pub struct WireZoneEpoch {
        /// The availability zone.
        pub zone: String,
        /// The epoch of its decider.
        pub epoch: i64,
    }
}

impl From<ZoneEpoch> for WireZoneEpoch {
    fn from(known: ZoneEpoch) -> Self {
        Self {
            zone: known.zone.into(),
            epoch: known.epoch.0,
        }
    }
}

impl TryFrom<WireZoneEpoch> for ZoneEpoch {
    type Error = InvalidMessage;

    fn try_from(wire: WireZoneEpoch) -> Result<Self, InvalidMessage> {
        Ok(Self {
            zone: ZoneName::new(wire.zone)?,
            epoch: Epoch(wire.epoch),
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`PeerState`] as it travels.
    pub struct WirePeerState {
        /// The entry.
        pub entry: String,
        /// This life of the entry.
        pub incarnation: u64,
        /// Where it takes calls.
        pub address: SocketAddr,
        /// The configuration revision that it acts on.
        pub config_revision: i64,
        /// The age of its last successful control read, in milliseconds.
        pub control_age_ms: Option<u64>,
        /// True once it takes no new requests.
        pub draining: bool,
        /// The zones that it decides.
        pub zones: Vec<WireZoneSummary>,
        /// The epochs that it has read in the store; absent in pings of earlier versions.
        #[serde(default)]
        pub epochs: Vec<WireZoneEpoch>,
        /// The zones of which it hears agents; absent in pings of earlier versions.
        #[serde(default)]
        pub hears: Option<Vec<String>>,
    }
}

impl From<PeerState> for WirePeerState {
    fn from(state: PeerState) -> Self {
        Self {
            entry: state.entry.into(),
            incarnation: state.incarnation.0,
            address: state.address,
            config_revision: state.config_revision.0,
            control_age_ms: state.control_age.map(to_millis),
            draining: state.draining,
            zones: state.zones.into_iter().map(Into::into).collect(),
            epochs: state.epochs.into_iter().map(Into::into).collect(),
            hears: state
                .heartbeat_zones
                .map(|zones| zones.into_iter().map(Into::into).collect()),
        }
    }
}

impl TryFrom<WirePeerState> for PeerState {
    type Error = InvalidMessage;

    fn try_from(wire: WirePeerState) -> Result<Self, InvalidMessage> {
        let zones = wire.zones.into_iter().map(ZoneSummary::try_from);
        let hears = wire.hears.map(|zones| {
            let zones = zones.into_iter().map(ZoneName::new);
            zones.collect::<Result<Vec<_>, _>>()
        });
        let epochs = wire.epochs.into_iter().map(ZoneEpoch::try_from);
        Ok(Self {
            entry: EntryName::new(wire.entry)?,
            incarnation: Incarnation(wire.incarnation),
            address: wire.address,
            config_revision: Revision(wire.config_revision),
            control_age: wire.control_age_ms.map(Duration::from_millis),
            draining: wire.draining,
            zones: zones.collect::<Result<_, _>>()?,
            epochs: epochs.collect::<Result<_, _>>()?,
            heartbeat_zones: hears.transpose()?,
        })
    }
}
