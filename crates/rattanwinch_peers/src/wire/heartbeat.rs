use std::net::SocketAddr;
use std::time::Duration;

use rattanwinch_types::EntryAddress;
use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::Incarnation;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RackName;
use rattanwinch_types::Revision;
use rattanwinch_types::StopOrder;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;

use super::InvalidMessage;
use super::WireMemberKey;
use super::WireMemberReport;
use super::WireStopOrder;
use super::to_millis;

rattanwinch_types::value! { wire
    /// A [`Heartbeat`] as it travels.
    pub struct WireHeartbeat {
        /// The target.
        pub target: String,
        /// This life of the agent.
        pub incarnation: u64,
        /// Where the agent takes calls.
        pub address: SocketAddr,
        /// The availability zone.
        pub zone: String,
        /// The rack.
        pub rack: String,
        /// The accelerators of the worker.
        pub accelerators: u8,
        /// Plain requests that the executor runs at once.
        pub slots: u16,
        /// Plain requests that run or wait at the agent.
        pub in_flight: u32,
        /// True once the target takes no new work.
        pub leaving: bool,
        /// The highest epoch seen.
        pub epoch: i64,
        /// The configuration revision acted on.
        pub config_revision: i64,
        /// The members.
        pub members: Vec<WireMemberReport>,
    }
}

impl From<Heartbeat> for WireHeartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            target: heartbeat.target.into(),
            incarnation: heartbeat.incarnation.0,
            address: heartbeat.address,
            zone: heartbeat.zone.into(),
            rack: heartbeat.rack.into(),
            accelerators: heartbeat.accelerators,
            slots: heartbeat.slots,
            in_flight: heartbeat.in_flight,
            leaving: heartbeat.leaving,
            epoch: heartbeat.epoch.0,
            config_revision: heartbeat.config_revision.0,
            members: heartbeat.members.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = InvalidMessage;

    fn try_from(wire: WireHeartbeat) -> Result<Self, InvalidMessage> {
        let members = wire.members.into_iter().map(MemberReport::try_from);
        Ok(Self {
            target: TargetName::new(wire.target)?,
            incarnation: Incarnation(wire.incarnation),
            address: wire.address,
            zone: ZoneName::new(wire.zone)?,
            rack: RackName::new(wire.rack)?,
            accelerators: wire.accelerators,
            slots: wire.slots,
            in_flight: wire.in_flight,
            leaving: wire.leaving,
            epoch: Epoch(wire.epoch),
            config_revision: Revision(wire.config_revision),
            members: members.collect::<Result<_, _>>()?,
        })
    }
}

rattanwinch_types::value! { wire
    /// An [`EntryAddress`] as it travels.
    pub struct WireEntryAddress {
        /// The entry.
        pub entry: String,
        /// Its address.
        pub address: SocketAddr,
    }
}

impl From<EntryAddress> for WireEntryAddress {
    fn from(entry: EntryAddress) -> Self {
        Self {
            entry: entry.entry.into(),
            address: entry.address,
        }
    }
}

impl TryFrom<WireEntryAddress> for EntryAddress {
    type Error = InvalidMessage;

    fn try_from(wire: WireEntryAddress) -> Result<Self, InvalidMessage> {
        Ok(Self {
            entry: EntryName::new(wire.entry)?,
            address: wire.address,
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`HeartbeatResponse`] as it travels.
    pub struct WireHeartbeatResponse {
        /// Every entry of the region.
        pub entries: Vec<WireEntryAddress>,
        /// The epoch at which the answering entry decides the zone, if it does.
        pub deciding: Option<i64>,
        /// How long the agent may start tasks from when it sent the heartbeat, in milliseconds.
        pub freshness_ms: u64,
        /// How long ago the entry's own view ceased to be fresh, in milliseconds.
        pub stale_for_ms: u64,
        /// The configuration revision that the entry acts on.
        pub config_revision: i64,
        /// Whether the zone is closed.
        pub zone_closed: bool,
        /// How long after its freshness the agent still takes plain requests, in milliseconds.
        pub plain_when_stale_ms: u64,
        /// Members that have to stop.
        pub stop: Vec<WireStopOrder>,
        /// Ended members that may be forgotten.
        pub forget: Vec<WireMemberKey>,
        /// True if another agent holds the same target name.
        pub duplicate: bool,
    }
}

impl From<HeartbeatResponse> for WireHeartbeatResponse {
    fn from(response: HeartbeatResponse) -> Self {
        Self {
            entries: response.entries.into_iter().map(Into::into).collect(),
            deciding: response.decider_epoch.map(|epoch| epoch.0),
            freshness_ms: to_millis(response.freshness),
            stale_for_ms: to_millis(response.stale_for),
            config_revision: response.config_revision.0,
            zone_closed: response.zone_closed,
            plain_when_stale_ms: to_millis(response.plain_when_stale),
            stop: response.stop.into_iter().map(Into::into).collect(),
            forget: response.forget.into_iter().map(Into::into).collect(),
            duplicate: response.duplicate,
        }
    }
}

impl TryFrom<WireHeartbeatResponse> for HeartbeatResponse {
    type Error = InvalidMessage;

    fn try_from(wire: WireHeartbeatResponse) -> Result<Self, InvalidMessage> {
        let entries = wire.entries.into_iter().map(EntryAddress::try_from);
        let stop = wire.stop.into_iter().map(StopOrder::try_from);
        let forget = wire.forget.into_iter().map(MemberKey::try_from);
        Ok(Self {
            entries: entries.collect::<Result<_, _>>()?,
            decider_epoch: wire.deciding.map(Epoch),
            freshness: Duration::from_millis(wire.freshness_ms),
            stale_for: Duration::from_millis(wire.stale_for_ms),
            config_revision: Revision(wire.config_revision),
            zone_closed: wire.zone_closed,
            plain_when_stale: Duration::from_millis(wire.plain_when_stale_ms),
            stop: stop.collect::<Result<_, _>>()?,
            forget: forget.collect::<Result<_, _>>()?,
            duplicate: wire.duplicate,
        })
    }
}
