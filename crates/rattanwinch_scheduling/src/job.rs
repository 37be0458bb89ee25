use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

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
use crate::step_visits::count_step_visits;

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
        /// The progress is written in parts, of which the first alone holds the other fields.
        pub is_split: bool,
    }
}

value! {
    /// A part of the progress of a job that is made durable by itself.
    pub struct ProgressPart {
        /// The number of the part, from 0.
        pub number: u32,
        /// The progress of its tasks. In other parts than the first, the other fields mean nothing.
        pub progress: JobProgress,
    }
}

/// The number of tasks in a part of a job's progress. An end writes its part again, so that what it
/// writes doesn't grow with the job.
const TASKS_PER_PART: usize = 256;

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

/// How far one occurrence of a step is.
#[derive(Clone, Copy, Debug)]
struct StepState {
    /// The steps that it depends on and that are not done.
    unmet_dependencies: u32,
    /// The tasks that are not done.
    unfinished: u32,
    /// The tasks that are neither done nor placed.
    unplaced: u32,
}

/// A step with tasks that may be placed once its occurrence is due. Steps are ordered by occurrence,
/// those with the longest critical path first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyStep {
    occurrence: u32,
    path: Reverse<Duration>,
    step: u32,
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
    /// The steps of all occurrences, in the order of their tasks.
    steps: Vec<StepState>,
    /// Updated whenever a step's state changes, so that a placement pass visits no other steps.
    ready: BTreeSet<ReadyStep>,
    /// The ready step up to which the last pass has looked, if it did not look at all of them.
    scanned_to: Option<ReadyStep>,
    unfinished_tasks: usize,
    /// The targets on which a task has failed.
    failed_on: BTreeSet<TargetName>,
    tasks_per_part: usize,
    /// The parts that have changed since they were taken for a commit.
    changed_parts: BTreeSet<usize>,
    /// The parts with new checkpoints or a first start only.
    unsaved_parts: BTreeSet<usize>,
    /// The parts beyond the first that have been taken for a commit.
    written_parts: BTreeSet<usize>,
}

impl Job {
    pub(crate) fn new(accepted: Arc<AcceptedJob>) -> Self {
        let description = &accepted.description;
        let tasks = vec![Task::default(); description.task_count()];
        let steps = (0_u32..).zip(description.steps.iter());
        let steps = steps.map(|(number, step)| StepState {
            unmet_dependencies: description.steps.dependency_count(number),
            unfinished: step.count,
            unplaced: step.count,
        });
        let steps: Vec<_> = steps.collect();
        let mut job = Self {
            steps: steps.repeat(description.occurrences() as usize),
            rules: accepted.rules.clone(),
            accepted,
            cancelled: false,
            failed: false,
            started: false,
            unfinished_tasks: tasks.len(),
            tasks,
            ready: BTreeSet::new(),
            scanned_to: None,
            failed_on: BTreeSet::new(),
            tasks_per_part: TASKS_PER_PART,
            changed_parts: BTreeSet::new(),
            unsaved_parts: BTreeSet::new(),
            written_parts: BTreeSet::new(),
        };
        for occurrence in 0..job.accepted.description.occurrences() {
            for (step, _) in (0_u32..).zip(&steps) {
                job.update_ready(occurrence, step);
            }
        }
        job
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
        let positions = progress.tasks.iter();
        let positions = positions.filter_map(|task| job.task_position(&task.task));
        let parts: BTreeSet<usize> = positions
            .map(|position| position / TASKS_PER_PART)
            .collect();
        if !progress.is_split && parts.iter().any(|&part| part > 0) {
            // An earlier version has written all tasks into the first part.
            job.tasks_per_part = usize::MAX;
        } else {
            job.written_parts = parts.into_iter().filter(|&part| part > 0).collect();
        }
        for saved in progress.tasks {
            let Some(task) = job.task_mut(&saved.task) else {
                continue;
            };
            task.last_run = saved.last_run;
            task.failed_runs = saved.failed_runs;
            task.checkpoint = saved.checkpoint;
            if let Some(instance) = saved.placed_on {
                job.place(&saved.task, saved.last_run, instance);
            }
            if saved.done {
                job.set_done(&saved.task);
            }
        }
        job.changed_parts.clear();
        job
    }

    pub(crate) fn progress(&self) -> JobProgress {
        self.progress_of(0..self.tasks.len())
    }

