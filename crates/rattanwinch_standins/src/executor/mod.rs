//! The stand-in for an executor.

mod standin_executor;
mod standin_tasks;
mod task_routes;
mod work_order;

pub use standin_executor::StandinExecutor;
pub use work_order::WorkOrder;
