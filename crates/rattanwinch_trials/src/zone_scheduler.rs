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

/// The scheduler of one availability zone, as used by the driver.
pub(crate) trait ZoneScheduler: Debug {
    /// Handles a worker that has come up.
    fn worker_up(&mut self, worker: WorkerInfo, now: Timestamp);

    /// Handles a worker that has gone down; the ends of its jobs are reported separately.
    fn worker_down(&mut self, target: &TargetName, now: Timestamp);

    /// Handles a worker whose agent restarts; its tasks continue, and none is placed there.
    fn worker_unresponsive(&mut self, target: &TargetName, now: Timestamp);

    /// Handles the closing or reopening of the zone by operators.
    fn set_closed(&mut self, closed: bool, now: Timestamp);

    /// Adds a job to the queue.
    fn submit(&mut self, job: JobSpec, now: Timestamp) -> Result<(), RequestError>;

    /// Removes a job from the queue.
    fn cancel(&mut self, key: &RequestKey, now: Timestamp);

    /// Handles a started job whose tasks run.
    fn started(&mut self, key: &RequestKey, now: Timestamp);

    /// Handles the end of a started job.
    fn ended(&mut self, key: &RequestKey, end: JobEnd, now: Timestamp);

    /// Returns decisions to start, evict and refuse jobs.
    fn decide(&mut self, now: Timestamp) -> Vec<Decision>;

    /// Returns when to decide again if no event happens before.
    fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp>;

    /// Returns what a queued job waits for, if the scheduler knows.
    fn wait_reason(&self, _key: &RequestKey) -> Option<Arc<str>> {
        None
    }

    /// Returns the use of the organisation's guarantee, if the scheduler supports guarantees.
    fn guarantee_status(&self, _owner: &Organisation) -> Option<GuaranteeStatus> {
        None
    }

    /// Returns the number of invariant violations.
    fn violations(&self) -> u64;
}
