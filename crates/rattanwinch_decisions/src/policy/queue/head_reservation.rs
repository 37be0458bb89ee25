use std::collections::BTreeSet;

use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::policy::workers::JobId;
use crate::policy::workers::Occupant;
use crate::policy::workers::Slots;

/// The job at the head of the queue and the accelerators reserved for it.
#[derive(Clone, Debug)]
pub(crate) struct HeadReservation {
    /// The job.
    pub job: JobId,
    /// Its key.
    pub key: RequestKey,
    /// The reserved accelerators.
    pub slots: Slots,
    /// Jobs that were backfilled onto the reserved accelerators. They are listed explicitly,
    /// because their start time doesn't distinguish them from jobs that started in the decision
    /// that made this job the head.
    pub backfilled: BTreeSet<JobId>,
    /// When the accelerators are expected to be free of jobs that were not backfilled.
    pub expected_free_at: Timestamp,
    /// When other accelerators were last considered.
    pub reviewed_at: Timestamp,
}

impl HeadReservation {
    /// Replaces the accelerators by ones whose jobs are about to be evicted.
    pub(crate) fn with_slots(self, slots: Slots, now: Timestamp) -> Self {
        Self {
            slots,
            backfilled: BTreeSet::new(),
            expected_free_at: now,
            reviewed_at: now,
            ..self
        }
    }

    /// Whether the occupant was backfilled onto the reserved accelerators.
    pub(crate) fn is_backfilled(&self, job: &Occupant) -> bool {
        self.backfilled.contains(&job.job)
    }
}
