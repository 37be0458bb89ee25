use rattanwinch_types::Revision;

use crate::KeyValue;
use crate::Result;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::keys::Key;

rattanwinch_types::value! { copy
    /// The id of a lease that the store granted.
    pub struct LeaseId(pub i64);
}

rattanwinch_types::value! {
    /// One page of the keys with a prefix, in key order.
    pub struct Page {
        /// The key-value pairs.
        pub items: Vec<KeyValue>,
        /// Whether more keys follow the last one of this page.
        pub more: bool,
        /// The store's revision at which the read was served.
        pub revision: Revision,
    }
}

/// The platform's key-value store as rattanwinch uses it.
///
/// Implementations commit concurrent transactions in groups, limit their rate of calls, and,
/// when a response is lost, read the keys back to find out whether the transaction was applied.
pub trait Store: Send + Sync + 'static {
    /// Applies a transaction if all its conditions hold.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<TransactionOutcome>> + Send;

    /// Reads one key.
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<KeyValue>>> + Send;

    /// Reads up to `limit` keys that begin with `prefix` and sort after `after`.
    fn read_page(
        &self,
        prefix: &Key,
        after: Option<&Key>,
        limit: u32,
    ) -> impl Future<Output = Result<Page>> + Send;

    /// Reads several ranges in one call, all at the same revision. The parts of the snapshot are
    /// in the order of the ranges.
    fn read_snapshot(
        &self,
        ranges: &[SnapshotRange],
    ) -> impl Future<Output = Result<Snapshot>> + Send;
}

rattanwinch_types::value! {
    /// A range of keys to read as one part of a snapshot.
    pub enum SnapshotRange {
        /// One key, whose value is omitted unless it was modified after a revision.
        KeyIfModifiedAfter {
            /// The key.
            key: Key,
            /// The revision that the reader already has; 0 for none.
            known: Revision,
        },
        /// All keys that begin with this prefix.
        Prefix(Key),
    }
}

rattanwinch_types::value! {
    /// Several ranges read at the same revision.
    pub struct Snapshot {
        /// The store's revision at which the read was served.
        pub revision: Revision,
        /// The cluster id of the store; it changes when the store is restored or replaced.
        pub cluster: u64,
        /// One part for each requested range, in the order of the request.
        pub parts: Vec<SnapshotPart>,
    }
}

rattanwinch_types::value! {
    /// The part of a snapshot that holds one range.
    pub struct SnapshotPart {
        /// The key-value pairs in key order, without those that the reader already has.
        pub items: Vec<KeyValue>,
        /// The number of keys in the range, including omitted ones.
        pub count: u64,
    }
}
