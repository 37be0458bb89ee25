use std::sync::Arc;

use rattanwinch_types::Revision;
use smallvec::SmallVec;

use crate::keys::Key;

rattanwinch_types::value! {
    /// A key-value pair with the revision of its last modification.
    pub struct KeyValue {
        /// The key.
        pub key: Key,
        /// The value.
        pub value: Arc<[u8]>,
        /// The revision of the last modification.
        pub revision: Revision,
    }
}

rattanwinch_types::value! {
    /// A condition on a key that must hold for a transaction to be applied.
    pub enum Condition {
        /// The key does not exist.
        Absent(Key),
        /// The key was last modified at this revision.
        ModifiedAt(Key, Revision),
    }
}

impl Condition {
    /// Returns the key that the condition compares.
    #[must_use]
    pub const fn key(&self) -> &Key {
        match self {
            Self::Absent(key) | Self::ModifiedAt(key, _) => key,
        }
    }
}

rattanwinch_types::value! { copy
    /// How long a written key is kept.
    pub enum Retention {
        /// Until it is deleted.
        Permanent,
        /// While this process renews its lease.
        ProcessLease,
        /// At least 24 h, for the records of finished requests.
        Day,
    }
}

rattanwinch_types::value! {
    /// One write of a transaction.
    pub enum Write {
        /// Writes a value.
        Put {
            /// The key.
            key: Key,
            /// The value, at most 1 MB.
            value: Arc<[u8]>,
            /// How long the key is kept.
            retention: Retention,
        },
        /// Deletes a key; has no effect if the key does not exist.
        Delete(Key),
    }
}

rattanwinch_types::value! {
    /// A compare-and-swap transaction: if all conditions hold, all writes are applied, else none.
    #[derive(Default)]
    pub struct Transaction {
        /// The conditions.
        pub conditions: SmallVec<[Condition; 3]>,
        /// The writes.
        pub writes: SmallVec<[Write; 2]>,
    }
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a condition.
    #[must_use]
    pub fn with_condition(mut self, condition: Condition) -> Self {
        self.conditions.push(condition);
        self
    }

    /// Adds a write of a value.
    #[must_use]
    pub fn with_put(mut self, key: Key, value: impl Into<Arc<[u8]>>, retention: Retention) -> Self {
        self.writes.push(Write::Put {
            key,
            value: value.into(),
            retention,
        });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn with_delete(mut self, key: Key) -> Self {
        self.writes.push(Write::Delete(key));
        self
    }
}

rattanwinch_types::value! {
    /// The store's response to a transaction.
    pub enum TransactionOutcome {
        /// The transaction was applied at this revision.
        Applied(Revision),
        /// A condition did not hold; contains the current values of the conditions' keys.
        Conflict(Vec<KeyValue>),
    }
}
