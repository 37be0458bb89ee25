rattanwinch_types::value! { copy
    /// The kind of a call, for rate limiting and metrics.
    pub(crate) enum CallKind {
        /// Reads keys.
        Read,
        /// Reads several ranges at one revision.
        Snapshot,
        /// Reads back the keys of writes whose response was lost.
        ReadBack,
        /// Commits a group of transactions.
        Commit,
        /// Grants a lease.
        LeaseGrant,
        /// Renews a lease.
        LeaseKeepAlive,
        /// Revokes a lease.
        LeaseRevoke,
    }
}

impl CallKind {
    /// Returns the value of the metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Snapshot => "snapshot",
            Self::ReadBack => "read_back",
            Self::Commit => "commit",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseKeepAlive => "lease_keepalive",
            Self::LeaseRevoke => "lease_revoke",
        }
    }

    /// Whether the call counts as a read; lease renewals count as writes.
    pub const fn is_read(self) -> bool {
        matches!(self, Self::Read | Self::Snapshot | Self::ReadBack)
    }

    /// Whether a late call is hedged by sending it a second time. Snapshots are not hedged,
    /// because their readers poll anyway.
    pub const fn is_hedged(self) -> bool {
        matches!(self, Self::Read | Self::ReadBack)
    }

    /// Returns the URL path of the call.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Read => "/v3/kv/range",
            Self::Snapshot | Self::ReadBack | Self::Commit => "/v3/kv/txn",
            Self::LeaseGrant => "/v3/lease/grant",
            Self::LeaseKeepAlive => "/v3/lease/keepalive",
            Self::LeaseRevoke => "/v3/lease/revoke",
        }
    }
}
