//! The steps that wait, in the order in which they may start.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;
use smallvec::smallvec;

use crate::Scheduler;
use crate::StepDescription;
use crate::StepId;
use crate::TaskId;
use crate::job::Job;
use crate::lateness::Lateness;
use crate::placement::Demand;
use crate::scheduler::occupied;

/// A step with waiting tasks.
pub(crate) struct Waiting {
    pub step: StepId,
    pub described: StepDescription,
    pub indices: SmallVec<[u32; 8]>,
    pub priority: u32,
    pub lateness: Lateness,
    pub accepted_at: Timestamp,
    pub organisation: Organisation,
    pub waited: Duration,
    /// The organisation's guarantee covers it.
    pub guaranteed: bool,
}

/// The tasks of a job whose turn has come, in groups that are placed alike: those of one step,
/// but each that has failed by itself, since it avoids targets that the others needn't.
fn ready_tasks(job: &Job, wall: Timestamp) -> Vec<(StepId, SmallVec<[u32; 8]>)> {
    let mut groups = Vec::new();
    for step in job.ready_steps(wall) {
        let waiting = job.waiting(&step);
        if job.step(step.step).is_some_and(|described| described.gang) {
            groups.push((step, waiting));
            continue;
        }
        let has_failed = |index: &u32| {
            let task = TaskId {
                step: step.clone(),
                index: *index,
            };
            !job.failed_on(&task).is_empty()
        };
        let (failed, fresh): (SmallVec<[u32; 8]>, SmallVec<[u32; 8]>) =
            waiting.into_iter().partition(has_failed);
        for index in failed {
            groups.push((step.clone(), smallvec![index]));
        }
        if !fresh.is_empty() {
            groups.push((step, fresh));
        }
    }
    groups
}

impl Scheduler {
    pub(crate) fn waiting_steps(&mut self, now: Timestamp, wall: Timestamp) -> Vec<Waiting> {
        let mut all = Vec::new();
        let mut ready = BTreeSet::new();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            for (step, indices) in ready_tasks(job, wall) {
                let Some(described) = job.step(step.step) else {
                    continue;
                };
                let since = *self.ready_since.entry(step.clone()).or_insert(now);
                ready.insert(step.clone());
                let organisation = &job.accepted.organisation;
                all.push(Waiting {
                    guaranteed: job.rules.priority == 0 && self.within_guarantee(organisation),
                    described: described.clone(),
                    indices,
                    priority: job.rules.priority,
                    lateness: Lateness::of(job, &step, wall),
                    accepted_at: job.accepted.accepted_at,
                    organisation: organisation.clone(),
                    waited: now.since(since),
                    step,
                });
            }
        }
        self.ready_since.retain(|step, _| ready.contains(step));
        self.advice.retain(|step| ready.contains(step));
        all.sort_by(|a, b| {
            // A step within a guarantee would displace one beyond it, so it comes first.
            let key = |w: &Waiting| (w.priority, !w.guaranteed, w.lateness, w.accepted_at);
            key(a).cmp(&key(b)).then_with(|| a.step.cmp(&b.step))
        });
        all
    }

    pub(crate) fn demand(&self, waiting: &Waiting) -> Demand {
        let patience = if waiting.priority == 0 {
            self.limits.urgent_locality_wait
        } else {
            waiting.described.estimated_run_time
        };
        Demand {
            resources: occupied(&waiting.described),
            count: waiting.indices.len(),
            gang: waiting.described.gang,
            same_rack: waiting.described.same_rack,
            data_rack: waiting.described.data_rack.clone(),
            any_rack: waiting.waited >= patience,
        }
    }

    /// True if all urgent jobs of the organisation together need no more than its guarantee.
    pub(crate) fn within_guarantee(&self, organisation: &Organisation) -> bool {
        let Some(&guarantee) = self.rules.guarantees.get(organisation) else {
            return false;
        };
        let urgent = self.open.iter().filter_map(|id| self.jobs.get(id));
        let urgent = urgent
            .filter(|job| job.rules.priority == 0 && job.accepted.organisation == *organisation);
        let needed: u64 = urgent
            .map(|job| job.accepted.description.max_step_accelerators())
            .sum();
        needed <= guarantee
    }
}
