use super::JsonBytes;
use super::JsonInt;
use super::WireDeleteRange;
use super::WireDeleteRangeResponse;
use super::WireHeader;
use super::WirePut;
use super::WirePutResponse;
use super::WireRange;
use super::WireRangeResponse;

rattanwinch_types::value! { wire
    /// The attribute of a key that is compared.
    #[derive(Copy, Default)]
    #[serde(rename_all = "UPPERCASE")]
    pub enum WireCompareTarget {
        /// The number of writes since the key was created.
        #[default]
        Version,
        /// The revision of creation; 0 if the key does not exist.
        Create,
        /// The revision of the last write; 0 if the key does not exist.
        Mod,
        /// The value.
        Value,
    }
}

rattanwinch_types::value! { wire
    /// The comparison operator.
    #[derive(Copy, Default)]
    #[serde(rename_all = "SCREAMING_SNAKE_CASE")]
    pub enum WireCompareResult {
        /// Equal to the given value.
        #[default]
        Equal,
        /// Greater than the given value.
        Greater,
        /// Less than the given value.
        Less,
        /// Not equal to the given value.
        NotEqual,
    }
}

rattanwinch_types::value! { wire
    /// One comparison of a transaction.
    #[derive(Default)]
    pub struct WireCompare {
        /// The comparison operator.
        #[serde(default)]
        pub result: WireCompareResult,
        /// The attribute that is compared.
        #[serde(default)]
        pub target: WireCompareTarget,
        /// The key.
        pub key: JsonBytes,
        /// The number of writes to compare with.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<JsonInt<i64>>,
        /// The revision of creation to compare with.
        #[serde(rename = "createRevision", alias = "create_revision", default)]
        #[serde(skip_serializing_if = "Option::is_none")]
        pub create_revision: Option<JsonInt<i64>>,
        /// The revision of the last write to compare with.
        #[serde(rename = "modRevision", alias = "mod_revision", default)]
        #[serde(skip_serializing_if = "Option::is_none")]
        pub mod_revision: Option<JsonInt<i64>>,
        /// The value to compare with.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub value: Option<JsonBytes>,
    }
}

rattanwinch_types::value! { wire
    /// One operation of a transaction.
    pub enum WireRequestOp {
        /// Reads keys.
        #[serde(rename = "requestRange", alias = "request_range")]
        Range(WireRange),
        /// Writes a key.
        #[serde(rename = "requestPut", alias = "request_put")]
        Put(WirePut),
        /// Deletes keys.
        #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
        DeleteRange(WireDeleteRange),
        /// Runs a nested transaction.
        #[serde(rename = "requestTxn", alias = "request_txn")]
        Txn(WireTxn),
    }
}

rattanwinch_types::value! { wire
    /// The body of `/v3/kv/txn`.
    #[derive(Default)]
    pub struct WireTxn {
        /// The comparisons; all must hold.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub compare: Vec<WireCompare>,
        /// The operations to execute if all comparisons hold.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub success: Vec<WireRequestOp>,
        /// The operations to execute otherwise.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub failure: Vec<WireRequestOp>,
    }
}

rattanwinch_types::value! { wire
    /// The response to one operation of a transaction.
    pub enum WireResponseOp {
        /// The response to a range request.
        #[serde(rename = "response_range", alias = "responseRange")]
        Range(WireRangeResponse),
        /// The response to a put.
        #[serde(rename = "response_put", alias = "responsePut")]
        Put(WirePutResponse),
        /// The response to a deletion.
        #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
        DeleteRange(WireDeleteRangeResponse),
        /// The response to a nested transaction.
        #[serde(rename = "response_txn", alias = "responseTxn")]
        Txn(WireTxnResponse),
    }
}

rattanwinch_types::value! { wire
    /// The response to a transaction.
    #[derive(Default)]
    pub struct WireTxnResponse {
        /// The header; empty within a transaction.
        #[serde(default)]
        pub header: WireHeader,
        /// Whether the comparisons held.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub succeeded: bool,
        /// The responses to the executed operations.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub responses: Vec<WireResponseOp>,
    }
}

rattanwinch_types::value! { wire
    /// The body of an error response.
    #[derive(Default)]
    pub struct WireGatewayError {
        /// The gRPC status code.
        #[serde(default)]
        pub code: i32,
        /// The error message.
        #[serde(default)]
        pub message: String,
    }
}