    /// Returns the changed parts of the progress, in the order of their tasks, to be made durable in
    /// that order: what a task waits for is before it.
    pub(crate) fn take_changed_parts(&mut self) -> Vec<ProgressPart> {
        let changed = std::mem::take(&mut self.changed_parts);
        let parts = changed.into_iter().map(|part| {
            if part > 0 {
                self.written_parts.insert(part);
            }
            let first = part.saturating_mul(self.tasks_per_part);
            let end = first.saturating_add(self.tasks_per_part);
            ProgressPart {
                number: u32::try_from(part).unwrap_or(u32::MAX),
                progress: self.progress_of(first..end.min(self.tasks.len())),
            }
        });
        parts.collect()
    }

    /// Returns the numbers of the parts beyond the first that may be durable.
    pub(crate) fn written_parts(&self) -> impl Iterator<Item = u32> {
        let parts = self.written_parts.iter();
        parts.map(|&part| u32::try_from(part).unwrap_or(u32::MAX))
    }

    /// Has the new checkpoints made durable.
    pub(crate) fn save_checkpoints(&mut self) {
        self.changed_parts.append(&mut self.unsaved_parts);
    }

    /// Drops the parts that are made durable from those with new checkpoints; returns true if there
    /// are others.
    pub(crate) fn has_unsaved_parts(&mut self) -> bool {
        let changed = &self.changed_parts;
        self.unsaved_parts.retain(|part| !changed.contains(part));
        !self.unsaved_parts.is_empty()
    }

    /// Has the first part made durable, which holds what isn't about a single task.
    pub(crate) fn mark_changed(&mut self) {
        self.changed_parts.insert(0);
    }

    fn mark_task_changed(&mut self, id: &TaskId) {
        if let Some(position) = self.task_position(id) {
            self.changed_parts.insert(position / self.tasks_per_part);
        }
    }

    fn progress_of(&self, positions: Range<usize>) -> JobProgress {
        count_step_visits(positions.len());
        let first = positions.start;
        let tasks = self.tasks.get(positions).unwrap_or_default();
        let placed = (first..).zip(tasks).filter(|(_, task)| task.last_run > 0);
        let placed = placed.map(|(position, task)| TaskProgress {
            last_run: task.last_run,
            failed_runs: task.failed_runs.clone(),
            done: task.done,
            placed_on: task.placed_on.clone(),
            checkpoint: task.checkpoint.clone().filter(|_| !task.done),
            task: self.task_at(position),
        });
        JobProgress {
            cancelled: self.cancelled,
            failed: self.failed,
            started: self.started,
            tasks: placed.collect(),
            is_split: self.tasks.len() > self.tasks_per_part,
        }
    }

    fn task_at(&self, position: usize) -> TaskId {
        let steps = &self.accepted.description.steps;
        let tasks = steps.task_count().max(1);
        let (step, index) = steps.task_at(position % tasks);
        self.task_id(
            u32::try_from(position / tasks).unwrap_or(u32::MAX),
            step,
            index,
        )
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
        let is_first = !std::mem::replace(&mut self.started, true);
        if is_first {
            self.unsaved_parts.insert(0);
        }
        is_first
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
        let steps = &self.accepted.description.steps;
        let offset = steps.first_task(id.step.step)?;
        let occurrence = id.step.occurrence as usize * steps.task_count();
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
        let count = self.task_count_of(step);
        let step = step.clone();
        (0..count).map(move |index| TaskId {
            step: step.clone(),
            index,
        })
    }

    fn step_position(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.accepted.description.steps.len() + step as usize
    }

    /// Changes the state of a step and of what follows from it.
    fn update_step(&mut self, step: &StepId, change: impl FnOnce(&mut StepState)) {
        let position = self.step_position(step.occurrence, step.step);
        let Some(state) = self.steps.get_mut(position) else {
            return;
        };
        let was_done = state.unfinished == 0;
        change(state);
        let is_done = state.unfinished == 0;
        self.update_ready(step.occurrence, step.step);
        if is_done && !was_done {
            self.release_dependents(step);
        }
    }

    fn release_dependents(&mut self, step: &StepId) {
        let steps = self.accepted.description.steps.clone();
        count_step_visits(steps.dependents(step.step).len());
        for &dependent in steps.dependents(step.step) {
            let position = self.step_position(step.occurrence, dependent);
            if let Some(state) = self.steps.get_mut(position) {
                state.unmet_dependencies = state.unmet_dependencies.saturating_sub(1);
                if state.unmet_dependencies == 0 {
                    self.update_ready(step.occurrence, dependent);
                }
            }
        }
    }

