use std::sync::Arc;

use crate::Revision;

crate::value! {
    /// A copy of the configuration that an entry sends to an entry that cannot read the store.
    pub struct ConfigCopy {
        /// The revision of the document in the store.
        pub revision: Revision,
        /// The id of the store cluster that the document was read from.
        pub cluster: u64,
        /// The document in its stored encoding.
        pub document: Arc<str>,
    }
}
