use std::net::SocketAddr;
use std::sync::Arc;

use rattanwinch_types::EntryName;
use rattanwinch_types::Incarnation;
use rattanwinch_types::InvalidName;
use rattanwinch_types::ZoneName;

use super::InvalidRecord;
use super::Result;
use super::decode;
use super::encode;

/// A name that isn't valid.
fn invalid_name(error: &InvalidName) -> InvalidRecord {
    InvalidRecord::new(error.kind, &format!("a valid name: {error}"))
}

rattanwinch_types::value! {
    /// Which entry decides an availability zone; the key's revision is the epoch.
    pub struct DeciderRecord {
        /// The entry.
        pub entry: EntryName,
        /// Its life.
        pub incarnation: Incarnation,
    }
}

impl DeciderRecord {
    /// The value to store.
    #[must_use]
    pub fn encode(&self) -> Arc<[u8]> {
        encode(&StoredDecider::from(self.clone()))
    }

    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it isn't a decider record.
    pub fn decode(value: &[u8]) -> Result<Self> {
        decode::<StoredDecider>("decider record", value)?.try_into()
    }
}

rattanwinch_types::value! { wire
    /// A [`DeciderRecord`] as it is stored.
    pub struct StoredDecider {
        /// The entry.
        pub entry: String,
        /// Its life.
        pub incarnation: u64,
    }
}

impl From<DeciderRecord> for StoredDecider {
    fn from(record: DeciderRecord) -> Self {
        Self {
            entry: record.entry.into(),
            incarnation: record.incarnation.0,
        }
    }
}

impl TryFrom<StoredDecider> for DeciderRecord {
    type Error = InvalidRecord;

    fn try_from(stored: StoredDecider) -> Result<Self> {
        Ok(Self {
            entry: EntryName::new(stored.entry).map_err(|error| invalid_name(&error))?,
            incarnation: Incarnation(stored.incarnation),
        })
    }
}

rattanwinch_types::value! {
    /// The registration of an entry.
    pub struct EntryRecord {
        /// The entry.
        pub entry: EntryName,
        /// Its life.
        pub incarnation: Incarnation,
        /// Where it takes calls from other rattanwinch processes.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
    }
}

impl EntryRecord {
    /// The value to store.
    #[must_use]
    pub fn encode(&self) -> Arc<[u8]> {
        encode(&StoredEntry::from(self.clone()))
    }

    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it isn't an entry's registration.
    pub fn decode(value: &[u8]) -> Result<Self> {
        decode::<StoredEntry>("entry record", value)?.try_into()
    }
}

rattanwinch_types::value! { wire
    /// An [`EntryRecord`] as it is stored.
    pub struct StoredEntry {
        /// The entry.
        pub entry: String,
        /// Its life.
        pub incarnation: u64,
        /// Where it takes calls.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: String,
    }
}

impl From<EntryRecord> for StoredEntry {
    fn from(record: EntryRecord) -> Self {
        Self {
            entry: record.entry.into(),
            incarnation: record.incarnation.0,
            address: record.address,
            zone: record.zone.into(),
        }
    }
}

impl TryFrom<StoredEntry> for EntryRecord {
    type Error = InvalidRecord;

    fn try_from(stored: StoredEntry) -> Result<Self> {
        Ok(Self {
            entry: EntryName::new(stored.entry).map_err(|error| invalid_name(&error))?,
            incarnation: Incarnation(stored.incarnation),
            address: stored.address,
            zone: ZoneName::new(stored.zone).map_err(|error| invalid_name(&error))?,
        })
    }
}
