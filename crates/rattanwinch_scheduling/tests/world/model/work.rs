use std::time::Duration;

use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepId;
use rattanwinch_scheduling::TaskId;

use super::GANG_TIMEOUT;
use super::TARGETS;
use super::World;
use crate::target::ModelRun;

impl World {
    /// Lets the targets work, and ends what is over.
    pub(super) fn work(&mut self) {
        for vm in 0..TARGETS {
            self.targets[vm].keep_lease(self.now);
        }
        self.begin_gangs();
        self.break_gangs();
        for vm in 0..TARGETS {
            let over: Vec<_> = self.targets[vm]
                .running
                .iter()
                .filter(|(_, run)| {
                    run.begun_at
                        .is_some_and(|at| self.now.since(at) >= run.work)
                })
                .map(|(task, run)| (task.clone(), run.clone()))
                .collect();
            for (task, run) in over {
                let outcome = if run.fails {
                    RunOutcome::Failed
                } else {
                    RunOutcome::Done
                };
                if self.step(&task.step).gang {
                    self.end_gang(&task, &run, outcome);
                } else {
                    self.targets[vm].end(&task, outcome, self.now);
                }
            }
        }
    }

    fn members(&self, step: &StepId, number: u32) -> usize {
        self.targets
            .iter()
            .map(|target| target.has(step, number))
            .sum()
    }

    fn begin_gangs(&mut self) {
        for vm in 0..TARGETS {
            let waiting: Vec<_> = self.targets[vm]
                .running
                .iter()
                .filter(|(_, run)| run.begun_at.is_none())
                .map(|(task, run)| (task.clone(), run.clone()))
                .collect();
            for (task, run) in waiting {
                let complete = self.members(&task.step, run.number);
                if complete == self.step(&task.step).count as usize {
                    self.begin_gang(&task.step, run.number, run.work);
                } else if self.now.since(run.present_at) > GANG_TIMEOUT {
                    self.targets[vm].end(&task, RunOutcome::Alone, self.now);
                }
            }
        }
    }

    fn begin_gang(&mut self, step: &StepId, number: u32, work: Duration) {
        for target in &mut self.targets {
            let members = target.running.iter_mut();
            for (_, run) in members.filter(|(task, run)| task.step == *step && run.number == number)
            {
                run.begun_at = Some(self.now);
                run.work = work;
            }
        }
    }

    /// A member that is missing ends the others.
    fn break_gangs(&mut self) {
        for vm in 0..TARGETS {
            let begun: Vec<_> = self.targets[vm]
                .running
                .iter()
                .filter(|(_, run)| run.begun_at.is_some())
                .map(|(task, run)| (task.clone(), run.number))
                .collect();
            for (task, number) in begun {
                let step = self.step(&task.step);
                if step.gang && self.members(&task.step, number) < step.count as usize {
                    self.targets[vm].end(&task, RunOutcome::Broken, self.now);
                }
            }
        }
    }

    fn end_gang(&mut self, task: &TaskId, run: &ModelRun, outcome: RunOutcome) {
        let others = if outcome == RunOutcome::Done {
            RunOutcome::Done
        } else {
            RunOutcome::Broken
        };
        for target in &mut self.targets {
            let members: Vec<_> = target
                .running
                .iter()
                .filter(|(other, there)| other.step == task.step && there.number == run.number)
                .map(|(other, _)| other.clone())
                .collect();
            for member in members {
                let how = if member == *task { outcome } else { others };
                target.end(&member, how, self.now);
            }
        }
    }
}
