use std::fmt::Debug;
use std::sync::Arc;

use rattanwinch_decisions::Decision;
use rattanwinch_decisions::JobEnd;
use rattanwinch_decisions::WorkerInfo;
use rattanwinch_types::GuaranteeStatus;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

/// What the driver asks of the scheduler of one availability zone.
pub(crate) trait ZoneScheduler: Debug {
    /// A worker came up.
    fn worker_up(&mut self, worker: WorkerInfo, now: Timestamp);

    /// A worker went down; the ends of its jobs are reported separately.
    fn worker_down(&mut self, target: &TargetName, now: Timestamp);

    /// A worker's agent restarts; its tasks go on, and nothing is placed there.
    fn worker_silent(&mut self, target: &TargetName, now: Timestamp);

    /// Operators closed or opened the zone.
    fn set_closed(&mut self, closed: bool, now: Timestamp);

    /// Takes a job into the queue.
    fn submit(&mut self, job: JobSpec, now: Timestamp) -> Result<(), RequestError>;

    /// Takes a queued job out of the queue.
    fn cancel(&mut self, key: &RequestKey, now: Timestamp);

    /// The tasks of a started job run.
    fn started(&mut self, key: &RequestKey, now: Timestamp);

    /// A started job ended.
    fn ended(&mut self, key: &RequestKey, end: JobEnd, now: Timestamp);

    /// Decides what to start, evict and refuse.
    fn decide(&mut self, now: Timestamp) -> Vec<Decision>;

    /// When to decide again if nothing happens.
    fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp>;

    /// What a queued job waits for, if the scheduler can say so.
    fn wait_reason(&self, _key: &RequestKey) -> Option<Arc<str>> {
        None
    }

    /// How the organisation's guarantee stands, if the scheduler knows guarantees.
    fn guarantee_status(&self, _owner: &Organisation) -> Option<GuaranteeStatus> {
        None
    }

    /// How many invariants were found broken.
    fn violations(&self) -> u64;
}
