use std::sync::Arc;

use rattanwinch_types::Revision;
use smallvec::SmallVec;

use crate::keys::Key;

rattanwinch_types::value! {
    /// A value with the revision of its last change.
    pub struct KeyValue {
        /// The key.
        pub key: Key,
        /// The value.
        pub value: Arc<[u8]>,
        /// The revision at which the value was written.
        pub revision: Revision,
    }
}

rattanwinch_types::value! {
    /// What must hold of a key for a transaction to be applied.
    pub enum Condition {
        /// The key doesn't exist.
        Absent(Key),
        /// The key was last written at the revision.
        ModifiedAt(Key, Revision),
    }
}

impl Condition {
    /// The key.
    #[must_use]
    pub const fn key(&self) -> &Key {
        match self {
            Self::Absent(key) | Self::ModifiedAt(key, _) => key,
        }
    }
}

rattanwinch_types::value! { copy
    /// How long a written key stays.
    pub enum Retention {
        /// Until it is deleted.
        Permanent,
        /// As long as this process renews its own lease.
        ProcessLease,
        /// 24 h: the memory of finished requests.
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
            /// How long it stays.
            retention: Retention,
        },
        /// Deletes a key; deleting a key that doesn't exist does nothing.
        Delete(Key),
    }
}

rattanwinch_types::value! {
    /// A compare-and-swap: all writes are applied if all conditions hold, else none.
    #[derive(Default)]
    pub struct Transaction {
        /// What must hold.
        pub conditions: SmallVec<[Condition; 3]>,
        /// What is written.
        pub writes: SmallVec<[Write; 2]>,
    }
}

impl Transaction {
    /// A transaction without conditions and writes.
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
    /// What became of a transaction that the store answered.
    pub enum TransactionOutcome {
        /// It was applied; every written key now has this revision.
        Applied(Revision),
        /// A condition didn't hold; the keys of the conditions that exist, as they are now.
        Conflict(Vec<KeyValue>),
    }
}
