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
    /// What a caller is told of a job.
    pub enum JobState {
        /// Accepted; no task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks are done.
        Completed,
        /// A task or a gang has failed as often as its queue allows.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }
}

impl JobState {
    /// The name in messages.
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

    /// True if nothing more will start.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

value! {
    /// What is known of a job from its acceptance on.
    pub struct AcceptedJob {
        /// The caller's id.
        pub id: JobId,
        /// The queue that it came through.
        pub queue: QueueName,
        /// The queue's rules at acceptance, in force while the queue is gone.
        pub rules: QueueRules,
        /// The organisation whose key was used.
        pub organisation: Organisation,
        /// When it was accepted, in wall time; orders the queue across VMs.
        pub accepted_at: Timestamp,
        /// What is to be done.
        pub description: JobDescription,
    }
}

value! {
    /// The durable state of one task that has been started.
    pub struct TaskProgress {
        /// The task.
        pub task: TaskId,
        /// The highest run number given out.
        pub last_run: u32,
        /// The runs that ended as failed; a target may list one of them again.
        pub failed_runs: SmallVec<[u32; 4]>,
        /// Set once it is done.
        pub done: bool,
        /// Where its last run is, unless that is known to have ended.
        pub placed_on: Option<TargetInstance>,
        /// The newest saved state.
        pub checkpoint: Option<Checkpoint>,
    }
}

value! {
    /// The durable state of a job, besides what was known at its acceptance.
    #[derive(Default)]
    pub struct JobProgress {
        /// The caller cancelled it.
        pub cancelled: bool,
        /// It ran out of attempts.
        pub failed: bool,
        /// The tasks that have been started.
        pub tasks: Vec<TaskProgress>,
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub last_run: u32,
    /// The runs that failed. Each member of a gang may report the failure, and a target lists
    /// it until it is acknowledged, so they are counted by number.
    pub failed_runs: SmallVec<[u32; 4]>,
    pub done: bool,
    pub placed_on: Option<TargetInstance>,
    pub checkpoint: Option<Checkpoint>,
    /// Targets on which it failed; others are preferred.
    pub failed_on: SmallVec<[TargetName; 2]>,
}

/// A job and the state of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub accepted: Arc<AcceptedJob>,
    pub rules: QueueRules,
    pub cancelled: bool,
    pub failed: bool,
    /// All tasks, by occurrence, step and index.
    tasks: Vec<Task>,
    /// Where each step's tasks begin within an occurrence.
    offsets: SmallVec<[usize; 4]>,
    tasks_each: usize,
    undone: usize,
}

impl Job {
    pub(crate) fn new(accepted: Arc<AcceptedJob>) -> Self {
        let mut offsets = SmallVec::new();
        let mut tasks_each = 0;
        for step in accepted.description.steps.iter() {
            offsets.push(tasks_each);
            tasks_each += step.count as usize;
        }
        let tasks = vec![Task::default(); accepted.description.task_count()];
        Self {
            rules: accepted.rules.clone(),
            accepted,
            cancelled: false,
            failed: false,
            undone: tasks.len(),
            tasks,
            offsets,
            tasks_each,
        }
    }

