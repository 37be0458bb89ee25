use std::sync::Arc;

use crate::Revision;

crate::value! {
    /// The configuration as one entry passes it on to another that can't read the store.
    pub struct ConfigCopy {
        /// The revision of the document in the store.
        pub revision: Revision,
        /// The store that it was read from.
        pub cluster: u64,
        /// The document as it is stored.
        pub document: Arc<str>,
    }
}
