use std::sync::Arc;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;
use smallvec::SmallVec;

use crate::Checkpoint;
use crate::JobDescription;
use crate::JobId;
use crate::QueueName;
use crate::QueueRules;
use crate::RunId;
use crate::RunOutcome;
use crate::StepDescription;
use crate::StepId;
use crate::TargetInstance;
use crate::TaskId;

value! { copy
    /// The state of a job as reported to callers.
    pub enum JobState {
        /// The job is accepted and no task has started.
        Queued,
        /// At least one task has started.
        Running,
        /// All tasks have completed.
        Completed,
        /// A task or a gang has used up its attempts.
        Failed,
        /// The caller has cancelled the job.
        Cancelled,
    }
}

impl JobState {
    /// The stable text used in messages.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns true if no more tasks of the job will start.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

value! {
    /// The immutable part of a job, fixed at its acceptance.
    pub struct AcceptedJob {
        /// The caller's id of the job.
        pub id: JobId,
        /// The queue to which the job was submitted.
        pub queue: QueueName,
        /// The queue's rules at acceptance, which apply while the queue is not configured.
        pub rules: QueueRules,
        /// The organisation whose API key was used.
        pub organisation: Organisation,
        /// When the job was accepted, in wall-clock time; orders the queue across VMs.
        pub accepted_at: Timestamp,
        /// The steps and tasks of the job.
        pub description: JobDescription,
    }
}

value! {
    /// The durable state of a task that has been placed.
    pub struct TaskProgress {
        /// The task.
        pub task: TaskId,
        /// The highest run number assigned.
        pub last_run: u32,
        /// The numbers of the failed runs; a target may report one of them again.
        pub failed_runs: SmallVec<[u32; 4]>,
        /// The task has completed.
        pub done: bool,
        /// The target instance of the last run; `None` if that run is known to have ended.
        pub placed_on: Option<TargetInstance>,
        /// The latest checkpoint.
        pub checkpoint: Option<Checkpoint>,
    }
}

value! {
    /// The mutable durable state of a job.
    #[derive(Default)]
    pub struct JobProgress {
        /// The caller has cancelled the job.
        pub cancelled: bool,
        /// A task or a gang has used up its attempts.
        pub failed: bool,
        /// A task has started. May be false for a short time after the start.
        pub started: bool,
        /// The tasks that have been placed.
        pub tasks: Vec<TaskProgress>,
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub last_run: u32,
    /// The numbers of the failed runs. Failures are counted by run number, since each member of a
    /// gang may report a failure, and a target reports it until it is acknowledged.
    pub failed_runs: SmallVec<[u32; 4]>,
    pub done: bool,
    pub placed_on: Option<TargetInstance>,
    pub checkpoint: Option<Checkpoint>,
    /// Targets on which the task failed; other targets are preferred.
    pub failed_on: SmallVec<[TargetName; 2]>,
    /// How often a run of the task was stopped for another step, by this scheduler.
    pub preemptions: u32,
    /// How often a run of the task was stopped because it made no progress, by this scheduler.
    pub stalls: u32,
    /// The work lost by preemptions, in core-milliseconds.
    pub lost_core_millis: u64,
}

/// A job with the state of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub accepted: Arc<AcceptedJob>,
    pub rules: QueueRules,
    pub cancelled: bool,
    pub failed: bool,
    /// A target has confirmed that a task of the job has started there.
    started: bool,
    /// All tasks, ordered by occurrence, step and index.
    tasks: Vec<Task>,
    /// The offset of the first task of each step within an occurrence.
    offsets: SmallVec<[usize; 4]>,
    tasks_per_occurrence: usize,
    unfinished_tasks: usize,
}

impl Job {
    pub(crate) fn new(accepted: Arc<AcceptedJob>) -> Self {
        let mut offsets = SmallVec::new();
        let mut tasks_per_occurrence = 0;
        for step in accepted.description.steps.iter() {
            offsets.push(tasks_per_occurrence);
            tasks_per_occurrence += step.count as usize;
        }
        let tasks = vec![Task::default(); accepted.description.task_count()];
        Self {
            rules: accepted.rules.clone(),
            accepted,
            cancelled: false,
            failed: false,
            started: false,
            unfinished_tasks: tasks.len(),
            tasks,
            offsets,
            tasks_per_occurrence,
        }
    }

    /// Restores a job from its durable state; entries for unknown tasks are ignored.
    pub(crate) fn restore(accepted: Arc<AcceptedJob>, progress: JobProgress) -> Self {
        let mut job = Self::new(accepted);
        job.cancelled = progress.cancelled;
        job.failed = progress.failed;
        // Written only some time after the start, but what a task has achieved shows it as well.
        let has_run = |task: &TaskProgress| {
            task.done || task.checkpoint.is_some() || !task.failed_runs.is_empty()
        };
        job.started = progress.started || progress.tasks.iter().any(has_run);
        for saved in progress.tasks {
            let Some(task) = job.task_mut(&saved.task) else {
                continue;
            };
            task.last_run = saved.last_run;
            task.failed_runs = saved.failed_runs;
            task.placed_on = saved.placed_on;
            task.checkpoint = saved.checkpoint;
            if saved.done {
                job.set_done(&saved.task);
            }
        }
        job
    }

