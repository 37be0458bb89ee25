//! Client of the platform's key-value store.
//!
//! [`Store`] is the interface that rattanwinch uses: compare-and-swap transactions over a few
//! keys, reads, and leases that delete the keys of a process that has stopped. [`EtcdStore`]
//! implements it over the etcd v3 JSON gateway, whose messages are in [`wire`]. [`keys`] builds
//! every key, and [`records`] defines the JSON records that are stored under them.
//!
//! This package makes no scheduling decisions: callers choose what to write and how to handle a
//! conflict or an unknown outcome.
//!
//! Start reading at [`Store`], then [`EtcdStore`].

mod etcd;
pub mod keys;
mod process_lease;
pub mod records;
mod store;
mod store_error;
mod store_settings;
mod transaction;
pub mod wire;

pub use etcd::CLIENT_NAME_HEADER;
pub use etcd::EtcdStore;
pub use etcd::MAX_VALUE_BYTES;
pub use etcd::StoreRevision;
pub use process_lease::ProcessLease;
pub use store::LeaseId;
pub use store::Page;
pub use store::Snapshot;
pub use store::SnapshotPart;
pub use store::SnapshotRange;
pub use store::Store;
pub use store_error::Result;
pub use store_error::StoreError;
pub use store_settings::StoreSettings;
pub use transaction::Condition;
pub use transaction::KeyValue;
pub use transaction::Retention;
pub use transaction::Transaction;
pub use transaction::TransactionOutcome;
pub use transaction::Write;
