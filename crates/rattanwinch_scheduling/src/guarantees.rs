use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanwinch_types::Organisation;

use crate::JobId;
use crate::Scheduler;
use crate::job::Job;

impl Scheduler {
    /// Returns the open urgent jobs that are covered by their organisation's guarantee.
    ///
    /// Jobs are covered in the order of their acceptance, so that a job that exceeds the guarantee
    /// takes no coverage from those before it.
    pub(crate) fn guaranteed_jobs(&self) -> BTreeSet<JobId> {
        let mut urgent: Vec<&Job> = self
            .open_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.rules.priority == 0)
            .collect();
        urgent.sort_by_key(|job| (job.accepted.accepted_at, job.id()));
        let mut uncovered: BTreeMap<&Organisation, u64> = self
            .rules
            .guarantees
            .iter()
            .map(|(organisation, &accelerators)| (organisation, accelerators))
            .collect();
        let mut guaranteed = BTreeSet::new();
        for job in urgent {
            let required = job.accepted.description.max_step_accelerators();
            if let Some(uncovered) = uncovered.get_mut(&job.accepted.organisation)
                && let Some(rest) = uncovered.checked_sub(required)
            {
                *uncovered = rest;
                guaranteed.insert(job.id().clone());
            }
        }
        guaranteed
    }
}