    /// Restores a job from what was durable; entries for tasks that it doesn't have are left out.
    pub(crate) fn restore(accepted: Arc<AcceptedJob>, progress: JobProgress) -> Self {
        let mut job = Self::new(accepted);
        job.cancelled = progress.cancelled;
        job.failed = progress.failed;
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
        let started = self.task_ids().filter_map(|id| {
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
            tasks: started.collect(),
        }
    }

    pub(crate) fn state(&self) -> JobState {
        if self.undone == 0 {
            JobState::Completed
        } else if self.failed {
            JobState::Failed
        } else if self.cancelled {
            JobState::Cancelled
        } else if self.tasks.iter().any(|task| task.last_run > 0) {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    pub(crate) fn id(&self) -> &JobId {
        &self.accepted.id
    }

    pub(crate) fn step(&self, number: u32) -> Option<&StepDescription> {
        self.accepted.description.steps.get(number as usize)
    }

    fn position(&self, id: &TaskId) -> Option<usize> {
        let step = self.step(id.step.step)?;
        let known =
            id.index < step.count && id.step.occurrence < self.accepted.description.occurrences();
        let offset = self.offsets.get(id.step.step as usize)?;
        let occurrence = id.step.occurrence as usize * self.tasks_each;
        known.then_some(occurrence + offset + id.index as usize)
    }

    pub(crate) fn task(&self, id: &TaskId) -> Option<&Task> {
        self.position(id)
            .and_then(|position| self.tasks.get(position))
    }

    pub(crate) fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let position = self.position(id)?;
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
        let count = self.step(step.step).map_or(0, |described| described.count);
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
                let count = self.step(step).map_or(0, |described| described.count);
                (0..count).map(move |index| self.task_id(occurrence, step, index))
            })
        })
    }

    /// Marks a task as done; a task that has no end of its own never is.
    pub(crate) fn set_done(&mut self, id: &TaskId) {
        if let Some(task) = self.task_mut(id)
            && !task.done
        {
            task.done = true;
            self.undone -= 1;
        }
    }

    /// The tasks of one occurrence of a step, in the order of their indices.
    fn tasks_of(&self, step: &StepId) -> &[Task] {
        let first = self.position(&TaskId {
            step: step.clone(),
            index: 0,
        });
        let count = self.step(step.step).map_or(0, |described| described.count);
        let tasks = first.and_then(|first| self.tasks.get(first..first + count as usize));
        tasks.unwrap_or_default()
    }

    fn step_done(&self, step: &StepId) -> bool {
        self.tasks_of(step).iter().all(|task| task.done)
    }

    /// The steps with tasks whose turn has come and that aren't placed anywhere.
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
                if self.has_turn(&step) && !self.waiting(&step).is_empty() {
                    ready.push(step);
                }
            }
        }
        ready
    }

    fn has_turn(&self, step: &StepId) -> bool {
        let Some(described) = self.step(step.step) else {
            return false;
        };
        described.depends_on.iter().all(|&earlier| {
            let mut before = step.clone();
            before.step = earlier;
            self.step_done(&before)
        })
    }

    /// The tasks of a step that may be placed: all of a gang or none, any others one by one.
    pub(crate) fn waiting(&self, step: &StepId) -> SmallVec<[u32; 8]> {
        let tasks = (0_u32..).zip(self.tasks_of(step));
        let waiting: SmallVec<[u32; 8]> = tasks
            .filter(|(_, task)| !task.done && task.placed_on.is_none())
            .map(|(index, _)| index)
            .collect();
        let Some(described) = self.step(step.step) else {
            return SmallVec::new();
        };
        if described.gang && waiting.len() < described.count as usize {
            return SmallVec::new();
        }
        waiting
    }

    /// The run number for the next start of these tasks.
    pub(crate) fn next_run(&self, step: &StepId, indices: &[u32]) -> u32 {
        let last = indices.iter().filter_map(|&index| {
            let id = TaskId {
                step: step.clone(),
                index,
            };
            self.task(&id).map(|task| task.last_run)
        });
        last.max().unwrap_or(0) + 1
    }

    /// The saved state to start a task from; the members of a gang share one.
    pub(crate) fn checkpoint(&self, id: &TaskId) -> Option<Checkpoint> {
        self.task(&self.shared(id))?.checkpoint.clone()
    }

    /// The task that keeps what the members of a gang share.
    fn shared(&self, id: &TaskId) -> TaskId {
        let gang = self.step(id.step.step).is_some_and(|step| step.gang);
        let mut shared = id.clone();
        if gang {
            shared.index = 0;
        }
        shared
    }

    /// Keeps a newer saved state; true if there was one.
    pub(crate) fn save(&mut self, run: &RunId, checkpoint: Option<Checkpoint>) -> bool {
        let shared = self.shared(&run.task);
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

    /// Takes note of the end of a run; true if it changed what is durable.
    pub(crate) fn end(&mut self, run: &RunId, outcome: RunOutcome, target: &TargetName) -> bool {
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
            RunOutcome::Done if !step.long_running => self.finish(run, &step) || changed,
            RunOutcome::Failed => self.count_failure(run, &step, target) || changed,
            _ => changed,
        }
    }

    /// A run that isn't the newest one may have been replaced, so only the newest one counts.
    fn finish(&mut self, run: &RunId, step: &StepDescription) -> bool {
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
        let most = self.rules.max_attempts;
        let shared = self.shared(&run.task);
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
        if task.failed_runs.len() >= most as usize && !step.long_running {
            self.failed = true;
        }
        true
    }

    /// True if a task of the job has failed on another target, which speaks against the job.
    pub(crate) fn has_failed_elsewhere(&self, target: &TargetName) -> bool {
        let mut failures = self.tasks.iter().flat_map(|task| &task.failed_on);
        failures.any(|failed_on| failed_on != target)
    }

    /// Targets on which a task of the step failed.
    pub(crate) fn failed_on(&self, id: &TaskId) -> SmallVec<[TargetName; 2]> {
        let task = self.task(&self.shared(id));
        task.map(|task| task.failed_on.clone()).unwrap_or_default()
    }
}
