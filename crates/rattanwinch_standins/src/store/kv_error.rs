use std::fmt;

/// The result of an operation on the state.
pub type Result<T> = std::result::Result<T, KvError>;

rattanwinch_types::value! { copy
    /// An error with which the store rejects a call.
    pub enum KvError {
        /// A value or request exceeds the size limit.
        TooLarge,
        /// A transaction writes a key twice.
        DuplicateKey,
        /// A transaction has more operations than allowed.
        TooManyOps,
        /// The lease does not exist.
        LeaseNotFound,
        /// A lease with this id already exists.
        LeaseExists,
        /// The rate limit is exceeded.
        TooManyRequests,
        /// The store is unavailable.
        Unavailable,
        /// The request is malformed.
        Invalid,
    }
}

impl KvError {
    /// Returns the gRPC status code.
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

    /// Returns the HTTP status to which the gateway maps the gRPC code.
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

impl fmt::Display for KvError {
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

impl std::error::Error for KvError {}
