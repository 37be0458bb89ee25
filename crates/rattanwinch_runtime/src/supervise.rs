use std::time::Duration;

use slog::Logger;
use slog::error;

/// Delay before a task that has panicked starts again, so that a lasting fault can't use up the
/// processor.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a long-lived task, and starts it again if it panics.
///
/// Without this, the rest of the process would go on without the task, and look healthy.
/// Cancelling the returned future cancels the task.
pub async fn supervise<F, Fut>(log: Logger, task: &'static str, mut start: F)
where
    F: FnMut() -> Fut + Send,
    Fut: Future<Output = ()> + Send + 'static,
{
    loop {
        let mut running = tokio::task::JoinSet::new();
        running.spawn(start());
        match running.join_next().await {
            Some(Err(failure)) if failure.is_panic() => {
                metrics::counter!("rattanwinch_task_panics_total", "task" => task).increment(1);
                error!(log, "task panicked; it is started again"; "task" => task,
                    "error" => %failure);
                tokio::time::sleep(RESTART_DELAY).await;
            }
            _ => return,
        }
    }
}
