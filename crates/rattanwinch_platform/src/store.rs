use rattanwinch_types::Revision;

use crate::KeyValue;
use crate::Result;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::keys::Key;

rattanwinch_types::value! { copy
    /// A lease that the store granted.
    pub struct LeaseId(pub i64);
}

rattanwinch_types::value! {
    /// Part of the keys with a prefix, in the order of the keys.
    pub struct Page {
        /// The keys and values.
        pub items: Vec<KeyValue>,
        /// Whether there are more after the last one.
        pub more: bool,
        /// The store's revision at the time of the read.
        pub revision: Revision,
    }
}

/// What rattanwinch needs of the platform's key-value service.
///
/// Implementations share one call among transactions that arrive together, keep to a budget of
/// calls, and read a transaction whose response was lost back by content before they report it.
pub trait Store: Send + Sync + 'static {
    /// Applies a transaction if its conditions hold.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome>> + Send;

    /// Reads one key.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<KeyValue>>> + Send;

    /// Reads up to `limit` keys that begin with `prefix` and come after `after`.
    fn read_page(
        &self,
        prefix: &Key,
        after: Option<&Key>,
        limit: u32,
    ) -> impl Future<Output = Result<Page>> + Send;

    /// Reads several ranges in one call, all from one moment of the store. The parts of the
    /// snapshot are in the order of the ranges.
    fn read_snapshot(
        &self,
        ranges: &[SnapshotRange],
    ) -> impl Future<Output = Result<Snapshot>> + Send;
}

rattanwinch_types::value! {
    /// A range of keys that is read as a part of a snapshot.
    pub enum SnapshotRange {
        /// One key, whose value is left out unless it was written after a revision.
        KeyIfModifiedAfter {
            /// The key.
            key: Key,
            /// The revision that the reader knows; 0 for none.
            known: Revision,
        },
        /// All keys that begin with this.
        Prefix(Key),
    }
}

rattanwinch_types::value! {
    /// Several ranges, all from one moment of the store.
    pub struct Snapshot {
        /// The store's revision at the time of the read.
        pub revision: Revision,
        /// Identifies the store's data; another id means another, for example restored, store.
        pub cluster: u64,
        /// What was read of each range, in the order in which they were asked for.
        pub parts: Vec<SnapshotPart>,
    }
}

rattanwinch_types::value! {
    /// What a snapshot holds of one range.
    pub struct SnapshotPart {
        /// The keys and values, in the order of the keys, without those that the reader knows.
        pub items: Vec<KeyValue>,
        /// How many keys the range has, those that were left out included.
        pub count: u64,
    }
}
