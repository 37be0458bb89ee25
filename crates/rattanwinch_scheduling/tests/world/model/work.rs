use std::time::Duration;

use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepId;
use rattanwinch_scheduling::TaskId;

use super::GANG_TIMEOUT;
use super::Simulation;
use super::TARGETS;
use crate::target::ModelRun;

impl Simulation {
    /// Advances the work on all targets, and ends the runs that are complete.
    pub(super) fn work(&mut self) {
        for vm in 0..TARGETS {
            self.targets[vm].update_lease(self.now);
        }
        self.begin_gangs();
        self.end_broken_gangs();
        for vm in 0..TARGETS {
            let finished: Vec<_> = self.targets[vm]
                .running
                .iter()
                .filter(|(_, run)| {
                    run.work_began_at
                        .is_some_and(|at| self.now.since(at) >= run.work)
                })
                .map(|(task, run)| (task.clone(), run.clone()))
                .collect();
            for (task, run) in finished {
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
            .map(|target| target.count_members(step, number))
            .sum()
    }

    fn begin_gangs(&mut self) {
        for vm in 0..TARGETS {
            let waiting: Vec<_> = self.targets[vm]
                .running
                .iter()
                .filter(|(_, run)| run.work_began_at.is_none())
                .map(|(task, run)| (task.clone(), run.clone()))
                .collect();
            for (task, run) in waiting {
                let started_members = self.members(&task.step, run.number);
                if started_members == self.step(&task.step).count as usize {
                    self.begin_gang(&task.step, run.number, run.work);
                } else if self.now.since(run.started_at) > GANG_TIMEOUT {
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
                run.work_began_at = Some(self.now);
                run.work = work;
            }
        }
    }

    /// Ends the remaining members of gangs that have lost a member.
    fn end_broken_gangs(&mut self) {
        for vm in 0..TARGETS {
            let begun: Vec<_> = self.targets[vm]
                .running
                .iter()
                .filter(|(_, run)| run.work_began_at.is_some())
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
        let other_outcome = if outcome == RunOutcome::Done {
            RunOutcome::Done
        } else {
            RunOutcome::Broken
        };
        for target in &mut self.targets {
            let members: Vec<_> = target
                .running
                .iter()
                .filter(|(other, member_run)| {
                    other.step == task.step && member_run.number == run.number
                })
                .map(|(other, _)| other.clone())
                .collect();
            for member in members {
                let member_outcome = if member == *task {
                    outcome
                } else {
                    other_outcome
                };
                target.end(&member, member_outcome, self.now);
            }
        }
    }
}
