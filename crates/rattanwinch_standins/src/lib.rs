//! Stand-ins for what lies outside rattanwinch, for tests, measurements and the demonstration.
//!
//! [`StandinExecutor`] behaves as an executor on a target VM: it has slots for plain requests and
//! accelerators for gang tasks, records what it starts, and can be told to fail or to be slow.
//! [`StandinStore`] behaves as the platform's store behind the etcd v3 JSON gateway, keeps to its
//! limits, and can be told to fail in the ways that the store does. Nothing here ships; no package
//! that ships depends on it.

mod executor;
mod store;

pub use executor::Result;
pub use executor::StandinExecutor;
pub use executor::StandinTasks;
pub use executor::TaskError;
pub use executor::TaskRun;
pub use executor::WorkOrder;
pub use store::KvRefusal;
pub use store::KvResult;
pub use store::KvState;
pub use store::StandinStore;
pub use store::StoreCounts;
pub use store::StoreFaults;
pub use store::StoreLimits;
pub use store::StoreMode;
