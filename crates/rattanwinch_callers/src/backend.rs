use std::time::Duration;

use rattanwinch_types::Answer;
use rattanwinch_types::Explanation;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobStatus;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;

/// The result of a caller's request; the error says whether the request may have run.
pub type Result<T> = std::result::Result<T, RequestError>;

/// Runs plain requests for the HTTP routes; implemented by an entry.
pub trait PlainBackend: Send + Sync + 'static {
    /// Runs a request and returns the complete answer.
    fn run(&self, req: PlainRequest) -> impl Future<Output = Result<Answer>> + Send;
}

/// Manages gang jobs for the HTTP routes; implemented by an entry.
pub trait JobBackend: Send + Sync + 'static {
    /// Records a job and queues it; a repeated submission returns the status of the first.
    fn submit(&self, job: JobSpec) -> impl Future<Output = Result<JobStatus>> + Send;

    /// Returns a job's status, at once or when it has finished, at most `wait` later.
    fn status(
        &self,
        key: RequestKey,
        wait: Duration,
    ) -> impl Future<Output = Result<JobStatus>> + Send;

    /// Cancels a job and returns its status afterwards.
    fn cancel(&self, key: RequestKey) -> impl Future<Output = Result<JobStatus>> + Send;

    /// Returns the decisions about a job, oldest first.
    fn explain(&self, key: RequestKey) -> impl Future<Output = Result<Vec<Explanation>>> + Send;
}
