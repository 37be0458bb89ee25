use rattanwinch_types::Revision;

use crate::Result;
use crate::Transaction;
use crate::TransactionOutcome;
use crate::Versioned;
use crate::keys::Key;

rattanwinch_types::value! { copy
    /// A lease that the store granted.
    pub struct LeaseId(pub i64);
}

rattanwinch_types::value! {
    /// Part of the keys with a prefix, in the order of the keys.
    pub struct Page {
        /// The keys and values.
        pub items: Vec<Versioned>,
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
    fn read(&self, key: &Key) -> impl Future<Output = Result<Option<Versioned>>> + Send;

    /// Reads up to `limit` keys that begin with `prefix` and come after `after`.
    fn read_page(
        &self,
        prefix: &Key,
        after: Option<&Key>,
        limit: u32,
    ) -> impl Future<Output = Result<Page>> + Send;

    /// Reads in one call the configuration document, if it is newer than `known`, and all
    /// decider and entry keys.
    fn read_control(&self, known: Revision) -> impl Future<Output = Result<ControlRead>> + Send;
}

rattanwinch_types::value! {
    /// What a control read returned, all from one moment of the store.
    pub struct ControlRead {
        /// The store's revision at the time of the read.
        pub revision: Revision,
        /// Identifies the store's data; another id means another, for example restored, store.
        pub cluster: u64,
        /// The configuration document, if it is newer than the one that was known.
        pub config: Option<Versioned>,
        /// Whether there is a configuration document at all.
        pub has_config: bool,
        /// The decider keys of all zones.
        pub deciders: Vec<Versioned>,
        /// The registrations of all entries.
        pub entries: Vec<Versioned>,
    }
}
