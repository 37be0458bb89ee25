use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

/// How long a job's history is kept after its last change: the lifetime of a job's record.
const HISTORY_KEPT: Duration = Duration::from_secs(86_400);

/// A purge reads all histories, and one that stays an hour longer does no harm.
const PURGE_EVERY: Duration = Duration::from_secs(3600);

/// The number of different workers on which a job has to fail to be quarantined.
pub(crate) const JOB_FAILURES: usize = 3;

/// What is remembered of a job between its submissions.
#[derive(Clone, Debug)]
pub(crate) struct JobHistory {
    /// When its wait began, if it was evicted or lost a worker and keeps its turn.
    pub queued_at: Option<Timestamp>,
    /// The different workers it failed on, oldest first.
    pub failed_on: SmallVec<[TargetName; 3]>,
    /// Whether it ever ran.
    pub has_run: bool,
    /// Whether it was evicted for the head of the queue after it had been let in.
    pub was_let_in: bool,
    /// Whether it was evicted to be moved within the zone, which happens once at most.
    pub was_moved: bool,
    changed_at: Timestamp,
}

/// The histories of jobs that may be submitted again.
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
            was_let_in: false,
            was_moved: false,
            changed_at: Timestamp::ZERO,
        }
    }
}

impl JobHistories {
    pub(crate) fn get(&self, key: &RequestKey) -> Option<&JobHistory> {
        self.by_key.get(key)
    }

    pub(crate) fn change(&mut self, key: &RequestKey, now: Timestamp) -> &mut JobHistory {
        let history = self.by_key.entry(key.clone()).or_default();
        history.changed_at = now;
        history
    }

    pub(crate) fn forget(&mut self, key: &RequestKey) {
        self.by_key.remove(key);
    }

    /// Takes the worker off all lists of failures: it was at fault, not the jobs.
    pub(crate) fn acquit(&mut self, target: &TargetName) {
        for history in self.by_key.values_mut() {
            history.failed_on.retain(|failed| failed != target);
        }
    }

    /// Forgets old histories.
    pub(crate) fn purge(&mut self, now: Timestamp) {
        let is_early = |at| now.since(at) < PURGE_EVERY;
        if self.purged_at.is_some_and(is_early) {
            return;
        }
        self.purged_at = Some(now);
        self.by_key
            .retain(|_, history| now.since(history.changed_at) < HISTORY_KEPT);
    }
}
