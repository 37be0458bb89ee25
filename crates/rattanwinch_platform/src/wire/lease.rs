use super::JsonInt;
use super::WireHeader;

rattanwinch_types::value! { wire
    /// The body of `/v3/lease/grant`.
    #[derive(Default)]
    pub struct WireLeaseGrant {
        /// The time to live in seconds.
        #[serde(rename = "TTL")]
        pub ttl: JsonInt<i64>,
        /// The requested id; 0 lets the store choose one.
        #[serde(rename = "ID", default, skip_serializing_if = "JsonInt::is_default")]
        pub id: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The response to a grant.
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
    /// The state of a lease after a renewal.
    #[derive(Default)]
    pub struct WireLeaseStatus {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
        /// The id of the lease.
        #[serde(rename = "ID", default, skip_serializing_if = "JsonInt::is_default")]
        pub id: JsonInt<i64>,
        /// The new time to live in seconds; 0 or absent if the lease does not exist.
        #[serde(rename = "TTL", default, skip_serializing_if = "JsonInt::is_default")]
        pub ttl: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The response to a renewal, one message of a stream.
    #[derive(Default)]
    pub struct WireLeaseKeepAliveResponse {
        /// The message.
        pub result: WireLeaseStatus,
    }
}

rattanwinch_types::value! { wire
    /// The response to a revocation.
    #[derive(Default)]
    pub struct WireLeaseRevokeResponse {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
    }
}
