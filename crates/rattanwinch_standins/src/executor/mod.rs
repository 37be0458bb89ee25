//! The stand-in for an executor.

mod standin_executor;
mod standin_tasks;
mod task_routes;
mod task_run;
mod work_order;

pub use standin_executor::StandinExecutor;
pub use standin_tasks::Result;
pub use standin_tasks::StandinTasks;
pub use standin_tasks::TaskError;
pub use task_run::TaskRun;
pub use work_order::WorkOrder;
