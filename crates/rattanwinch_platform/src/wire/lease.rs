use super::JsonInt;
use super::WireHeader;

rattanwinch_types::value! { wire
    /// The body of `/v3/lease/grant`.
    #[derive(Default)]
    pub struct WireLeaseGrant {
        /// The time to live in seconds.
        #[serde(rename = "TTL")]
        pub ttl: JsonInt<i64>,
        /// The wanted id; 0 lets the store choose.
        #[serde(rename = "ID", default, skip_serializing_if = "JsonInt::is_default")]
        pub id: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The answer to a grant.
    #[derive(Default)]
    pub struct WireLeaseGrantResponse {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
        /// The id of the lease.
        #[serde(rename = "ID")]
        pub id: JsonInt<i64>,
        /// The time to live in seconds.
        #[serde(rename = "TTL")]
        pub ttl: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The body of `/v3/lease/keepalive` and `/v3/lease/revoke`.
    #[derive(Default)]
    pub struct WireLeaseId {
        /// The id of the lease.
        #[serde(rename = "ID")]
        pub id: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// What a renewal found.
    #[derive(Default)]
    pub struct WireLeaseStatus {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
        /// The id of the lease.
        #[serde(rename = "ID", default, skip_serializing_if = "JsonInt::is_default")]
        pub id: JsonInt<i64>,
        /// The new time to live in seconds; 0 or absent if there is no such lease.
        #[serde(rename = "TTL", default, skip_serializing_if = "JsonInt::is_default")]
        pub ttl: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The answer to a renewal, a message of a stream.
    #[derive(Default)]
    pub struct WireLeaseKeepAliveResponse {
        /// The message.
        pub result: WireLeaseStatus,
    }
}

rattanwinch_types::value! { wire
    /// The answer to a revocation.
    #[derive(Default)]
    pub struct WireLeaseRevokeResponse {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
    }
}
