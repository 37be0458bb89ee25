//! What stopping a run costs the caller of its job, beside the lost work.

use std::time::Duration;

use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::StepId;
use crate::job::Job;
use crate::lateness::USEFUL_OBJECTIVE_MULTIPLE;
use crate::lateness::limit;
use crate::lateness::submitted_at;

/// The cost of a job of the highest priority that becomes late.
const URGENT_COST: u64 = 1 << 20;

/// Returns the cost to its caller of a job that becomes late, or of no use when it is late.
///
/// A job counts twice as much as one of the next priority: by the users' requirements an urgent job
/// loses as much by being late as two of the middle kind or six of the batch kind.
pub(crate) const fn cost_of_lateness(priority: u32) -> u64 {
    match URGENT_COST.checked_shr(priority) {
        Some(cost) => cost,
        None => 0,
    }
}

value! { copy
    /// The times left to the runs of a step, after which its job is late, and of no use.
    pub(crate) struct EndLimits {
        on_time: Duration,
        useful: Duration,
    }
}

impl EndLimits {
    /// Returns the limits at the wall-clock time `wall`; `None` for a job without an objective.
    pub(crate) fn of(job: &Job, step: &StepId, wall: Timestamp) -> Option<Self> {
        let limit = limit(job)?;
        let description = &job.accepted.description;
        let own_time = job.step(step.step)?.estimated_run_time;
        let later_steps = description
            .critical_path_from(step.step)
            .saturating_sub(own_time);
        let submitted = submitted_at(job, step);
        let left = |limit: Duration| (submitted + limit.saturating_sub(later_steps)).since(wall);
        Some(Self {
            on_time: left(limit),
            useful: left(limit.saturating_mul(USEFUL_OBJECTIVE_MULTIPLE)),
        })
    }

    /// Returns true if runs that should end after `remaining` are in time, and no longer after a
    /// further `delay`.
    pub(crate) fn are_missed_by(self, remaining: Duration, delay: Duration) -> bool {
        let delayed = remaining.saturating_add(delay);
        [self.on_time, self.useful]
            .iter()
            .any(|&limit| remaining <= limit && delayed > limit)
    }
}
