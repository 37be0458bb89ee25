use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;

use crate::TaskOrder;
use crate::TaskReport;

/// The result of a call to an executor; the error says whether the request or task may have run.
pub type Result<T> = std::result::Result<T, RequestError>;

/// The interface of an agent to the executor on the same VM.
pub trait Executor: Send + Sync + 'static {
    /// Runs one attempt at a plain request and returns its complete answer; takes at most `limit`.
    ///
    /// The executor refuses to start the attempt at or after `start_before`, in Unix time: the
    /// agent may be frozen between its decision and this call, and its decision is valid only until
    /// then.
    fn run_request(
        &self,
        attempt: &AttemptKey,
        payload: &Arc<str>,
        limit: Duration,
        start_before: Timestamp,
    ) -> impl Future<Output = Result<Answer>> + Send;

    /// Loads a task without running it; the executor drops the task when its lease expires.
    fn load_task(&self, order: &TaskOrder) -> impl Future<Output = Result<()>> + Send;

    /// Runs a loaded task.
    fn run_task(&self, member: &MemberKey) -> impl Future<Output = Result<()>> + Send;

    /// Throttles, checkpoints or stops a task.
    fn stop_task(
        &self,
        member: &MemberKey,
        mode: StopMode,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Extends the leases of the given tasks to `lease` from now.
    fn renew_task_leases(
        &self,
        members: &[MemberKey],
        lease: Duration,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Lists all tasks that the executor has, including ended ones that were not deleted.
    fn list_tasks(&self) -> impl Future<Output = Result<Vec<TaskReport>>> + Send;

    /// Returns the complete output of a task that succeeded.
    fn task_output(&self, member: &MemberKey) -> impl Future<Output = Result<Answer>> + Send;

    /// Deletes the executor's record of a task that has ended.
    fn delete_task(&self, member: &MemberKey) -> impl Future<Output = Result<()>> + Send;
}
