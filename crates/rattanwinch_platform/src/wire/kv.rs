use super::JsonBytes;
use super::JsonInt;

rattanwinch_types::value! { wire
    /// The header of a response.
    #[derive(Default)]
    pub struct WireHeader {
        /// The id of the store's cluster.
        #[serde(default)]
        pub cluster_id: JsonInt<u64>,
        /// The store's revision after the call.
        #[serde(default)]
        pub revision: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// A key-value pair.
    #[derive(Default)]
    pub struct WireKeyValue {
        /// The key.
        #[serde(default)]
        pub key: JsonBytes,
        /// The revision at which the key was created.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub create_revision: JsonInt<i64>,
        /// The revision of the last write.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub mod_revision: JsonInt<i64>,
        /// The number of writes since the key was created.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub version: JsonInt<i64>,
        /// The value.
        #[serde(default, skip_serializing_if = "JsonBytes::is_empty")]
        pub value: JsonBytes,
        /// The lease that the key is attached to; 0 for none.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub lease: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The body of `/v3/kv/range`.
    #[derive(Default)]
    pub struct WireRange {
        /// The first key.
        pub key: JsonBytes,
        /// The end of the range (exclusive); empty for a single key.
        #[serde(default, alias = "rangeEnd", skip_serializing_if = "JsonBytes::is_empty")]
        pub range_end: JsonBytes,
        /// The maximum number of keys to return; 0 for no limit.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub limit: JsonInt<i64>,
        /// Omits keys that were last written before this revision; the count includes them.
        #[serde(default, alias = "minModRevision", skip_serializing_if = "JsonInt::is_default")]
        pub min_mod_revision: JsonInt<i64>,
        /// Returns only the number of keys.
        #[serde(default, alias = "countOnly", skip_serializing_if = "std::ops::Not::not")]
        pub count_only: bool,
    }
}

rattanwinch_types::value! { wire
    /// The response to a range request.
    #[derive(Default)]
    pub struct WireRangeResponse {
        /// The header; empty within a transaction.
        #[serde(default)]
        pub header: WireHeader,
        /// The key-value pairs in key order.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub kvs: Vec<WireKeyValue>,
        /// Whether the range has more keys than the limit.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub more: bool,
        /// The number of keys in the range.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub count: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// A put, as the body of `/v3/kv/put` or an operation of a transaction.
    #[derive(Default)]
    pub struct WirePut {
        /// The key.
        pub key: JsonBytes,
        /// The value.
        #[serde(default, skip_serializing_if = "JsonBytes::is_empty")]
        pub value: JsonBytes,
        /// The lease to attach the key to; 0 for none.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub lease: JsonInt<i64>,
    }
}

rattanwinch_types::value! { wire
    /// The response to a put.
    #[derive(Default)]
    pub struct WirePutResponse {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
    }
}

rattanwinch_types::value! { wire
    /// A deletion of a range of keys.
    #[derive(Default)]
    pub struct WireDeleteRange {
        /// The first key.
        pub key: JsonBytes,
        /// The end of the range (exclusive); empty for a single key.
        #[serde(default, alias = "rangeEnd", skip_serializing_if = "JsonBytes::is_empty")]
        pub range_end: JsonBytes,
    }
}

rattanwinch_types::value! { wire
    /// The response to a deletion.
    #[derive(Default)]
    pub struct WireDeleteRangeResponse {
        /// The header.
        #[serde(default)]
        pub header: WireHeader,
        /// The number of deleted keys.
        #[serde(default, skip_serializing_if = "JsonInt::is_default")]
        pub deleted: JsonInt<i64>,
    }
}
