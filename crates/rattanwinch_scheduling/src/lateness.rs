use std::time::Duration;

use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

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
        let description = &job.accepted.description;
        let run_times = run_times_of_steps(job, step, run_times);
        let path_from =
            |first| description.critical_path_by(first, |number, _| run_times[number as usize]);
        let firsts = 0..u32::try_from(run_times.len()).unwrap_or(u32::MAX);
        let limit = objective.limit(firsts.map(path_from).max().unwrap_or_default());
        let useful_until = submitted + limit.saturating_mul(USEFUL_OBJECTIVE_MULTIPLE);
        if wall > useful_until {
            return Self::Overdue(submitted);
        }
        let latest_start = submitted + limit.saturating_sub(path_from(step.step));
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

/// Returns the run time of each step of an occurrence: the one that its runs show, or the estimate.
fn run_times_of_steps(job: &Job, step: &StepId, run_times: &RunTimes) -> SmallVec<[Duration; 4]> {
    let steps = (0_u32..).zip(job.accepted.description.steps.iter());
    let run_times = steps.map(|(number, description)| {
        let step = StepId {
            job: step.job.clone(),
            occurrence: step.occurrence,
            step: number,
        };
        let observed = run_times.observed(&step);
        observed.unwrap_or(description.estimated_run_time)
    });
    run_times.collect()
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
