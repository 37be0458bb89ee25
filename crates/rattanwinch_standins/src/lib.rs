//! Stand-ins for external systems, for tests, benchmarks and the demonstration.
//!
//! [`StandinExecutor`] simulates an executor on a target VM: it has slots for plain requests and
//! accelerators for gang tasks, records every run, and can inject failures and delays.
//! [`StandinStore`] simulates the platform's store behind the etcd v3 JSON gateway with its limits,
//! and can inject the store's failures. No production package depends on this one.

mod executor;
mod store;

pub use executor::Result;
pub use executor::SimulatedWork;
pub use executor::StandinExecutor;
pub use executor::StandinTasks;
pub use executor::TaskError;
pub use executor::TaskRun;
pub use store::KvError;
pub use store::KvResult;
pub use store::KvState;
pub use store::StandinStore;
pub use store::StoreCounts;
pub use store::StoreFaults;
pub use store::StoreLimits;
pub use store::StoreMode;
