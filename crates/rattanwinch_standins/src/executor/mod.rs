//! The stand-in executor.

mod simulated_work;
mod standin_executor;
mod standin_tasks;
mod task_routes;
mod task_run;

pub use simulated_work::SimulatedWork;
pub use standin_executor::StandinExecutor;
pub use standin_tasks::Result;
pub use standin_tasks::StandinTasks;
pub use standin_tasks::TaskError;
pub use task_run::TaskRun;
