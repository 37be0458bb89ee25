//! The stand-in for an executor.

mod standin_executor;
mod work_order;

pub use standin_executor::StandinExecutor;
pub use work_order::WorkOrder;
