use std::net::SocketAddr;
use std::sync::Arc;

use rattanwinch_types::value;
use serde::Deserialize;
use serde::Serialize;

use crate::LeaderInfo;

/// Key of the leader record in the store.
///
/// The key is bound to the leader's lease. Each transaction of the leader also writes this key,
/// conditional on no other front having written it. So a front that has been replaced can't change
/// anything, not even by an earlier write whose answer was lost.
pub const LEADER_KEY: &str = "rattanwinch/leader";

value! {
    /// Value of [`LEADER_KEY`].
    pub struct LeaderRecord {
        /// The leader's VM.
        pub vm: Arc<str>,
        /// Distinguishes the processes on a VM.
        pub incarnation: u64,
        /// Address of the leader's RPC server for other fronts and agents.
        pub address: SocketAddr,
        /// The revision of the leader's election; `None` in the record that claims leadership,
        /// since the store assigns the revision.
        pub epoch: Option<u64>,
        /// Number of transactions committed since the election.
        pub transaction_count: u64,
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
    /// Encodes the record for the store.
    ///
    /// # Panics
    ///
    /// Never: a record of plain fields is valid JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let stored = StoredLeader {
            vm: Arc::clone(&self.vm),
            incarnation: self.incarnation,
            address: self.address,
            epoch: self.epoch,
            change: self.transaction_count,
        };
        serde_json::to_vec(&stored).expect("a record of plain fields is valid JSON")
    }

    /// Decodes a stored value; `None` if it is invalid.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let stored: StoredLeader = serde_json::from_slice(value).ok()?;
        Some(Self {
            vm: stored.vm,
            incarnation: stored.incarnation,
            address: stored.address,
            epoch: stored.epoch,
            transaction_count: stored.change,
        })
    }

    /// The leader, if the record was last written at this revision.
    #[must_use]
    pub fn info(&self, mod_revision: u64) -> LeaderInfo {
        LeaderInfo {
            epoch: self.epoch.unwrap_or(mod_revision),
            address: self.address,
        }
    }
}
