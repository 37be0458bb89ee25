//! The stand-in for an executor.

mod standin_executor;
mod standin_tasks;
mod task_routes;
mod work_order;

pub use standin_executor::StandinExecutor;
pub use standin_tasks::Refusal;
pub use standin_tasks::Result;
pub use standin_tasks::StandinTasks;
pub use work_order::WorkOrder;
