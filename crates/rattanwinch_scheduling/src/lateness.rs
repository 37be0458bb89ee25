use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::StepId;
use crate::job::Job;

/// Callers have no more use of a job that takes this many times its objective, by the users'
/// sheets; one that is late and ends before has some.
const LAST_USE: u32 = 3;

/// How a waiting step stands to its job's latency objective; the order is that of starting.
///
/// When there is more work than room, one order of arrival after the other makes each job late.
/// A job that can't be on time any more is worth a fraction to its caller, so it waits for those
/// that still can.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// It is on time if it starts by then.
    OnTime(Timestamp),
    /// It will be late, and is of no more use after this time.
    Late(Timestamp),
    /// It is of no more use, or nearly.
    Overdue(Timestamp),
}

impl Lateness {
    /// Judges a step at `wall`, the time of day.
    pub(crate) fn of(job: &Job, step: &StepId, wall: Timestamp) -> Self {
        let submitted = submitted_at(job, step);
        let Some(limit) = limit(job) else {
            return Self::OnTime(submitted);
        };
        let last_use = submitted + limit * LAST_USE;
        if wall > last_use {
            return Self::Overdue(submitted);
        }
        let latest_start = submitted + slack(job, step, limit);
        if wall > latest_start {
            Self::Late(last_use)
        } else {
            Self::OnTime(latest_start)
        }
    }
}

/// When the step's job was submitted, or its occurrence due.
fn submitted_at(job: &Job, step: &StepId) -> Timestamp {
    let accepted = &job.accepted;
    let due = accepted.description.due(step.occurrence);
    due.map_or(accepted.accepted_at, |due| due.max(accepted.accepted_at))
}

/// The time in which the job is on time.
fn limit(job: &Job) -> Option<Duration> {
    let objective = job.rules.objective?;
    Some(objective.limit(job.accepted.description.critical_path()))
}

/// What is left of the limit if the step starts at once.
fn slack(job: &Job, step: &StepId, limit: Duration) -> Duration {
    limit.saturating_sub(job.accepted.description.critical_path_from(step.step))
}
