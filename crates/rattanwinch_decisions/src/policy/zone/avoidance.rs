//! Avoidance of workers on which earlier attempts of a job failed.

use rattanwinch_types::JobSpec;

use crate::policy::placement::CostModel;
use crate::policy::placement::PlacementRequest;
use crate::policy::placement::solver;
use crate::policy::workers::Worker;
use crate::policy::workers::WorkerId;
use crate::policy::zone::zone_policy::ZonePolicy;

/// Zero cost on usable workers other than the avoided ones, regardless of what runs there.
struct AvoidedWorkersCost<'a> {
    avoided: &'a [WorkerId],
}

impl CostModel for AvoidedWorkersCost<'_> {
    fn allowed(&self, id: WorkerId, worker: &Worker) -> u8 {
        if self.avoided.contains(&id) {
            0
        } else {
            worker.usable_accelerators()
        }
    }

    fn cost(&self, _worker: &Worker, _bits: u8) -> u64 {
        0
    }
}

impl ZonePolicy {
    /// Workers that the job failed on, or none if the job doesn't fit without them. A gang that
    /// needs most of a rack would otherwise stay at the head of the queue forever and block all
    /// other jobs.
    pub(super) fn avoided_workers(&self, spec: &JobSpec) -> Vec<WorkerId> {
        let Some(history) = self.histories.get(&spec.key) else {
            return Vec::new();
        };
        let failed_on = history.failed_on.iter();
        let avoided: Vec<WorkerId> = failed_on
            .filter_map(|target| self.pool.find(target))
            .collect();
        let request = PlacementRequest::for_gang(spec.shape);
        let cost_model = AvoidedWorkersCost { avoided: &avoided };
        if avoided.is_empty() || solver::solve(&self.pool, request, &cost_model).is_some() {
            return avoided;
        }
        Vec::new()
    }
}
