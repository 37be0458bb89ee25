//! The messages of the etcd v3 JSON gateway that rattanwinch uses.
//!
//! Field names and encodings follow the published API: 64-bit integers are JSON strings, keys and
//! values are base64, and fields with their default value may be omitted.

mod kv;
mod lease;
mod scalars;
mod txn;

pub use kv::WireDeleteRange;
pub use kv::WireDeleteRangeResponse;
pub use kv::WireHeader;
pub use kv::WireKeyValue;
pub use kv::WirePut;
pub use kv::WirePutResponse;
pub use kv::WireRange;
pub use kv::WireRangeResponse;
pub use lease::WireLeaseGrant;
pub use lease::WireLeaseGrantResponse;
pub use lease::WireLeaseId;
pub use lease::WireLeaseKeepAliveResponse;
pub use lease::WireLeaseRevokeResponse;
pub use lease::WireLeaseStatus;
pub use scalars::JsonBytes;
pub use scalars::JsonInt;
pub use txn::WireCompare;
pub use txn::WireCompareResult;
pub use txn::WireCompareTarget;
pub use txn::WireGatewayError;
pub use txn::WireRequestOp;
pub use txn::WireResponseOp;
pub use txn::WireTxn;
pub use txn::WireTxnResponse;

/// A response with a header that contains the store's cluster id and revision.
pub trait HasHeader {
    /// Returns the header.
    fn header(&self) -> &WireHeader;
}

macro_rules! has_header {
    ($($name:ident),*) => {
        $(impl HasHeader for $name {
            fn header(&self) -> &WireHeader {
                &self.header
            }
        })*
    };
}

has_header!(
    WireLeaseGrantResponse,
    WireLeaseRevokeResponse,
    WireRangeResponse,
    WireTxnResponse
);

impl HasHeader for WireLeaseKeepAliveResponse {
    fn header(&self) -> &WireHeader {
        &self.result.header
    }
}
