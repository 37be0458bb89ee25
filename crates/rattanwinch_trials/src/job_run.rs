use std::time::Duration;

use rattanwinch_decisions::Placement;
use rattanwinch_types::Timestamp;

use crate::measures::Measures;
use crate::measures::Times;
use crate::workload::TrialJob;

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It hasn't arrived, or has ended.
    Absent,
    /// It is queued.
    Queued,
    /// Its tasks run.
    Running,
    /// Its tasks are being checkpointed or stopped.
    Leaving,
}

/// The course of one job.
#[derive(Clone, Debug)]
pub(crate) struct JobRun {
    /// Where it stands.
    pub stage: Stage,
    /// The zone it was submitted to.
    pub zone: usize,
    /// Counts starts, so that events of earlier ones are recognised.
    pub attempt: u32,
    /// What it has completed and saved.
    pub saved: Duration,
    /// When it last started.
    pub started_at: Timestamp,
    /// Whether it ever started.
    pub has_started: bool,
    /// How often its task failed.
    pub failures: u32,
    /// Where it runs.
    pub placement: Placement,
    /// When it ended, and whether it succeeded.
    pub ended: Option<(Timestamp, bool)>,
}

impl JobRun {
    pub(crate) fn new() -> Self {
        Self {
            stage: Stage::Absent,
            zone: 0,
            attempt: 0,
            saved: Duration::ZERO,
            started_at: Timestamp::ZERO,
            has_started: false,
            failures: 0,
            placement: Placement { tasks: Vec::new() },
            ended: None,
        }
    }
}

/// The figures that follow from the jobs' ends; a job without an end counts until `end`.
pub(crate) fn job_measures(runs: &[JobRun], jobs: &[TrialJob], end: Timestamp) -> Measures {
    let (mut completion, mut slowdown) = (Times::new(), Times::new());
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
