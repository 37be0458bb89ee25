use crate::LeaseId;

rattanwinch_types::value! { copy
    /// The state of the process lease, to which keys with [`crate::Retention::ProcessLease`] are
    /// attached.
    ///
    /// When the id in [`ProcessLease::Held`] changes, the store deletes the keys attached to the
    /// previous lease, and their owner has to write them again.
    #[derive(Default)]
    pub enum ProcessLease {
        /// No lease was granted yet; the first write that needs one requests it.
        #[default]
        NotGranted,
        /// The lease is granted and renewed in the background.
        Held(LeaseId),
        /// The lease expired or was revoked; a new one is being requested.
        Lost(LeaseId),
    }
}

impl ProcessLease {
    /// Returns the id of the lease if it is held.
    #[must_use]
    pub const fn held(self) -> Option<LeaseId> {
        match self {
            Self::Held(id) => Some(id),
            Self::NotGranted | Self::Lost(_) => None,
        }
    }
}
