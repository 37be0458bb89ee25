use std::fmt;

/// What an operation on the state returns.
pub type Result<T> = std::result::Result<T, KvRefusal>;

rattanwinch_types::value! { copy
    /// Why the store refuses a call as a whole.
    pub enum KvRefusal {
        /// A value or request is too large.
        TooLarge,
        /// A transaction writes a key twice.
        DuplicateKey,
        /// A transaction has more operations than allowed.
        TooManyOps,
        /// There is no such lease.
        LeaseNotFound,
        /// There is a lease with this id already.
        LeaseExists,
        /// The rate of calls is exceeded.
        TooManyRequests,
        /// The store is down.
        Unavailable,
        /// The request can't be read.
        Invalid,
    }
}

impl KvRefusal {
    /// The gRPC code.
    #[must_use]
    pub const fn code(self) -> i32 {
        match self {
            Self::TooLarge | Self::DuplicateKey | Self::TooManyOps | Self::Invalid => 3,
            Self::LeaseNotFound => 5,
            Self::LeaseExists => 9,
            Self::TooManyRequests => 8,
            Self::Unavailable => 14,
        }
    }

    /// The HTTP status to which the gateway maps the code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self.code() {
            5 => 404,
            8 => 429,
            14 => 503,
            _ => 400,
        }
    }
}

impl fmt::Display for KvRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "etcdserver: request is too large",
            Self::DuplicateKey => "etcdserver: duplicate key given in txn request",
            Self::TooManyOps => "etcdserver: too many operations in txn request",
            Self::LeaseNotFound => "etcdserver: requested lease not found",
            Self::LeaseExists => "etcdserver: lease already exists",
            Self::TooManyRequests => "etcdserver: too many requests",
            Self::Unavailable => "etcdserver: no leader",
            Self::Invalid => "invalid request",
        })
    }
}

impl std::error::Error for KvRefusal {}
