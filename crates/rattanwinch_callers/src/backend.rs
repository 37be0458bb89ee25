use std::time::Duration;

use rattanwinch_types::Answer;
use rattanwinch_types::Explanation;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobStatus;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;

/// What a caller gets: a value, or an error that says whether the request may have run.
pub type Result<T> = std::result::Result<T, RequestError>;

/// What an entry does with plain requests.
pub trait PlainBackend: Send + Sync + 'static {
    /// Runs a request and returns the whole answer.
    fn run(&self, req: PlainRequest) -> impl Future<Output = Result<Answer>> + Send;
}

/// What an entry does with gang jobs.
pub trait JobBackend: Send + Sync + 'static {
    /// Records a job and queues it; a repeated submission answers the status of the first.
    fn submit(&self, job: JobSpec) -> impl Future<Output = Result<JobStatus>> + Send;

    /// Answers a job's status, at once or when it has finished, at most `wait` later.
    fn status(
        &self,
        key: RequestKey,
        wait: Duration,
    ) -> impl Future<Output = Result<JobStatus>> + Send;

    /// Cancels a job and answers its status after that.
    fn cancel(&self, key: RequestKey) -> impl Future<Output = Result<JobStatus>> + Send;

    /// Answers the decisions about a job, oldest first.
    fn explain(&self, key: RequestKey) -> impl Future<Output = Result<Vec<Explanation>>> + Send;
}
