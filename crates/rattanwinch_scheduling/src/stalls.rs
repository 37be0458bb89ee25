use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::Event;
use crate::Scheduler;
use crate::active_run::ActiveRun;
use crate::active_run::DesiredState;
use crate::run_lists::Presence;

impl Scheduler {
    /// Stops runs that are listed without progress, and quarantines their targets.
    pub(crate) fn stop_stalled_runs(&mut self, now: Timestamp) {
        let stall = self.limits.stall_timeout;
        let stalled: Vec<_> = self
            .active
            .iter()
            .filter(|(run, active)| {
                active.presence == Presence::Running
                    && active.desired == DesiredState::Run
                    && active.percent < 100
                    && self.observed_time(active, now) > stall
                    && self
                        .step(&run.task.step)
                        .is_some_and(|step| !step.long_running)
            })
            .map(|(run, active)| (run.clone(), active.target.target.clone()))
            .collect();
        for (run, target) in stalled {
            if let Some(job) = self.jobs.get_mut(&run.task.step.job)
                && let Some(task) = job.task_mut(&run.task)
                && !task.failed_on.contains(&target)
            {
                task.failed_on.push(target.clone());
            }
            self.stop_with_gang(&run);
            self.quarantine(&target, now);
            self.record_event(Event::Stalled { run, target });
        }
    }

    /// Returns for how long the lists of the run's target have shown no progress. Time in which the
    /// target made no lists does not count, since the run may have worked.
    fn observed_time(&self, active: &ActiveRun, now: Timestamp) -> Duration {
        let target = self.target(&active.target.target);
        let target =
            target.filter(|target| now.since(target.last_report_at) <= self.limits.max_report_age);
        target.map_or(Duration::ZERO, |target| {
            target.lists.1.since(active.progressed_at)
        })
    }
}