    pub(crate) fn progress(&self) -> JobProgress {
        let placed = self.task_ids().filter_map(|id| {
            let task = self.task(&id)?;
            (task.last_run > 0).then(|| TaskProgress {
                last_run: task.last_run,
                failed_runs: task.failed_runs.clone(),
                done: task.done,
                placed_on: task.placed_on.clone(),
                checkpoint: task.checkpoint.clone().filter(|_| !task.done),
                task: id,
            })
        });
        JobProgress {
            cancelled: self.cancelled,
            failed: self.failed,
            started: self.started,
            tasks: placed.collect(),
        }
    }

    pub(crate) fn state(&self) -> JobState {
        if self.unfinished_tasks == 0 {
            JobState::Completed
        } else if self.failed {
            JobState::Failed
        } else if self.cancelled {
            JobState::Cancelled
        } else if self.started {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Records that a task has started; returns true if it is the first.
    pub(crate) fn mark_started(&mut self) -> bool {
        !std::mem::replace(&mut self.started, true)
    }

    pub(crate) fn id(&self) -> &JobId {
        &self.accepted.id
    }

    pub(crate) fn step(&self, number: u32) -> Option<&StepDescription> {
        self.accepted.description.steps.get(number as usize)
    }

    fn task_position(&self, id: &TaskId) -> Option<usize> {
        let step = self.step(id.step.step)?;
        let exists =
            id.index < step.count && id.step.occurrence < self.accepted.description.occurrences();
        let offset = self.offsets.get(id.step.step as usize)?;
        let occurrence = id.step.occurrence as usize * self.tasks_per_occurrence;
        exists.then_some(occurrence + offset + id.index as usize)
    }

    pub(crate) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.task_position(id)
            .and_then(|position| self.tasks.get(position))
    }

    pub(crate) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let position = self.task_position(id)?;
        self.tasks.get_mut(position)
    }

    pub(crate) fn task_id(&self, occurrence: u32, step: u32, index: u32) -> TaskId {
        TaskId {
            step: StepId {
                job: self.id().clone(),
                occurrence,
                step,
            },
            index,
        }
    }

    pub(crate) fn step_tasks(&self, step: &StepId) -> impl Iterator<Item = TaskId> + use<> {
        let count = self
            .step(step.step)
            .map_or(0, |description| description.count);
        let step = step.clone();
        (0..count).map(move |index| TaskId {
            step: step.clone(),
            index,
        })
    }

    fn task_ids(&self) -> impl Iterator<Item = TaskId> + '_ {
        let occurrences = 0..self.accepted.description.occurrences();
        occurrences.flat_map(move |occurrence| {
            let steps = 0..self.accepted.description.steps.len();
            steps.flat_map(move |step| {
                let step = u32::try_from(step).unwrap_or(u32::MAX);
                let count = self.step(step).map_or(0, |description| description.count);
                (0..count).map(move |index| self.task_id(occurrence, step, index))
            })
        })
    }

    /// Marks a task as done. Not called for long-running tasks.
    pub(crate) fn set_done(&mut self, id: &TaskId) {
        if let Some(task) = self.task_mut(id)
            && !task.done
        {
            task.done = true;
            self.unfinished_tasks -= 1;
        }
    }

    /// Returns the tasks of one occurrence of a step, in index order.
    fn tasks_of(&self, step: &StepId) -> &[Task] {
        let first = self.task_position(&TaskId {
            step: step.clone(),
            index: 0,
        });
        let count = self
            .step(step.step)
            .map_or(0, |description| description.count);
        let tasks = first.and_then(|first| self.tasks.get(first..first + count as usize));
        tasks.unwrap_or_default()
    }

    fn step_done(&self, step: &StepId) -> bool {
        self.tasks_of(step).iter().all(|task| task.done)
    }

    /// Returns the steps that are due, have completed dependencies, and have unplaced tasks.
    pub(crate) fn ready_steps(&self, wall: Timestamp) -> Vec<StepId> {
        let description = &self.accepted.description;
        let mut ready = Vec::new();
        for occurrence in 0..description.occurrences() {
            if description.due(occurrence).is_some_and(|due| wall < due) {
                break;
            }
            for number in 0..description.steps.len() {
                let step = StepId {
                    job: self.id().clone(),
                    occurrence,
                    step: u32::try_from(number).unwrap_or(u32::MAX),
                };
                if self.are_dependencies_done(&step) && !self.waiting_tasks(&step).is_empty() {
                    ready.push(step);
                }
            }
        }
        ready
    }

