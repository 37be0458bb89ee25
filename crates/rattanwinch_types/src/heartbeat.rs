use std::net::SocketAddr;
use std::time::Duration;

use bon::Builder;
use smallvec::SmallVec;

use crate::EntryName;
use crate::Epoch;
use crate::Incarnation;
use crate::MemberReport;
use crate::RackName;
use crate::Revision;
use crate::StopOrder;
use crate::TargetName;
use crate::ZoneName;

/// The state that an agent reports about itself and its target to every entry of its region.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct Heartbeat {
    /// The target on the same VM as the agent.
    pub target: TargetName,
    /// The incarnation of the agent.
    pub incarnation: Incarnation,
    /// The address on which the agent accepts calls.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The target's rack.
    pub rack: RackName,
    /// The number of accelerators of the worker.
    pub accelerators: u8,
    /// The number of plain requests that the executor runs concurrently.
    pub slots: u16,
    /// The number of plain requests that run or are queued at the agent.
    pub in_flight: u32,
    /// True while the target drains and accepts no new work.
    pub leaving: bool,
    /// The highest decider epoch that the agent has seen.
    pub epoch: Epoch,
    /// The configuration revision that the agent applies.
    pub config_revision: Revision,
    /// Members that are held, running, or ended and not yet forgotten by their decider.
    pub members: Vec<MemberReport>,
}

/// An entry process and its address for calls from other rattanwinch processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryAddress {
    /// The name of the entry.
    pub entry: EntryName,
    /// The address of the entry.
    pub address: SocketAddr,
}

/// An entry's response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct HeartbeatResponse {
    /// All entries of the region, to which the agent sends its next heartbeats.
    pub entries: Vec<EntryAddress>,
    /// The epoch of the entry as decider of the agent's zone; `None` if it is not the decider.
    pub decider_epoch: Option<Epoch>,
    /// How long the agent may start tasks, measured from sending the heartbeat.
    pub freshness: Duration,
    /// How long the entry's view of the store has been stale; zero while it is fresh.
    #[builder(default)]
    pub stale_for: Duration,
    /// The configuration revision that the entry applies.
    pub config_revision: Revision,
    /// True if operators have closed the agent's zone.
    pub zone_closed: bool,
    /// How long the agent accepts plain requests after its freshness has expired.
    pub plain_when_stale: Duration,
    /// Members to stop; empty unless the entry is the decider.
    pub stop: SmallVec<[StopOrder; 4]>,
    /// Ended members whose outcome is recorded, so that the agent may forget them.
    pub forget: SmallVec<[crate::MemberKey; 4]>,
    /// True if another agent uses the same target name.
    pub duplicate: bool,
}
