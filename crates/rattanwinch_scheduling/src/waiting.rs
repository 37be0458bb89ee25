//! The queue of waiting steps, in the order in which they are placed.

use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;
use smallvec::SmallVec;
use smallvec::smallvec;

use crate::JobId;
use crate::JobSteps;
use crate::Scheduler;
use crate::StepDescription;
use crate::StepId;
use crate::TaskId;
use crate::job::Job;
use crate::lateness::Lateness;
use crate::placement::Demand;
use crate::queue_order::Turn;
use crate::reclaim::TaskGroup;
use crate::scheduler::occupied_resources;
use crate::target_speeds::SpeedPreference;

/// The number of ready steps that a placement pass looks at, so that its duration is bounded whatever
/// jobs come. If more are ready, jobs with many take turns with their steps.
const MAX_STEPS_PER_PASS: usize = 1_000;

/// The number of tasks of a step that a placement pass looks at, unless they are a gang.
const MAX_TASKS_PER_STEP: usize = 1_000;

/// A step with tasks that are ready and not placed.
pub(crate) struct WaitingStep {
    pub step: StepId,
    pub group: TaskGroup,
    /// The steps of the job.
    pub steps: JobSteps,
    pub task_indices: SmallVec<[u32; 8]>,
    pub priority: u32,
    pub lateness: Lateness,
    pub accepted_at: Timestamp,
    pub organisation: Organisation,
    pub waited: Duration,
    /// The expected run time of a task on a target of the usual speed.
    pub run_time: Duration,
    /// The time until the latest start at which the job is still on time; zero if it is late, and
    /// unlimited without an objective.
    pub slack: Duration,
    /// The job is expected to end while it is of some use to its caller, if the step starts now.
    pub can_be_of_use: bool,
    /// The step is covered by its organisation's guarantee.
    pub guaranteed: bool,
    /// Its turn among the steps of its priority.
    pub turn: Turn,
    /// Only some passes look at the step, so none makes room for it.
    pub is_seen_seldom: bool,
}

value! {
    /// What a placement pass has looked at.
    #[derive(Default)]
    pub struct PassWork {
        /// The steps that could start, with one more for each failed task that is tried again.
        pub steps: usize,
        /// The job with most of them, and how many.
        pub largest_job: Option<(JobId, usize)>,
    }
}

impl PassWork {
    fn add(&mut self, job: &JobId, steps: usize) {
        self.steps += steps;
        let largest = self.largest_job.as_ref();
        if largest.map_or(0, |(_, steps)| *steps) < steps {
            self.largest_job = Some((job.clone(), steps));
        }
    }
}

impl WaitingStep {
    pub(crate) fn description(&self) -> &StepDescription {
        &self.steps[self.step.step as usize]
    }
}

/// Ready tasks of a step that are placed together.
struct ReadyGroup {
    group: TaskGroup,
    task_indices: SmallVec<[u32; 8]>,
    is_seen_seldom: bool,
}

/// Groups the ready tasks of a job for placement: by step, with each failed task on its own, since
/// it avoids the targets on which it failed.
fn ready_task_groups(job: &mut Job, max_steps: usize, wall: Timestamp) -> Vec<ReadyGroup> {
    let mut groups = Vec::new();
    let (steps, first) = job.ready_steps(max_steps, wall);
    for (number, step) in steps.into_iter().enumerate() {
        let is_seen_seldom = number >= first;
        let is_gang = job
            .step(step.step)
            .is_some_and(|description| description.gang);
        let mut fresh = SmallVec::new();
        for (index, has_failed) in job.waiting_tasks(&step, MAX_TASKS_PER_STEP) {
            if has_failed && !is_gang {
                let group = TaskGroup {
                    step: step.clone(),
                    retried_task: Some(index),
                };
                groups.push(ReadyGroup {
                    group,
                    task_indices: smallvec![index],
                    is_seen_seldom,
                });
            } else {
                fresh.push(index);
            }
        }
        if !fresh.is_empty() {
            groups.push(ReadyGroup {
                group: first_attempts(step),
                task_indices: fresh,
                is_seen_seldom,
            });
        }
    }
    groups
}

fn first_attempts(step: StepId) -> TaskGroup {
    TaskGroup {
        step,
        retried_task: None,
    }
}

/// Removes the tasks that still run somewhere; from a gang all, if any of its tasks does.
fn remove_running_tasks(
    task_indices: &mut SmallVec<[u32; 8]>,
    step: &StepId,
    gang: bool,
    running: &BTreeSet<TaskId>,
) {
    let ready = task_indices.len();
    task_indices.retain(|index| {
        let task = TaskId {
            step: step.clone(),
            index: *index,
        };
        !running.contains(&task)
    });
    if gang && task_indices.len() < ready {
        task_indices.clear();
    }
}

/// Returns true if the job is expected to end while it is of some use, if the step starts now.
fn can_be_of_use(job: &Job, step: &StepId, lateness: Lateness, wall: Timestamp) -> bool {
    match lateness {
        Lateness::OnTime(_) => true,
        Lateness::Late(useful_until) => {
            let run_time = job.accepted.description.critical_path_from(step.step);
            wall + run_time <= useful_until
        }
        Lateness::Overdue(_) => false,
    }
}

