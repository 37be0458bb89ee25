use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Timestamp;
use rattanwinch_types::value;
use smallvec::SmallVec;

use crate::Label;
use crate::Resources;

/// The most tasks that a job may have over all its occurrences; the state of a job with more
/// would not fit into one value of the store.
pub const MAX_JOB_TASKS: usize = 8_000;

value! {
    /// What a caller asks for: steps of tasks, once or repeatedly.
    pub struct JobDescription {
        /// What the tasks are told to do, passed on unread.
        pub payload: Arc<str>,
        /// The steps, in the order of their numbers.
        pub steps: Arc<[StepDescription]>,
        /// When the steps are due; `None` runs them once, at once.
        pub recurrence: Option<Recurrence>,
    }
}

value! { copy
    /// The due times of a repeated job.
    pub struct Recurrence {
        /// When the first occurrence is due, in wall time.
        pub first_due_at: Timestamp,
        /// The time between two occurrences.
        pub interval: Duration,
        /// The number of occurrences.
        pub count: u32,
    }
}

value! {
    /// A step: equal tasks that may run once the steps before it are done.
    #[derive(bon::Builder)]
    pub struct StepDescription {
        /// The number of tasks.
        pub count: u32,
        /// What each task needs.
        pub resources: Resources,
        /// The caller's rough estimate of a task's run time.
        #[builder(default)]
        pub estimated_run_time: Duration,
        /// The steps that must be done first.
        #[builder(default)]
        pub depends_on: SmallVec<[u32; 4]>,
        /// The tasks save their progress.
        #[builder(default)]
        pub checkpointing: bool,
        /// The tasks only work together.
        #[builder(default)]
        pub gang: bool,
        /// The tasks are slower on more than one rack.
        #[builder(default)]
        pub same_rack: bool,
        /// A label that the target must carry.
        pub required_label: Option<Label>,
        /// The rack that holds the data; the tasks are slower on any other.
        pub data_rack: Option<Label>,
        /// The most tasks of one occurrence of the step on one target.
        pub max_per_target: Option<u32>,
        /// Copies of a task may run beside each other.
        #[builder(default)]
        pub speculative: bool,
        /// The tasks run until the job is cancelled and are started again however they end.
        #[builder(default)]
        pub long_running: bool,
        /// The task takes only what the other tasks on its target leave over.
        #[builder(default)]
        pub best_effort: bool,
        /// The most tasks of a step that lasts that the scheduler's own orders may keep away from
        /// work at once; `None` for no limit.
        pub max_unavailable: Option<u32>,
        /// The limit of a serving task's response-time tail.
        pub response_time_limit: Option<Duration>,
    }
}

impl JobDescription {
    /// The number of occurrences, at least one.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.recurrence
            .map_or(1, |recurrence| recurrence.count.max(1))
    }

    /// When an occurrence is due in wall time; `None` if it is due at once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Timestamp> {
        let recurrence = self.recurrence?;
        Some(recurrence.first_due_at + recurrence.interval * occurrence)
    }

    /// The estimated run time of the longest chain of steps that begins with `first`.
    #[must_use]
    pub fn critical_path_from(&self, first: u32) -> Duration {
        let mut chains = vec![Duration::ZERO; self.steps.len()];
        // Steps come only after earlier ones, so those that follow a step have been looked at.
        for (number, step) in self.steps.iter().enumerate().rev() {
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            let chain = chains[number as usize] + step.estimated_run_time;
            chains[number as usize] = chain;
            for &earlier in &step.depends_on {
                if let Some(longest) = chains.get_mut(earlier as usize) {
                    *longest = (*longest).max(chain);
                }
            }
        }
        chains.get(first as usize).copied().unwrap_or_default()
    }

    /// The estimated run time of the longest chain of steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        let firsts = 0..u32::try_from(self.steps.len()).unwrap_or(u32::MAX);
        firsts
            .map(|first| self.critical_path_from(first))
            .max()
            .unwrap_or_default()
    }

    /// The number of tasks over all occurrences.
    #[must_use]
    pub fn task_count(&self) -> usize {
        let each: usize = self.steps.iter().map(|step| step.count as usize).sum();
        each.saturating_mul(self.occurrences() as usize)
    }

    /// The accelerators that the widest step needs at once.
    #[must_use]
    pub fn max_step_accelerators(&self) -> u64 {
        let widths = self.steps.iter();
        let widths = widths.map(|step| u64::from(step.count) * step.resources.accelerators);
        widths.max().unwrap_or(0)
    }

    /// True if a step's `after` names only earlier steps, and no step is empty.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        let ordered = |(number, step): (usize, &StepDescription)| {
            step.count > 0
                && step
                    .depends_on
                    .iter()
                    .all(|&earlier| (earlier as usize) < number)
        };
        !self.steps.is_empty()
            && self.task_count() <= MAX_JOB_TASKS
            && self.steps.iter().enumerate().all(ordered)
    }
}