    fn are_dependencies_done(&self, step: &StepId) -> bool {
        let Some(description) = self.step(step.step) else {
            return false;
        };
        description.depends_on.iter().all(|&earlier| {
            let mut before = step.clone();
            before.step = earlier;
            self.step_done(&before)
        })
    }

    /// Returns the tasks of a step that may be placed; for a gang either all or none.
    pub(crate) fn waiting_tasks(&self, step: &StepId) -> SmallVec<[u32; 8]> {
        let tasks = (0_u32..).zip(self.tasks_of(step));
        let waiting: SmallVec<[u32; 8]> = tasks
            .filter(|(_, task)| !task.done && task.placed_on.is_none())
            .map(|(index, _)| index)
            .collect();
        let Some(description) = self.step(step.step) else {
            return SmallVec::new();
        };
        if description.gang && waiting.len() < description.count as usize {
            return SmallVec::new();
        }
        waiting
    }

    /// Returns the run number for the next start of the tasks.
    pub(crate) fn next_run(&self, step: &StepId, task_indices: &[u32]) -> u32 {
        let last = task_indices.iter().filter_map(|&index| {
            let id = TaskId {
                step: step.clone(),
                index,
            };
            self.task(&id).map(|task| task.last_run)
        });
        last.max().unwrap_or(0) + 1
    }

    /// Returns the checkpoint to resume a task from; the members of a gang share one.
    pub(crate) fn checkpoint(&self, id: &TaskId) -> Option<Checkpoint> {
        self.task(&self.shared_state_task(id))?.checkpoint.clone()
    }

    /// Returns the task that stores the checkpoint and failures: a gang's first task, or the task.
    fn shared_state_task(&self, id: &TaskId) -> TaskId {
        let gang = self.step(id.step.step).is_some_and(|step| step.gang);
        let mut shared = id.clone();
        if gang {
            shared.index = 0;
        }
        shared
    }

    /// Stores a newer checkpoint; returns true if it was newer.
    pub(crate) fn update_checkpoint(
        &mut self,
        run: &RunId,
        checkpoint: Option<Checkpoint>,
    ) -> bool {
        let shared = self.shared_state_task(&run.task);
        let Some(task) = self.task_mut(&shared) else {
            return false;
        };
        let newer =
            checkpoint.is_some() && run.number >= task.last_run && task.checkpoint != checkpoint;
        if newer {
            task.checkpoint = checkpoint;
        }
        newer
    }

    /// Applies the outcome of a run; returns true if the durable state changed.
    pub(crate) fn handle_run_end(
        &mut self,
        run: &RunId,
        outcome: RunOutcome,
        target: &TargetName,
    ) -> bool {
        let Some(step) = self.step(run.task.step.step).cloned() else {
            return false;
        };
        let Some(task) = self.task_mut(&run.task) else {
            return false;
        };
        let mut changed = false;
        if task.last_run == run.number && task.placed_on.is_some() {
            task.placed_on = None;
            changed = true;
        }
        match outcome {
            RunOutcome::Done if !step.long_running => self.complete_run(run, &step) || changed,
            RunOutcome::Failed => self.count_failure(run, &step, target) || changed,
            _ => changed,
        }
    }

    /// Marks the tasks of a run as done, if it is the latest; an older run may have been replaced.
    fn complete_run(&mut self, run: &RunId, step: &StepDescription) -> bool {
        let newest = self
            .task(&run.task)
            .is_some_and(|task| task.last_run == run.number);
        if !newest {
            return false;
        }
        if step.gang {
            let members: Vec<_> = self.step_tasks(&run.task.step).collect();
            for member in members {
                self.set_done(&member);
            }
        } else {
            self.set_done(&run.task);
        }
        true
    }

    fn count_failure(&mut self, run: &RunId, step: &StepDescription, target: &TargetName) -> bool {
        let max_attempts = self.rules.max_attempts;
        let shared = self.shared_state_task(&run.task);
        let Some(task) = self.task_mut(&shared) else {
            return false;
        };
        if task.failed_runs.contains(&run.number) {
            return false;
        }
        task.failed_runs.push(run.number);
        if !task.failed_on.contains(target) {
            task.failed_on.push(target.clone());
        }
        if task.failed_runs.len() >= max_attempts as usize && !step.long_running {
            self.failed = true;
        }
        true
    }

    /// Returns true if a task of the job has failed on another target, so the job may be at fault.
    pub(crate) fn has_failed_elsewhere(&self, target: &TargetName) -> bool {
        let mut failures = self.tasks.iter().flat_map(|task| &task.failed_on);
        failures.any(|failed_on| failed_on != target)
    }

    /// Returns the targets on which the task, or its gang, has failed.
    pub(crate) fn failed_on(&self, id: &TaskId) -> SmallVec<[TargetName; 2]> {
        let task = self.task(&self.shared_state_task(id));
        task.map(|task| task.failed_on.clone()).unwrap_or_default()
    }
}
