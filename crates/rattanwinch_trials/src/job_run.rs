use std::time::Duration;

use rattanwinch_decisions::Placement;
use rattanwinch_types::Timestamp;

use crate::measures::DurationHistogram;
use crate::measures::Measures;
use crate::workload::TrialJob;

/// The stage of a job in a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The job has not arrived, or has ended.
    Absent,
    /// The job is queued.
    Queued,
    /// The tasks of the job run.
    Running,
    /// The tasks of the job are being checkpointed or stopped.
    Evicting,
}

/// The state of a job in a trial.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    /// The stage of the job.
    pub stage: Stage,
    /// The index of the zone that the job was submitted to.
    pub zone: usize,
    /// The number of starts, which identifies events of earlier starts.
    pub attempt: u32,
    /// The run time that checkpoints have saved.
    pub saved_progress: Duration,
    /// When the job last started.
    pub started_at: Timestamp,
    /// True if the job has ever started.
    pub has_started: bool,
    /// The number of failures.
    pub failures: u32,
    /// The current placement.
    pub placement: Placement,
    /// When the job ended, and whether it succeeded.
    pub ended: Option<(Timestamp, bool)>,
}

impl JobRun {
    pub(crate) fn new() -> Self {
        Self {
            stage: Stage::Absent,
            zone: 0,
            attempt: 0,
            saved_progress: Duration::ZERO,
            started_at: Timestamp::ZERO,
            has_started: false,
            failures: 0,
            placement: Placement { tasks: Vec::new() },
            ended: None,
        }
    }
}

/// Computes the measures from the ends of the jobs; a job without an end counts until `end`.
pub(crate) fn job_measures(runs: &[JobRun], jobs: &[TrialJob], end: Timestamp) -> Measures {
    let (mut completion, mut slowdown) = (DurationHistogram::new(), DurationHistogram::new());
    let mut measures = Measures::default();
    for (run, job) in runs.iter().zip(jobs) {
        let at = match run.ended {
            Some((at, true)) => {
                measures.succeeded += 1;
                at
            }
            Some((_, false)) => {
                measures.not_completed += 1;
                continue;
            }
            None => {
                measures.unfinished += 1;
                end
            }
        };
        let took = at.since(job.arrives_at);
        completion.record(took);
        slowdown.record_ratio(took.as_secs_f64() / job.run_time.as_secs_f64());
    }
    Measures {
        completion_s: completion.percentiles(),
        slowdown: slowdown.percentiles(),
        ..measures
    }
}
