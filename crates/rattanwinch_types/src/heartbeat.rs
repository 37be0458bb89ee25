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

/// What an agent tells every entry of its region about itself and its target.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct Heartbeat {
    /// The target beside the agent.
    pub target: TargetName,
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// Where the agent takes calls.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The target's rack.
    pub rack: RackName,
    /// The accelerators of the worker.
    pub accelerators: u8,
    /// Plain requests that the executor runs at once.
    pub slots: u16,
    /// Plain requests that run or wait at the agent.
    pub in_flight: u32,
    /// True once the target takes no new work.
    pub leaving: bool,
    /// The highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// The configuration revision that the agent acts on.
    pub config_revision: Revision,
    /// Every member that is held or runs, or has ended and is still remembered by its decider.
    pub members: Vec<MemberReport>,
}

/// An entry process and where it takes calls from other rattanwinch processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryAddress {
    /// The entry.
    pub entry: EntryName,
    /// Its address.
    pub address: SocketAddr,
}

/// What an entry answers to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct HeartbeatResponse {
    /// Every entry of the region, for the agent's next heartbeats.
    pub entries: Vec<EntryAddress>,
    /// The epoch at which the answering entry decides the agent's zone, if it does.
    pub decider_epoch: Option<Epoch>,
    /// How long the agent may start tasks, counted from when it sent the heartbeat.
    pub freshness: Duration,
    /// How long ago the entry's own view ceased to be fresh; zero while it is fresh.
    #[builder(default)]
    pub stale_for: Duration,
    /// The configuration revision that the entry acts on.
    pub config_revision: Revision,
    /// Whether operators have closed the agent's zone.
    pub zone_closed: bool,
    /// How long after its freshness has expired the agent still takes plain requests.
    pub plain_when_stale: Duration,
    /// Members that have to stop; only a decider gives any.
    pub stop: SmallVec<[StopOrder; 4]>,
    /// Ended members whose result the decider has recorded, so that the agent may forget them.
    pub forget: SmallVec<[crate::MemberKey; 4]>,
    /// True if another agent holds the same target name.
    pub duplicate: bool,
}
