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
    /// What a comparison looks at.
    #[derive(Copy, Default)]
    #[serde(rename_all = "UPPERCASE")]
    pub enum WireCompareTarget {
        /// The number of writes.
        #[default]
        Version,
        /// The revision of creation; 0 if the key doesn't exist.
        Create,
        /// The revision of the last write; 0 if the key doesn't exist.
        Mod,
        /// The value.
        Value,
    }
}

rattanwinch_types::value! { wire
    /// What a comparison expects.
    #[derive(Copy, Default)]
    #[serde(rename_all = "SCREAMING_SNAKE_CASE")]
    pub enum WireCompareResult {
        /// The same.
        #[default]
        Equal,
        /// Greater than the given value.
        Greater,
        /// Less than the given value.
        Less,
        /// Not the same.
        NotEqual,
    }
}

rattanwinch_types::value! { wire
    /// One comparison of a transaction.
    #[derive(Default)]
    pub struct WireCompare {
        /// What is expected.
        #[serde(default)]
        pub result: WireCompareResult,
        /// What is looked at.
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
        /// Runs a transaction of its own.
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
        /// What is done if they hold.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub success: Vec<WireRequestOp>,
        /// What is done if they don't.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub failure: Vec<WireRequestOp>,
    }
}

rattanwinch_types::value! { wire
    /// The answer to one operation of a transaction.
    pub enum WireResponseOp {
        /// The answer to a range.
        #[serde(rename = "response_range", alias = "responseRange")]
        Range(WireRangeResponse),
        /// The answer to a put.
        #[serde(rename = "response_put", alias = "responsePut")]
        Put(WirePutResponse),
        /// The answer to a deletion.
        #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
        DeleteRange(WireDeleteRangeResponse),
        /// The answer to a nested transaction.
        #[serde(rename = "response_txn", alias = "responseTxn")]
        Txn(WireTxnResponse),
    }
}

rattanwinch_types::value! { wire
    /// The answer to a transaction.
    #[derive(Default)]
    pub struct WireTxnResponse {
        /// The header; empty within a transaction.
        #[serde(default)]
        pub header: WireHeader,
        /// Whether the comparisons held.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub succeeded: bool,
        /// The answers to the operations that were done.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub responses: Vec<WireResponseOp>,
    }
}

rattanwinch_types::value! { wire
    /// The body of a response that isn't a success.
    #[derive(Default)]
    pub struct WireGatewayError {
        /// The code, as in gRPC.
        #[serde(default)]
        pub code: i32,
        /// What was wrong.
        #[serde(default)]
        pub message: String,
    }
}
