rattanwinch_types::value! { copy
    /// The kinds of calls, for the budget and the metrics.
    pub(crate) enum CallKind {
        /// A read of keys.
        Read,
        /// A read of several ranges at one moment.
        Snapshot,
        /// A read of keys whose writes were lost.
        ReadBack,
        /// A group of transactions.
        Commit,
        /// A new lease.
        LeaseGrant,
        /// The renewal of a lease.
        LeaseKeepAlive,
        /// The end of a lease.
        LeaseRevoke,
    }
}

impl CallKind {
    /// The text of the metric label.
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

    /// Whether the call counts as a read; renewals of leases count as writes.
    pub const fn is_read(self) -> bool {
        matches!(self, Self::Read | Self::Snapshot | Self::ReadBack)
    }

    /// Whether a call whose response is late is sent a second time. Snapshots aren't:
    /// their readers repeat them at an interval anyway.
    pub const fn is_sent_twice(self) -> bool {
        matches!(self, Self::Read | Self::ReadBack)
    }

    /// The path below the endpoint.
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
