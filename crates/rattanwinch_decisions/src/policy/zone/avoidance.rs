//! Retries go to other workers than those the job failed on.

use rattanwinch_types::JobSpec;

use crate::policy::placement::Pricing;
use crate::policy::placement::Wanted;
use crate::policy::placement::solver;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Prices of the usable workers except some, as if nothing ran there.
struct Without<'a> {
    avoided: &'a [WorkerId],
}

impl Pricing for Without<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            0
        } else {
            worker.usable()
        }
    }

    fn cost(&self, _worker: &Worker, _bits: u8) -> u64 {
        0
    }
}

impl ZonePolicy {
    /// The workers that the job failed on. None if the job can't run without them: a gang that
    /// needs most of a rack would wait for ever at the head of the queue and hold up all others.
    pub(super) fn avoided_workers(&self, spec: &JobSpec) -> Vec<WorkerId> {
        let Some(history) = self.histories.get(&spec.key) else {
            return Vec::new();
        };
        let failed_on = history.failed_on.iter();
        let avoided: Vec<WorkerId> = failed_on
            .filter_map(|target| self.pool.find(target))
            .collect();
        let wanted = Wanted::of_shape(spec.shape);
        let pricing = Without { avoided: &avoided };
        if avoided.is_empty() || solver::solve(&self.pool, wanted, &pricing).is_some() {
            return avoided;
        }
        Vec::new()
    }
}
