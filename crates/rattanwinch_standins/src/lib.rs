//! Stand-ins for what lies outside rattanwinch, for tests, measurements and the demonstration.
//!
//! [`StandinExecutor`] behaves as an executor on a target VM: it has slots for plain requests and
//! accelerators for gang tasks, records what it starts, and can be told to fail or to be slow. Nothing here ships; no package that ships depends on it.

mod executor;

pub use executor::Refusal;
pub use executor::Result;
pub use executor::StandinExecutor;
pub use executor::StandinTasks;
pub use executor::WorkOrder;
