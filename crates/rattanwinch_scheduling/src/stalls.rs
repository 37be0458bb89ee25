use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::RunId;
use crate::Scheduler;
use crate::active_runs::ActiveRun;
use crate::active_runs::DesiredState;
use crate::run_lists::Presence;

/// The part of its estimated run time in which a run makes a per cent of progress at least. By the
/// users' requirements a task takes up to ten times as long as estimated, a tenth for a per cent.
const ESTIMATE_DIVISOR: u32 = 8;

impl Scheduler {
    /// Stops runs that are listed without progress, and quarantines their targets.
    pub(crate) fn stop_stalled_runs(&mut self, now: Timestamp) {
        let stalled: Vec<_> = self
            .active
            .iter()
            .filter(|(run, active)| {
                active.presence == Presence::Running
                    && active.desired() == DesiredState::Run
                    && active.percent < 100
                    && self.observed_time(active, now) > self.limits.stall_timeout
                    && self
                        .stall_timeout(run, &active.target.target)
                        .is_some_and(|timeout| self.observed_time(active, now) > timeout)
            })
            .map(|(run, active)| (run.clone(), active.target.target.clone()))
            .collect();
        for (run, target) in stalled {
            if let Some(job) = self.jobs.get_mut(&run.task.step.job) {
                if let Some(task) = job.task_mut(&run.task) {
                    task.stalls = task.stalls.saturating_add(1);
                }
                job.avoid_target(&run.task, &target);
            }
            self.stop_with_gang(&run);
            self.quarantine(&target, now);
            self.record_event(Event::Stalled { run, target });
        }
    }

    /// Returns how long a run may show no progress, which is listed in whole per cent; `None` for a
    /// run that lasts. A run on a slow target, or of a step that is known to be long, has more. The
    /// time doubles with each stop for it, so that a task that is slower than all that is known of
    /// it gets its time after a few.
    fn stall_timeout(&self, run: &RunId, target: &TargetName) -> Option<Duration> {
        let job = self.jobs.get(&run.task.step.job)?;
        let step = job.step(run.task.step.step)?;
        if step.long_running {
            return None;
        }
        let run_time = self.cautious_run_time(job, &run.task.step);
        let run_time = self.speeds.speed(target).run_time(run_time);
        let run_time = run_time.max(step.estimated_run_time);
        let timeout = self.limits.stall_timeout.max(run_time / ESTIMATE_DIVISOR);
        let stalls = job.task(&run.task).map_or(0, |task| task.stalls);
        Some(timeout.saturating_mul(2_u32.saturating_pow(stalls)))
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
