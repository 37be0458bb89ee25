//! Which serving tasks may be made unavailable.

use std::collections::BTreeSet;

use rattanwinch_types::TargetName;

use crate::RunId;
use crate::Scheduler;
use crate::StepId;
use crate::TaskId;
use crate::active_runs::ActiveRun;

impl Scheduler {
    /// Stops the runs on the target, except where a step allows no more unavailable tasks.
    pub fn evict_target(&mut self, target: &TargetName) {
        let here = self.active.on_target(target);
        let runs: Vec<RunId> = here.map(|(run, _)| run.clone()).collect();
        for run in runs {
            if self.may_evict(&run) {
                self.active.stop(&run);
            }
        }
    }

    /// Returns true if the run's step allows one more of its tasks to be unavailable.
    fn may_evict(&self, run: &RunId) -> bool {
        let available = self.active.get(run).is_some_and(ActiveRun::is_available);
        !available
            || self
                .allowed_evictions(&run.task.step)
                .is_none_or(|left| left > 0)
    }

    /// Returns how many more tasks of a step may be made unavailable; `None` if that isn't limited.
    pub(crate) fn allowed_evictions(&self, step: &StepId) -> Option<usize> {
        let job = self.jobs.get(&step.job)?;
        let max_unavailable = job.step(step.step)?.max_unavailable?;
        let runs = self.active.of_step(step);
        let runs = runs.filter(|(_, active)| active.is_available());
        let available: BTreeSet<&TaskId> = runs.map(|(run, _)| &run.task).collect();
        let unavailable = job.step_tasks(step).count().saturating_sub(available.len());
        Some((max_unavailable as usize).saturating_sub(unavailable))
    }
}
