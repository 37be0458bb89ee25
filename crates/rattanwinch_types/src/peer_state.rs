use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::EntryName;
use crate::Epoch;
use crate::Incarnation;
use crate::Organisation;
use crate::Revision;
use crate::ZoneName;

crate::value! {
    /// The use of an organisation's guarantee in one availability zone, in accelerators.
    pub struct GuaranteeStatus {
        /// The organisation that owns the guarantee.
        pub organisation: Organisation,
        /// Guaranteed accelerators.
        pub guaranteed: u32,
        /// Guaranteed accelerators in use by the organisation.
        pub used: u32,
        /// Accelerators in use by the organisation beyond the guarantee.
        pub borrowed: u32,
        /// Accelerators in blocks that cannot be reclaimed now.
        pub unmet: u32,
        /// Why blocks cannot be reclaimed; `None` if all can.
        pub cause: Option<Arc<str>>,
    }
}

crate::value! {
    /// A decider's summary of its zone, from which other entries choose a zone for a job.
    pub struct ZoneSummary {
        /// The availability zone.
        pub zone: ZoneName,
        /// The epoch of the decider.
        pub epoch: Epoch,
        /// Free blocks of 1, 2, 4 and 8 accelerators; each is counted at its largest size only.
        pub free_blocks: [u32; 4],
        /// The number of accelerators of live workers.
        pub accelerators: u32,
        /// The number of queued jobs.
        pub waiting: u32,
        /// The use of the guarantees, by organisation.
        pub guarantees: Vec<GuaranteeStatus>,
    }
}

crate::value! {
    /// The highest epoch that an entry knows for an availability zone.
    pub struct ZoneEpoch {
        /// The availability zone.
        pub zone: ZoneName,
        /// The epoch of the zone's decider.
        pub epoch: Epoch,
    }
}

/// The state that two entries exchange in a ping and its response.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct PeerState {
    /// The name of the entry.
    pub entry: EntryName,
    /// The incarnation of the entry.
    pub incarnation: Incarnation,
    /// The address for calls from other rattanwinch processes.
    pub address: SocketAddr,
    /// The configuration revision that the entry applies.
    pub config_revision: Revision,
    /// The time since the last successful control read was sent; `None` before the first.
    pub control_age: Option<Duration>,
    /// True while the entry drains and accepts no new requests.
    pub draining: bool,
    /// The zones for which the entry is the decider.
    pub zones: Vec<ZoneSummary>,
    /// The epochs that the entry has read from the store. A replaced decider learns of its
    /// replacement from any entry.
    #[builder(default)]
    pub epochs: Vec<ZoneEpoch>,
    /// The zones whose agents send heartbeats to the entry; `None` from versions without the field.
    pub heartbeat_zones: Option<Vec<ZoneName>>,
}
