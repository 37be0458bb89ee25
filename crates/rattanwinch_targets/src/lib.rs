//! The client of the executor on a target VM.
//!
//! [`Executor`] is the interface that an agent uses: it runs plain requests, and loads, runs, stops
//! and renews the tasks of gangs. [`HttpExecutor`] implements it with the HTTP interface of
//! `docs/executor-api.md`; tests implement it with a fake.
//!
//! Admission and leases are not part of this package: the agent decides what runs.

mod executor;
mod http_executor;
mod task;
mod wire;

pub use executor::Executor;
pub use executor::Result;
pub use http_executor::HttpExecutor;
pub use task::TaskOrder;
pub use task::TaskReport;
pub use task::TaskState;
pub use wire::WireRequest;
pub use wire::WireResponse;
pub use wire::WireTaskLeaseRenewal;
pub use wire::WireTaskList;
pub use wire::WireTaskOrder;
pub use wire::WireTaskReport;
pub use wire::WireTaskStop;
