use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Timestamp;
use rattanwinch_types::value;
use smallvec::SmallVec;

use crate::JobSteps;
use crate::Label;
use crate::Resources;

/// The maximum number of tasks of a job over all its occurrences. Each may have a start order with
/// its payload of up to 4,000 bytes in the memory of the front that schedules, which is 120 MB or more.
pub const MAX_JOB_TASKS: usize = 8_000;

value! {
    /// A caller's job: steps of tasks, run once or repeatedly.
    pub struct JobDescription {
        /// The payload of the tasks, opaque to the scheduler.
        pub payload: Arc<str>,
        /// The steps, in the order of their numbers.
        pub steps: JobSteps,
        /// The due times of a repeated job; `None` for a single, immediate occurrence.
        pub recurrence: Option<Recurrence>,
    }
}

value! { copy
    /// The due times of a repeated job.
    pub struct Recurrence {
        /// When the first occurrence is due, in wall-clock time.
        pub first_due_at: Timestamp,
        /// The time between two occurrences.
        pub interval: Duration,
        /// The number of occurrences.
        pub count: u32,
    }
}

value! {
    /// A step: identical tasks that may run once the steps that it depends on are done.
    #[derive(bon::Builder)]
    pub struct StepDescription {
        /// The number of tasks.
        pub count: u32,
        /// The resources that each task requires.
        pub resources: Resources,
        /// The caller's estimate of the run time of a task.
        #[builder(default)]
        pub estimated_run_time: Duration,
        /// The steps that must be done before this one starts.
        #[builder(default)]
        pub depends_on: SmallVec<[u32; 4]>,
        /// The tasks write checkpoints.
        #[builder(default)]
        pub checkpointing: bool,
        /// The tasks are gang-scheduled: they only run all together.
        #[builder(default)]
        pub gang: bool,
        /// The tasks are slower if spread over more than one rack.
        #[builder(default)]
        pub same_rack: bool,
        /// A label that the target must have.
        pub required_label: Option<Label>,
        /// The rack with the input data; the tasks are slower on any other rack.
        pub data_rack: Option<Label>,
        /// The maximum number of tasks of one occurrence of the step on a target.
        pub max_per_target: Option<u32>,
        /// Speculative copies of a task may run concurrently.
        #[builder(default)]
        pub speculative: bool,
        /// The tasks run until the job is cancelled and are restarted after any outcome.
        #[builder(default)]
        pub long_running: bool,
        /// The task uses only processor time that other tasks on its target leave idle.
        #[builder(default)]
        pub best_effort: bool,
        /// The maximum number of unavailable tasks of a long-running step that evictions may cause;
        /// `None` for no limit.
        pub max_unavailable: Option<u32>,
        /// The limit for the tail of the response times of a serving task.
        pub response_time_limit: Option<Duration>,
    }
}

impl JobDescription {
    /// Returns the number of occurrences, at least one.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.recurrence
            .map_or(1, |recurrence| recurrence.count.max(1))
    }

    /// Returns when an occurrence is due in wall-clock time; `None` if it is due immediately.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Timestamp> {
        let recurrence = self.recurrence?;
        Some(recurrence.first_due_at + recurrence.interval.saturating_mul(occurrence))
    }

    /// Returns the estimated run time of the critical path that starts with step `first`.
    #[must_use]
    pub fn critical_path_from(&self, first: u32) -> Duration {
        self.steps.path_from(first)
    }

    /// Returns the estimated run time of the critical path.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        self.steps.critical_path()
    }

    /// Returns the number of tasks over all occurrences.
    #[must_use]
    pub fn task_count(&self) -> usize {
        let each = self.steps.task_count();
        each.saturating_mul(self.occurrences() as usize)
    }

    /// Returns the maximum number of accelerators that all tasks of a step require together.
    #[must_use]
    pub fn max_step_accelerators(&self) -> u64 {
        self.steps.max_step_accelerators()
    }

    /// Returns true if steps depend only on earlier ones, none is empty, and the task limit holds.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        self.steps.is_well_formed() && !self.has_too_many_tasks()
    }

    /// Returns true if the job has more than [`MAX_JOB_TASKS`] tasks.
    #[must_use]
    pub fn has_too_many_tasks(&self) -> bool {
        self.task_count() > MAX_JOB_TASKS
    }
}
