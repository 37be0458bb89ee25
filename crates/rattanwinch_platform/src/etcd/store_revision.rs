use rattanwinch_types::Revision;

use crate::wire::WireHeader;

rattanwinch_types::value! { copy
    /// The highest revision seen of a store with a given cluster id.
    pub struct StoreRevision {
        /// The cluster id of the store; it changes when the store is restored or replaced.
        pub cluster: u64,
        /// The highest revision seen in a response.
        pub revision: Revision,
    }
}

impl StoreRevision {
    /// Returns the highest revision seen after a response with the given header.
    #[must_use]
    pub(crate) fn after(last_seen_revision: Option<Self>, header: &WireHeader) -> Self {
        let seen = Self {
            cluster: header.cluster_id.0,
            revision: Revision(header.revision.0),
        };
        match last_seen_revision {
            Some(last_seen_revision) if last_seen_revision.cluster == seen.cluster => Self {
                revision: last_seen_revision.revision.max(seen.revision),
                ..seen
            },
            _ => seen,
        }
    }
}