    /// Lists a step as ready, or no longer. A gang is ready only as a whole.
    fn update_ready(&mut self, occurrence: u32, step: u32) {
        let steps = &self.accepted.description.steps;
        let position = self.step_position(occurrence, step);
        let (Some(state), Some(description)) = (self.steps.get(position), steps.get(step as usize))
        else {
            return;
        };
        let least = if description.gang {
            description.count
        } else {
            1
        };
        let is_ready = state.unmet_dependencies == 0 && state.unplaced >= least.max(1);
        let ready = ReadyStep {
            occurrence,
            path: Reverse(steps.path_from(step)),
            step,
        };
        if is_ready {
            self.ready.insert(ready);
        } else {
            self.ready.remove(&ready);
        }
    }

    /// Records the placement of a task.
    pub(crate) fn place(&mut self, id: &TaskId, run: u32, instance: TargetInstance) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.last_run = run;
        let was_placed = task.placed_on.replace(instance).is_some();
        let is_done = task.done;
        self.mark_task_changed(id);
        if !was_placed && !is_done {
            self.update_step(&id.step, |step| step.unplaced -= 1);
        }
    }

    /// Records that the last run of a task has ended; returns false if it was not placed.
    fn remove_placement(&mut self, id: &TaskId) -> bool {
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        let was_placed = task.placed_on.take().is_some();
        let is_done = task.done;
        if was_placed {
            self.mark_task_changed(id);
        }
        if was_placed && !is_done {
            self.update_step(&id.step, |step| step.unplaced += 1);
        }
        was_placed
    }

    /// Marks a task as done. Not called for long-running tasks.
    pub(crate) fn set_done(&mut self, id: &TaskId) {
        let Some(task) = self.task_mut(id).filter(|task| !task.done) else {
            return;
        };
        task.done = true;
        let was_placed = task.placed_on.is_some();
        self.unfinished_tasks -= 1;
        self.mark_task_changed(id);
        self.update_step(&id.step, |step| {
            step.unfinished -= 1;
            step.unplaced -= u32::from(!was_placed);
        });
    }

    /// Returns true if all tasks of a step are done.
    pub(crate) fn is_step_done(&self, step: &StepId) -> bool {
        let position = self.step_position(step.occurrence, step.step);
        self.steps
            .get(position)
            .is_some_and(|state| state.unfinished == 0)
    }

    fn task_count_of(&self, step: &StepId) -> u32 {
        self.step(step.step).map_or(0, |step| step.count)
    }

    /// Returns the tasks of one occurrence of a step, in index order.
    fn tasks_of(&self, step: &StepId) -> &[Task] {
        let first = self.task_position(&TaskId {
            step: step.clone(),
            index: 0,
        });
        let count = self.task_count_of(step);
        let tasks = first.and_then(|first| self.tasks.get(first..first + count as usize));
        tasks.unwrap_or_default()
    }

    /// Returns the ready steps of occurrences that are due, in their order.
    fn due_steps(&self, wall: Timestamp) -> impl Iterator<Item = &ReadyStep> {
        self.ready
            .iter()
            .take_while(move |ready| self.is_due(ready, wall))
    }

    fn is_due(&self, ready: &ReadyStep, wall: Timestamp) -> bool {
        let due = self.accepted.description.due(ready.occurrence);
        due.is_none_or(|due| wall >= due)
    }

    /// Returns the number of steps that may be placed, `max` at most.
    pub(crate) fn count_ready_steps(&self, max: usize, wall: Timestamp) -> usize {
        self.due_steps(wall).take(max).count()
    }

    /// Returns true if a step may be placed once its occurrence is due.
    pub(crate) fn is_step_ready(&self, step: &StepId) -> bool {
        self.ready.contains(&ReadyStep {
            occurrence: step.occurrence,
            path: Reverse(self.accepted.description.steps.path_from(step.step)),
            step: step.step,
        })
    }

    /// Returns the steps that are due, have completed dependencies, and have unplaced tasks; at most
    /// `max_steps`: half of them the first ones, and the others in turn, from call to call. The second
    /// value tells how many are the first ones.
    pub(crate) fn ready_steps(
        &mut self,
        max_steps: usize,
        wall: Timestamp,
    ) -> (Vec<StepId>, usize) {
        let job = &self.accepted;
        let id = |ready: &ReadyStep| StepId {
            job: job.id.clone(),
            occurrence: ready.occurrence,
            step: ready.step,
        };
        let seen = max_steps.saturating_add(1);
        let mut ready: Vec<&ReadyStep> = self.due_steps(wall).take(seen).collect();
        if ready.len() <= max_steps {
            let ready = ready.into_iter().map(id).collect();
            self.scanned_to = None;
            return (ready, max_steps);
        }
        let first = max_steps.div_ceil(2);
        ready.truncate(first);
        let last = ready.last().copied().copied();
        let from = last.max(self.scanned_to);
        let from = from.map_or(Bound::Unbounded, Bound::Excluded);
        let further = self.ready.range((from, Bound::Unbounded));
        let further = further.take_while(|ready| self.is_due(ready, wall));
        let further = further.take(max_steps - first);
        let before = ready.len();
        ready.extend(further);
        // The turn begins again after the last one.
        let is_last = ready.len() - before < max_steps - first;
        let scanned_to = ready.last().copied().copied();
        let ready = ready.into_iter().map(id).collect();
        self.scanned_to = scanned_to.filter(|_| !is_last);
        (ready, before)
    }

    /// Returns the tasks of a step that may be placed and whether each has failed before; for a gang
    /// either all or none, otherwise the first `max_tasks`.
    pub(crate) fn waiting_tasks(
        &self,
        step: &StepId,
        max_tasks: usize,
    ) -> impl Iterator<Item = (u32, bool)> {
        count_step_visits(self.tasks_of(step).len());
        let is_gang = self.step(step.step).is_some_and(|step| step.gang);
        let max_tasks = if is_gang { usize::MAX } else { max_tasks };
        (0_u32..)
            .zip(self.tasks_of(step))
            .filter(|(_, task)| !task.done && task.placed_on.is_none())
            .map(|(index, task)| (index, !task.failed_on.is_empty()))
            .take(max_tasks)
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
            if let Some(position) = self.task_position(&shared) {
                self.unsaved_parts.insert(position / self.tasks_per_part);
            }
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
        let Some(step) = self.step(run.task.step.step) else {
            return false;
        };
        let (long_running, is_gang) = (step.long_running, step.gang);
        let Some(task) = self.task_mut(&run.task) else {
            return false;
        };
        let mut changed = false;
        if task.last_run == run.number {
            changed = self.remove_placement(&run.task);
        }
        changed |= match outcome {
            RunOutcome::Done if !long_running => self.complete_run(run, is_gang),
            RunOutcome::Failed => self.count_failure(run, long_running, target),
            _ => false,
        };
        if changed {
            // The target may forget the checkpoint once the end is acknowledged.
            let shared = self.shared_state_task(&run.task);
            self.mark_task_changed(&shared);
        }
        changed
    }

    /// Marks the tasks of a run as done, if it is the latest; an older run may have been replaced.
    fn complete_run(&mut self, run: &RunId, is_gang: bool) -> bool {
        let newest = self
            .task(&run.task)
            .is_some_and(|task| task.last_run == run.number);
        if !newest {
            return false;
        }
        if is_gang {
            // One end stands for all members, of which each lists its own.
            if !self.is_step_done(&run.task.step) {
                let members: Vec<_> = self.step_tasks(&run.task.step).collect();
                for member in members {
                    self.set_done(&member);
                }
            }
        } else {
            self.set_done(&run.task);
        }
        true
    }

    fn count_failure(&mut self, run: &RunId, long_running: bool, target: &TargetName) -> bool {
        let max_attempts = self.rules.max_attempts;
        let shared = self.shared_state_task(&run.task);
        let Some(task) = self.task_mut(&shared) else {
            return false;
        };
        if task.failed_runs.contains(&run.number) {
            return false;
        }
        task.failed_runs.push(run.number);
        if task.failed_runs.len() >= max_attempts as usize && !long_running {
            self.failed = true;
            self.mark_changed();
        }
        self.avoid_target(&shared, target);
        true
    }

    /// Records that a task had no success on a target, so that others are preferred.
    pub(crate) fn avoid_target(&mut self, id: &TaskId, target: &TargetName) {
        if let Some(task) = self.task_mut(id)
            && !task.failed_on.contains(target)
        {
            task.failed_on.push(target.clone());
            self.failed_on.insert(target.clone());
        }
    }

    /// Returns true if a task of the job has failed on another target, so the job may be at fault.
    pub(crate) fn has_failed_elsewhere(&self, target: &TargetName) -> bool {
        let mut failures = self.failed_on.iter();
        failures.any(|failed_on| failed_on != target)
    }

    /// Returns the targets on which the task, or its gang, has failed.
    pub(crate) fn failed_on(&self, id: &TaskId) -> SmallVec<[TargetName; 2]> {
        let task = self.task(&self.shared_state_task(id));
        task.map(|task| task.failed_on.clone()).unwrap_or_default()
    }
}
