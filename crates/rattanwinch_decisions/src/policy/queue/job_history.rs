use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

/// How long a job's history is kept after its last change: the lifetime of a job record.
const HISTORY_RETENTION: Duration = Duration::from_secs(86_400);

/// Interval between purges. A purge reads all histories, and keeping one an hour longer is
/// harmless.
const PURGE_INTERVAL: Duration = Duration::from_secs(3600);

/// Number of different workers on which a job has to fail before it is refused.
pub(crate) const FAILED_WORKERS_TO_REFUSE_JOB: usize = 3;

/// State of a job that is kept between its submissions.
#[derive(Clone, Debug)]
pub(crate) struct JobHistory {
    /// When the job was first queued, if it was evicted or lost a worker and keeps its queue
    /// position.
    pub queued_at: Option<Timestamp>,
    /// Different workers that the job failed on, oldest first.
    pub failed_on: SmallVec<[TargetName; 3]>,
    /// Whether the job has ever run.
    pub has_run: bool,
    /// Whether the job was evicted for the head of the queue after it had been backfilled.
    pub was_backfilled: bool,
    /// Whether the job was evicted for relocation within the zone, which happens at most once.
    pub was_relocated: bool,
    changed_at: Timestamp,
}

/// Histories of jobs that may be submitted again.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobHistories {
    by_key: BTreeMap<RequestKey, JobHistory>,
    purged_at: Option<Timestamp>,
}

impl Default for JobHistory {
    fn default() -> Self {
        Self {
            queued_at: None,
            failed_on: SmallVec::new(),
            has_run: false,
            was_backfilled: false,
            was_relocated: false,
            changed_at: Timestamp::ZERO,
        }
    }
}

impl JobHistories {
    pub(crate) fn get(&self, key: &RequestKey) -> Option<&JobHistory> {
        self.by_key.get(key)
    }

    pub(crate) fn update(&mut self, key: &RequestKey, now: Timestamp) -> &mut JobHistory {
        let history = self.by_key.entry(key.clone()).or_default();
        history.changed_at = now;
        history
    }

    pub(crate) fn remove(&mut self, key: &RequestKey) {
        self.by_key.remove(key);
    }

    /// Removes the worker from the failure lists of all jobs, because the worker was the cause.
    pub(crate) fn clear_failures_on(&mut self, target: &TargetName) {
        for history in self.by_key.values_mut() {
            history.failed_on.retain(|failed| failed != target);
        }
    }

    /// Removes expired histories.
    pub(crate) fn purge(&mut self, now: Timestamp) {
        let is_too_early = |at| now.since(at) < PURGE_INTERVAL;
        if self.purged_at.is_some_and(is_too_early) {
            return;
        }
        self.purged_at = Some(now);
        self.by_key
            .retain(|_, history| now.since(history.changed_at) < HISTORY_RETENTION);
    }
}
