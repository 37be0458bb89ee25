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

/// Creates the error for an invalid name.
fn invalid_name(error: &InvalidName) -> InvalidRecord {
    InvalidRecord::new(error.kind, &format!("a valid name: {error}"))
}

rattanwinch_types::value! {
    /// The decider of an availability zone; the key's modification revision is the epoch.
    pub struct DeciderRecord {
        /// The entry that is the decider.
        pub entry: EntryName,
        /// The incarnation of the entry.
        pub incarnation: Incarnation,
        }
}

impl DeciderRecord {
    /// Encodes the record for storage.
    #[must_use]
    pub fn encode(&self) -> Arc<[u8]> {
        encode(&StoredDecider::from(self.clone()))
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if the value is not a valid decider record.
    pub fn decode(value: &[u8]) -> Result<Self> {
        decode::<StoredDecider>("decider record", value)?.try_into()
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`DeciderRecord`].
    pub struct StoredDecider {
        /// The entry that is the decider.
        pub entry: String,
        /// The incarnation of the entry.
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
        /// The incarnation of the entry.
        pub incarnation: Incarnation,
        /// The address of its RPC server for other rattanwinch processes.
        pub address: SocketAddr,
        /// The availability zone of the entry.
        pub zone: ZoneName,
    }
}

impl EntryRecord {
    /// Encodes the record for storage.
    #[must_use]
    pub fn encode(&self) -> Arc<[u8]> {
        encode(&StoredEntry::from(self.clone()))
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if the value is not a valid entry registration.
    pub fn decode(value: &[u8]) -> Result<Self> {
        decode::<StoredEntry>("entry record", value)?.try_into()
    }
}

rattanwinch_types::value! { wire
    /// The stored form of an [`EntryRecord`].
    pub struct StoredEntry {
        /// The entry.
        pub entry: String,
        /// The incarnation of the entry.
        pub incarnation: u64,
        /// The address of its RPC server.
        pub address: SocketAddr,
        /// The availability zone of the entry.
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
