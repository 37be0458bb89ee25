//! The client of the platform's key-value service.
//!
//! [`Store`] is what rattanwinch needs of it: compare-and-swap over a few keys, reads, and leases
//! that remove keys of processes that are gone. [`keys`] builds every key. [`records`] has the JSON
//! forms of what is stored under them.

pub mod keys;
pub mod records;
mod store;
mod store_error;
mod transaction;

pub use store::ControlRead;
pub use store::LeaseId;
pub use store::Page;
pub use store::Store;
pub use store_error::Result;
pub use store_error::StoreError;
pub use transaction::Condition;
pub use transaction::Retention;
pub use transaction::Transaction;
pub use transaction::TransactionOutcome;
pub use transaction::Versioned;
pub use transaction::Write;
