use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::Scheduler;
use crate::active_run::Intent;

impl Scheduler {
    /// Stops runs that a target has taken and doesn't work on.
    pub(crate) fn stop_stalled(&mut self, now: Timestamp) {
        let stall = self.limits.stall_timeout;
        let stalled: Vec<_> = self
            .active
            .iter()
            .filter(|(run, active)| {
                active.started
                    && active.intent == Intent::Run
                    && active.percent < 100
                    && now.since(active.progressed_at) > stall
                    && self.is_fresh(&active.target.target, now)
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
            let step = run.task.step.clone();
            let gang = self.step(&step).is_some_and(|described| described.gang);
            self.stop_runs(|other| {
                *other == run || (gang && other.task.step == step && other.number == run.number)
            });
            self.quarantine(&target, now);
            self.note(Event::Stalled { run, target });
        }
    }

    fn is_fresh(&self, target: &TargetName, now: Timestamp) -> bool {
        let target = self.target(target);
        target.is_some_and(|target| now.since(target.heard_at) <= self.limits.max_report_age)
    }
}
