use crate::LeaseId;

rattanwinch_types::value! { copy
    /// The state of the process's lease, to which [`crate::Retention::ProcessLease`] attaches keys.
    ///
    /// Each new id in [`ProcessLease::Held`] means that the keys put under an earlier lease are
    /// gone or will go; the owner of such keys then writes them again.
    #[derive(Default)]
    pub enum ProcessLease {
        /// None was granted yet; the first write that needs it asks for it.
        #[default]
        NotGranted,
        /// The store holds this lease, and it is being renewed.
        Held(LeaseId),
        /// The store no longer has the lease; a new one is being asked for.
        Lost(LeaseId),
    }
}

impl ProcessLease {
    /// The lease that writes can be attached to.
    #[must_use]
    pub const fn held(self) -> Option<LeaseId> {
        match self {
            Self::Held(id) => Some(id),
            Self::NotGranted | Self::Lost(_) => None,
        }
    }
}
