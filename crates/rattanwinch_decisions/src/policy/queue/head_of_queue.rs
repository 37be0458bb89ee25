use std::collections::BTreeSet;

use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use crate::policy::workers::JobId;
use crate::policy::workers::Occupant;
use crate::policy::workers::Slots;

/// The job at the head of the queue and what is kept for it.
#[derive(Clone, Debug)]
pub(crate) struct HeadOfQueue {
    /// The job.
    pub job: JobId,
    /// Its key.
    pub key: RequestKey,
    /// The accelerators that are kept.
    pub slots: Slots,
    /// The borrowers that were let in. They are listed, because a time doesn't tell them from
    /// jobs that started in the decision that made this job the head.
    pub let_in: BTreeSet<JobId>,
    /// When the accelerators are expected to be free of the jobs that were not let in.
    pub free_at: Timestamp,
    /// When others were last considered.
    pub looked_at: Timestamp,
}

impl HeadOfQueue {
    /// The same job with other accelerators, whose jobs are about to be evicted.
    pub(crate) fn moved(self, slots: Slots, now: Timestamp) -> Self {
        Self {
            slots,
            let_in: BTreeSet::new(),
            free_at: now,
            looked_at: now,
            ..self
        }
    }

    /// Whether the occupant was let in while the accelerators are kept.
    pub(crate) fn has_let_in(&self, job: &Occupant) -> bool {
        self.let_in.contains(&job.job)
    }
}
