use rattanwinch_types::Revision;

use crate::wire::WireHeader;

rattanwinch_types::value! { copy
    /// The store's identity and the highest revision of it that was seen.
    pub struct StoreView {
        /// Identifies the store's data; another id means another, for example restored, store.
        pub cluster: u64,
        /// The highest revision seen in a response.
        pub revision: Revision,
    }
}

impl StoreView {
    /// The view after a response.
    #[must_use]
    pub(crate) fn after(view: Option<Self>, header: &WireHeader) -> Self {
        let seen = Self {
            cluster: header.cluster_id.0,
            revision: Revision(header.revision.0),
        };
        match view {
            Some(view) if view.cluster == seen.cluster => Self {
                revision: view.revision.max(seen.revision),
                ..seen
            },
            _ => seen,
        }
    }
}
