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
    /// How far an organisation's guarantee stands in one availability zone, in accelerators.
    pub struct GuaranteeStatus {
        /// The owner.
        pub organisation: Organisation,
        /// Guaranteed to it.
        pub guaranteed: u32,
        /// Used by its work within the guarantee.
        pub used: u32,
        /// Borrowed by its work.
        pub borrowed: u32,
        /// In blocks that can't be reclaimed now.
        pub unmet: u32,
        /// Why they can't; `None` if all can.
        pub cause: Option<Arc<str>>,
    }
}

crate::value! {
    /// What a zone's decider tells the other entries, so that they can choose a zone for a job.
    pub struct ZoneSummary {
        /// The availability zone.
        pub zone: ZoneName,
        /// The decider's epoch.
        pub epoch: Epoch,
        /// Free blocks by size: of 1, 2, 4 and 8 accelerators, each counted at its largest size.
        pub free_blocks: [u32; 4],
        /// Accelerators of live workers.
        pub accelerators: u32,
        /// Jobs that wait.
        pub waiting: u32,
        /// How the guarantees stand, by organisation.
        pub guarantees: Vec<GuaranteeStatus>,
    }
}

crate::value! {
    /// The highest epoch that an entry knows of in an availability zone.
    pub struct ZoneEpoch {
        /// The availability zone.
        pub zone: ZoneName,
        /// The epoch of its decider.
        pub epoch: Epoch,
    }
}

/// What two entries tell each other in a ping and in its answer.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct PeerState {
    /// The entry.
    pub entry: EntryName,
    /// This life of the entry.
    pub incarnation: Incarnation,
    /// Where it takes calls from other rattanwinch processes.
    pub address: SocketAddr,
    /// The configuration revision that it acts on.
    pub config_revision: Revision,
    /// The time since it sent its last successful control read; `None` before the first.
    pub control_age: Option<Duration>,
    /// True once it takes no new requests.
    pub draining: bool,
    /// The zones that it decides.
    pub zones: Vec<ZoneSummary>,
    /// The epochs that it has read in the store, so that a decider that was replaced learns of it
    /// from any entry.
    #[builder(default)]
    pub epochs: Vec<ZoneEpoch>,
    /// The zones of which it hears agents; `None` from a version that doesn't tell.
    pub heartbeat_zones: Option<Vec<ZoneName>>,
}
