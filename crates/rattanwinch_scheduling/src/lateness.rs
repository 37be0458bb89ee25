use std::time::Duration;

use rattanwinch_types::Timestamp;

use crate::AcceptedJob;
use crate::StepId;
use crate::job::Job;
use crate::run_times::RunTimes;

/// A job is of no use to its caller after this multiple of its latency objective, by the users'
/// requirements. A late job that ends before has some use.
pub(crate) const USEFUL_OBJECTIVE_MULTIPLE: u32 = 3;

/// The lateness of a waiting step against its job's latency objective; orders the queue.
///
/// Under overload, starting jobs in the order of arrival makes every job late. A job that can no
/// longer be on time is worth less to its caller, so jobs that can still be on time go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// The job is on time if the step starts by this time.
    OnTime(Timestamp),
    /// The job will be late, and is of no use after this time.
    Late(Timestamp),
    /// The job is of no use any more; holds its submission time.
    Overdue(Timestamp),
}

impl Lateness {
    /// Computes the lateness of a step at the wall-clock time `wall`.
    ///
    /// The objective is a multiple of the actual run time of the critical path. Steps whose runs show
    /// their run time count with it, in the limit as well as in the time still needed, so that a
    /// poor estimate neither makes a job late nor hides that it is. This orders the queue only.
    pub(crate) fn of(job: &Job, step: &StepId, run_times: &RunTimes, wall: Timestamp) -> Self {
        let submitted = submitted_at(job, step);
        let Some(objective) = job.rules.objective else {
            return Self::OnTime(submitted);
        };
        let (path, longest_path) = run_times.critical_paths(job, step);
        let limit = objective.limit(longest_path);
        let useful_until = submitted + limit.saturating_mul(USEFUL_OBJECTIVE_MULTIPLE);
        if wall > useful_until {
            return Self::Overdue(submitted);
        }
        let latest_start = submitted + limit.saturating_sub(path);
        if wall > latest_start {
            Self::Late(useful_until)
        } else {
            Self::OnTime(latest_start)
        }
    }
}

impl Lateness {
    /// Returns the time until the latest start for being on time; zero if the step is late.
    pub(crate) fn slack(self, wall: Timestamp) -> Duration {
        match self {
            Self::OnTime(latest_start) => latest_start.since(wall),
            Self::Late(_) | Self::Overdue(_) => Duration::ZERO,
        }
    }
}

/// Returns when the job was submitted, or when the occurrence was due if that is later.
pub(crate) fn submitted_at(job: &Job, step: &StepId) -> Timestamp {
    let accepted = &job.accepted;
    let due = accepted.description.due(step.occurrence);
    due.map_or(accepted.accepted_at, |due| due.max(accepted.accepted_at))
}

/// Returns the time limit of the job's latency objective.
pub(crate) fn limit(job: &Job) -> Option<Duration> {
    let objective = job.rules.objective?;
    Some(objective.limit(job.accepted.description.critical_path()))
}

/// Returns how long after its submission a job is of use to its caller; `None` without an objective.
pub(crate) fn useful_time(job: &AcceptedJob) -> Option<Duration> {
    let objective = job.rules.objective?;
    let limit = objective.limit(job.description.critical_path());
    Some(limit.saturating_mul(USEFUL_OBJECTIVE_MULTIPLE))
}
