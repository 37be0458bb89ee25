//! The client of the executor on a target VM.
//!
//! [`Executor`] is what an agent needs of an executor: to run plain requests and to load, run,
//! stop and renew the tasks of gangs. [`HttpExecutor`] speaks the HTTP interface of
//! `docs/executor-api.md`; tests put a fake behind the trait.
//!
//! This package isn't for admission or leases: the agent decides what runs.

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
