use std::net::SocketAddr;
use std::sync::Arc;

use rattanwinch_types::value;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaderInfo;

/// The key in the store that names the front that schedules.
///
/// It is bound to a lease, and each change that the scheduler makes durable also writes this key
/// under the condition that nobody else has. So a front that has been replaced, and a write of
/// its own whose answer was lost, can change nothing any more.
pub const LEADER_KEY: &str = "rattanwinch/leader";

value! {
    /// The value of [`LEADER_KEY`].
    pub struct LeaderRecord {
        /// The VM of the front.
        pub vm: Arc<str>,
        /// Tells the processes on a VM apart.
        pub incarnation: u64,
        /// Where it serves other fronts and agents.
        pub address: SocketAddr,
        /// The revision with which it took over; `None` in the record that does so.
        pub epoch: Option<u64>,
        /// Counts the changes that it has made since.
        pub change: u64,
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredLeader {
    vm: Arc<str>,
    incarnation: u64,
    address: SocketAddr,
    epoch: Option<u64>,
    change: u64,
}

impl LeaderRecord {
    /// The value to store.
    ///
    /// # Panics
    ///
    /// Never, as the record has only plain fields.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let stored = StoredLeader {
            vm: Arc::clone(&self.vm),
            incarnation: self.incarnation,
            address: self.address,
            epoch: self.epoch,
            change: self.change,
        };
        serde_json::to_vec(&stored).expect("a record of plain fields is valid JSON")
    }

    /// Reads a stored value; `None` if it is none.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let stored: StoredLeader = serde_json::from_slice(value).ok()?;
        Some(Self {
            vm: stored.vm,
            incarnation: stored.incarnation,
            address: stored.address,
            epoch: stored.epoch,
            change: stored.change,
        })
    }

    /// Who leads, if the record was last changed with this revision.
    #[must_use]
    pub fn info(&self, changed: u64) -> LeaderInfo {
        LeaderInfo {
            epoch: self.epoch.unwrap_or(changed),
            address: self.address,
        }
    }
}
