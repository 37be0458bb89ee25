//! The client of the platform's key-value service.
//!
//! [`Store`] is what rattanwinch needs of it: compare-and-swap over a few keys, reads, and leases
//! that remove keys of processes that are gone. [`EtcdStore`] provides it over the etcd v3 JSON
//! gateway, whose messages are in [`wire`]. [`keys`] builds every key, [`records`] has the JSON
//! forms of what is stored under them.
//!
//! This package isn't for decisions: what to write, and what to do after a conflict or an unknown
//! outcome, is up to its users.
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
pub use etcd::StoreView;
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