impl Scheduler {
    /// Returns the tasks of runs that targets list though they are not placed there. A further run
    /// of such a task would run beside the listed one until that has been stopped.
    fn tasks_of_unknown_runs(&self) -> BTreeSet<TaskId> {
        let targets = self.targets.values();
        let runs = targets.flat_map(|target| &target.unknown_runs);
        runs.map(|run| run.task.clone()).collect()
    }

    /// Returns how many ready steps of each job a placement pass looks at: the same number for all
    /// jobs that have more than that.
    fn max_steps_per_job(&self, wall: Timestamp) -> usize {
        let mut left = MAX_STEPS_PER_PASS;
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        let counts = jobs.map(|job| job.count_ready_steps(left + 1, wall));
        let mut counts: Vec<usize> = counts.collect();
        if counts.iter().sum::<usize>() <= left {
            return usize::MAX;
        }
        counts.sort_unstable();
        for (number, &count) in counts.iter().enumerate() {
            let share = left / (counts.len() - number);
            if count > share {
                return share.max(1);
            }
            left -= count;
        }
        usize::MAX
    }

    /// Returns the waiting steps in the order in which they are placed.
    pub(crate) fn waiting_steps(
        &mut self,
        guaranteed_jobs: &BTreeSet<JobId>,
        now: Timestamp,
        wall: Timestamp,
    ) -> Vec<WaitingStep> {
        let mut all = Vec::new();
        let mut ready = BTreeSet::new();
        let running = self.tasks_of_unknown_runs();
        let max_steps = self.max_steps_per_job(wall);
        self.last_pass = PassWork::default();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let groups = ready_task_groups(job, max_steps, wall);
            self.last_pass.add(id, groups.len());
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            for ready_group in groups {
                let ReadyGroup {
                    group,
                    mut task_indices,
                    is_seen_seldom,
                } = ready_group;
                let step = group.step.clone();
                let Some(description) = job.step(step.step) else {
                    continue;
                };
                if !running.is_empty() {
                    remove_running_tasks(&mut task_indices, &step, description.gang, &running);
                }
                if task_indices.is_empty() {
                    continue;
                }
                let since = *self.ready_since.entry(step.clone()).or_insert(now);
                ready.insert(step.clone());
                let organisation = &job.accepted.organisation;
                let lateness = Lateness::of(job, &step, &self.run_times, wall);
                all.push(WaitingStep {
                    group,
                    guaranteed: guaranteed_jobs.contains(id),
                    steps: job.accepted.description.steps.clone(),
                    task_indices,
                    priority: job.rules.priority,
                    slack: job
                        .rules
                        .objective
                        .map_or(Duration::MAX, |_| lateness.slack(wall)),
                    lateness,
                    can_be_of_use: can_be_of_use(job, &step, lateness, wall),
                    turn: Turn::of(lateness),
                    is_seen_seldom,
                    accepted_at: job.accepted.accepted_at,
                    organisation: organisation.clone(),
                    waited: now.since(since),
                    run_time: self.expected_run_time(job, &step),
                    step,
                });
            }
        }
        // Otherwise each step is forgotten once it is placed, or its job ends.
        self.takes_turns = max_steps < usize::MAX;
        if !self.takes_turns {
            self.ready_since.retain(|step, _| ready.contains(step));
            self.advisor_tickets.retain(|step| ready.contains(step));
        }
        self.sort_steps(&mut all, guaranteed_jobs, wall);
        all
    }

    /// Forgets since when a step has waited, unless it still does. Without turns, the next pass does.
    pub(crate) fn forget_placed_step(&mut self, step: &StepId) {
        let job = self.jobs.get(&step.job);
        if self.takes_turns && !job.is_some_and(|job| job.is_step_ready(step)) {
            self.ready_since.remove(step);
            self.advisor_tickets.forget_step(step);
        }
    }

    /// Forgets since when the steps of a closed job have waited.
    pub(crate) fn forget_waiting_steps(&mut self, job: &JobId) {
        let first = StepId {
            job: job.clone(),
            occurrence: 0,
            step: 0,
        };
        let of_job = self.ready_since.range(first..).map(|(step, _)| step);
        let of_job = of_job.take_while(|step| step.job == *job).cloned();
        for step in of_job.collect::<Vec<_>>() {
            self.ready_since.remove(&step);
            self.advisor_tickets.forget_step(&step);
        }
    }

    pub(crate) fn demand(&self, waiting: &WaitingStep) -> Demand {
        let locality_wait = if waiting.priority == 0 {
            self.limits.urgent_locality_wait
        } else {
            waiting.description().estimated_run_time
        };
        // The same run time as in the slack.
        let run_time = self.run_times.observed(&waiting.step);
        let run_time = run_time.unwrap_or(waiting.description().estimated_run_time);
        Demand {
            resources: occupied_resources(waiting.description()),
            count: waiting.task_indices.len(),
            gang: waiting.description().gang,
            same_rack: waiting.description().same_rack,
            data_rack: waiting.description().data_rack.clone(),
            any_rack: waiting.waited >= locality_wait,
            speed: SpeedPreference::of(
                (waiting.slack < Duration::MAX).then_some(waiting.slack),
                run_time,
            ),
        }
    }
}
