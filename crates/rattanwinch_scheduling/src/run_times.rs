//! Run times of steps, learned from the progress and the ends of their runs.
//!
//! Answers estimates that are off by up to 0.9 of their value. All tasks of a step share one
//! estimate, so the runs of a step tell best how long its tasks take. A step without them goes by
//! the ratio of actual to estimated run times in its queue, and without samples by its estimate.
//! Times are those on a target of the usual speed. Only jobs with a latency objective are observed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::JobId;
use crate::JobSteps;
use crate::QueueName;
use crate::RunId;
use crate::Scheduler;
use crate::StepId;
use crate::active_runs::ActiveRun;
use crate::job::Job;
use crate::target_speeds::TargetSpeeds;
use crate::target_speeds::middle;

/// The number of runs kept for each step, the latest ones.
const MAX_RUNS_PER_STEP: usize = 16;

/// The least number of runs that tell the run time of their step: one may be a straggler, as 3 in
/// 100 tasks are.
const MIN_RUNS_PER_STEP: usize = 2;

/// The number of steps of closed jobs kept for each queue, the latest ones.
const MAX_STEPS_PER_QUEUE: usize = 64;

/// The least number of steps that tell the ratio of a queue.
const MIN_STEPS_PER_QUEUE: usize = 5;

/// The interval between two fits, that of the speeds.
const FIT_INTERVAL: Duration = Duration::from_millis(500);

/// The bounds of a ratio. By the users' requirements an estimate is off by up to 0.9 of its value, so
/// a task takes up to ten times as long.
const MAX_RATIO: f64 = 10.0;

/// A ratio that differs by less counts as one: the run times of a queue vary by more.
const MIN_RATIO_DIFFERENCE: f64 = 0.15;

/// Of ten steps, nine are over within the cautious run time.
const CAUTIOUS_TENTHS: usize = 9;

/// A run that had less left to do when it was first seen tells too little by its end.
const MAX_FIRST_PERCENT: u32 = 50;

/// How long a run takes on its target.
#[derive(Clone, Debug)]
struct ObservedTime {
    run: RunId,
    target: TargetName,
    time: Duration,
}

/// What is known of the run times of a step of an open job.
#[derive(Clone, Debug)]
struct StepTimes {
    queue: QueueName,
    estimate: Duration,
    runs: VecDeque<ObservedTime>,
    /// The usual run time, if there are enough runs.
    fitted: Option<Duration>,
}

impl StepTimes {
    /// Returns the logarithms of the run times on a usual target, in seconds.
    fn log_times(&self, speeds: &TargetSpeeds) -> impl Iterator<Item = f64> {
        self.runs.iter().map(|observed| {
            let usual = speeds.speed(&observed.target).usual_run_time(observed.time);
            usual.as_secs_f64().ln()
        })
    }

    /// Returns the logarithm of the ratio of the actual to the estimated run time.
    fn log_ratio(&self, speeds: &TargetSpeeds) -> Option<f64> {
        if self.estimate.is_zero() || self.runs.is_empty() {
            return None;
        }
        let mut log_times: Vec<_> = self.log_times(speeds).collect();
        let (lower, upper) = middle(&mut log_times);
        let log_ratio = f64::midpoint(lower, upper) - self.estimate.as_secs_f64().ln();
        Some(log_ratio.clamp(-MAX_RATIO.ln(), MAX_RATIO.ln()))
    }

    /// Fits the run time of the step, of which `expected` is the value without its runs. That counts
    /// as one more observation, so that a few bad ones change little.
    fn fit(&mut self, speeds: &TargetSpeeds, expected: Duration) {
        if self.runs.len() < MIN_RUNS_PER_STEP {
            return;
        }
        let mut log_times: Vec<_> = self.log_times(speeds).collect();
        if expected.is_zero() {
            let (lower, upper) = middle(&mut log_times);
            self.fitted = Duration::try_from_secs_f64(f64::midpoint(lower, upper).exp()).ok();
            return;
        }
        let expected = expected.as_secs_f64().ln();
        log_times.push(expected);
        let (lower, upper) = middle(&mut log_times);
        let log_time = if (lower - expected).abs() < (upper - expected).abs() {
            lower
        } else {
            upper
        };
        let estimate = self.estimate.as_secs_f64().ln();
        let log_time = log_time.clamp(estimate - MAX_RATIO.ln(), estimate + MAX_RATIO.ln());
        self.fitted = Duration::try_from_secs_f64(log_time.exp()).ok();
    }
}

/// The ratio of actual to estimated run times in a queue.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    median: f64,
    cautious: f64,
}

impl Ratio {
    /// Returns the ratio of a queue from those of its steps, if they are enough.
    fn fit(mut log_ratios: Vec<f64>) -> Option<Self> {
        if log_ratios.len() < MIN_STEPS_PER_QUEUE {
            return None;
        }
        let (lower, upper) = middle(&mut log_ratios);
        // `middle` has sorted them.
        let cautious = log_ratios[(log_ratios.len() - 1) * CAUTIOUS_TENTHS / 10];
        let median = f64::midpoint(lower, upper).exp();
        Some(Self {
            median: if (median - 1.0).abs() < MIN_RATIO_DIFFERENCE {
                1.0
            } else {
                median
            },
            cautious: cautious.exp().max(median).max(1.0),
        })
    }
}

/// The run times of the steps of an occurrence, and the critical paths that follow from them.
#[derive(Clone, Debug)]
struct OccurrenceTimes {
    /// The run time of each step: the one that its runs show, or the estimate.
    run_times: Vec<Duration>,
    /// The run time of the critical path that begins with each step.
    paths: Vec<Duration>,
    longest_path: Duration,
    /// The run times have changed since the paths were computed.
    is_outdated: bool,
}

impl OccurrenceTimes {
    fn new(steps: &JobSteps) -> Self {
        let run_times = steps.iter().map(|step| step.estimated_run_time);
        Self {
            run_times: run_times.collect(),
            paths: Vec::new(),
            longest_path: Duration::ZERO,
            is_outdated: true,
        }
    }

    fn set(&mut self, step: u32, run_time: Duration) {
        if let Some(known) = self.run_times.get_mut(step as usize) {
            self.is_outdated |= *known != run_time;
            *known = run_time;
        }
    }

    fn update_paths(&mut self, steps: &JobSteps) {
        if std::mem::take(&mut self.is_outdated) {
            self.paths = steps.paths_by(&self.run_times);
            self.longest_path = self.paths.iter().copied().max().unwrap_or_default();
        }
    }
}

/// The run times of the steps of open jobs, and their ratios to the estimates by queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    /// The steps that are not done.
    steps: BTreeMap<StepId, StepTimes>,
    /// The occurrences of open jobs with a step whose runs show its run time.
    occurrences: BTreeMap<JobId, BTreeMap<u32, OccurrenceTimes>>,
    /// The logarithms of the ratios of steps that are done and of those of closed jobs.
    closed: BTreeMap<QueueName, VecDeque<f64>>,
    ratios: BTreeMap<QueueName, Ratio>,
    next_fit_at: Timestamp,
}

impl RunTimes {
    /// Returns the expected run time of tasks of a queue with an estimate.
    pub(crate) fn expected(&self, queue: &QueueName, estimate: Duration) -> Duration {
        let ratio = self.ratios.get(queue);
        ratio.map_or(estimate, |ratio| scale(estimate, ratio.median))
    }

    /// Returns a run time that most tasks of a queue with an estimate don't exceed.
    pub(crate) fn cautious(&self, queue: &QueueName, estimate: Duration) -> Duration {
        let ratio = self.ratios.get(queue);
        ratio.map_or(estimate, |ratio| scale(estimate, ratio.cautious))
    }

    /// Returns the run time of a step's tasks that its own runs show, if there are enough.
    pub(crate) fn observed(&self, step: &StepId) -> Option<Duration> {
        self.steps.get(step)?.fitted
    }

    /// Returns the run time of the critical path that begins with a step, and that of the longest one
    /// of its occurrence.
    pub(crate) fn critical_paths(&self, job: &Job, step: &StepId) -> (Duration, Duration) {
        let observed = self.occurrences.get(&step.job);
        let observed = observed.and_then(|job| job.get(&step.occurrence));
        if let Some(observed) = observed {
            let path = observed.paths.get(step.step as usize).copied();
            return (path.unwrap_or_default(), observed.longest_path);
        }
        let steps = &job.accepted.description.steps;
        (steps.path_from(step.step), steps.critical_path())
    }

    fn observe(&mut self, job: &Job, run: &RunId, target: &TargetName, time: Duration) {
        let Some(step) = job.step(run.task.step.step) else {
            return;
        };
        let is_observed = job.rules.objective.is_some() && !step.long_running;
        // The members of a gang go on for a while after the first of them is done.
        let is_over = job.state().is_final() || job.is_step_done(&run.task.step);
        if !is_observed || is_over || time.is_zero() {
            return;
        }
        let times = self.steps.entry(run.task.step.clone());
        let times = times.or_insert_with(|| StepTimes {
            queue: job.accepted.queue.clone(),
            estimate: step.estimated_run_time,
            runs: VecDeque::new(),
            fitted: None,
        });
        if let Some(known) = times.runs.iter_mut().find(|known| known.run == *run) {
            known.time = time;
            return;
        }
        if times.runs.len() >= MAX_RUNS_PER_STEP {
            times.runs.pop_front();
        }
        times.runs.push_back(ObservedTime {
            run: run.clone(),
            target: target.clone(),
            time,
        });
    }

    /// Fits the run times to the observed ones, if it is time. Of steps that are done and of closed
    /// jobs, only the ratio of each step is kept.
    pub(crate) fn fit_if_due(
        &mut self,
        speeds: &TargetSpeeds,
        jobs: &BTreeMap<JobId, Job>,
        now: Timestamp,
    ) {
        if now < self.next_fit_at || (self.steps.is_empty() && self.occurrences.is_empty()) {
            return;
        }
        self.next_fit_at = now + FIT_INTERVAL;
        let open = |job: &JobId| jobs.get(job).filter(|job| !job.state().is_final());
        self.occurrences.retain(|job, _| open(job).is_some());
        self.fit_ratios(speeds, |step| {
            open(&step.job).is_some_and(|job| !job.is_step_done(step))
        });
        for (step, times) in &mut self.steps {
            let ratio = self.ratios.get(&times.queue);
            let ratio = ratio.map_or(1.0, |ratio| ratio.median);
            times.fit(speeds, scale(times.estimate, ratio));
            if let (Some(fitted), Some(job)) = (times.fitted, open(&step.job)) {
                let of_job = self.occurrences.entry(step.job.clone()).or_default();
                let new = || OccurrenceTimes::new(&job.accepted.description.steps);
                let occurrence = of_job.entry(step.occurrence).or_insert_with(new);
                occurrence.set(step.step, fitted);
            }
        }
        self.steps
            .retain(|step, _| open(&step.job).is_some_and(|job| !job.is_step_done(step)));
        for (job, occurrences) in &mut self.occurrences {
            if let Some(job) = open(job) {
                for occurrence in occurrences.values_mut() {
                    occurrence.update_paths(&job.accepted.description.steps);
                }
            }
        }
    }

    /// Fits the ratio of each queue, and keeps those of steps that are over.
    fn fit_ratios(&mut self, speeds: &TargetSpeeds, is_open: impl Fn(&StepId) -> bool) {
        let mut log_ratios: BTreeMap<QueueName, Vec<f64>> = BTreeMap::new();
        for (queue, closed) in &self.closed {
            log_ratios.insert(queue.clone(), closed.iter().copied().collect());
        }
        for (step, times) in &self.steps {
            let Some(log_ratio) = times.log_ratio(speeds) else {
                continue;
            };
            let of_queue = log_ratios.entry(times.queue.clone()).or_default();
            of_queue.push(log_ratio);
            if !is_open(step) {
                let closed = self.closed.entry(times.queue.clone()).or_default();
                if closed.len() >= MAX_STEPS_PER_QUEUE {
                    closed.pop_front();
                }
                closed.push_back(log_ratio);
            }
        }
        let ratios = log_ratios.into_iter();
        let ratios = ratios.filter_map(|(queue, ratios)| Some((queue, Ratio::fit(ratios)?)));
        self.ratios = ratios.collect();
    }
}

/// Returns the multiple of an estimate, which callers may state as long as they like.
fn scale(estimate: Duration, ratio: f64) -> Duration {
    Duration::try_from_secs_f64(estimate.as_secs_f64() * ratio).unwrap_or(estimate)
}

impl Scheduler {
    /// Returns the ratio of actual to estimated run times of each queue with enough samples.
    pub fn run_time_ratios(&self) -> impl Iterator<Item = (&QueueName, f64)> {
        let ratios = self.run_times.ratios.iter();
        ratios.map(|(queue, ratio)| (queue, ratio.median))
    }

    /// Returns the expected run time of a step's tasks on a target of the usual speed.
    pub(crate) fn expected_run_time(&self, job: &Job, step: &StepId) -> Duration {
        let Some(description) = job.step(step.step) else {
            return Duration::ZERO;
        };
        let estimate = description.estimated_run_time;
        if job.rules.objective.is_none() {
            return estimate;
        }
        let observed = self.run_times.observed(step);
        observed.unwrap_or_else(|| self.run_times.expected(&job.accepted.queue, estimate))
    }

    /// Returns a run time on a target of the usual speed that most of a step's tasks don't exceed.
    pub(crate) fn cautious_run_time(&self, job: &Job, step: &StepId) -> Duration {
        let Some(description) = job.step(step.step) else {
            return Duration::ZERO;
        };
        let estimate = description.estimated_run_time;
        if job.rules.objective.is_none() {
            return estimate;
        }
        let observed = self.run_times.observed(step);
        let by_queue = || self.run_times.cautious(&job.accepted.queue, estimate);
        observed.unwrap_or_else(by_queue).max(estimate)
    }

    /// Learns from the rate of a run in hand, in per cent a millisecond.
    pub(crate) fn learn_from_rate(
        &mut self,
        run: &RunId,
        target: &TargetName,
        rate: f64,
        now: Timestamp,
    ) {
        self.speeds.observe(target, run, rate, now);
        if let Some(job) = self.jobs.get(&run.task.step.job)
            && let Ok(time) = Duration::try_from_secs_f64(0.1 / rate)
        {
            self.run_times.observe(job, run, target, time);
        }
    }

    /// Learns from a run that is done, if it was too short to show a rate.
    pub(crate) fn learn_from_end(&mut self, run: &RunId, now: Timestamp) {
        let step = &run.task.step;
        let (Some(active), Some(job)) = (self.active.get(run), self.jobs.get(&step.job)) else {
            return;
        };
        let is_gang = job.step(step.step).is_some_and(|step| step.gang);
        let known = self.run_times.steps.get(step);
        let known =
            known.is_some_and(|known| is_gang || known.runs.iter().any(|known| known.run == *run));
        if known {
            return;
        }
        let Some(time) = whole_run_time(active, now) else {
            return;
        };
        // The members of a gang end together, with the one on the slowest target.
        let mut first = run.clone();
        first.task.index = 0;
        let members = self.active.range(first..);
        let members = members.take_while(|(other, _)| is_gang && other.task.step == *step);
        let targets = members.map(|(_, member)| &member.target.target);
        let targets = targets.chain([&active.target.target]);
        let slowest = targets.min_by_key(|&target| self.speeds.speed(target).percent());
        if let Some(target) = slowest.cloned() {
            self.run_times.observe(job, run, &target, time);
        }
    }
}

/// Returns how long a run that ends now would have taken from its begin. A run that a previous
/// scheduler started, or that resumes from a checkpoint, had done a part before.
fn whole_run_time(active: &ActiveRun, now: Timestamp) -> Option<Duration> {
    let elapsed = now.since(active.started_at?);
    let first_percent = active.first_progress.map_or(0, |(_, percent)| percent);
    (first_percent <= MAX_FIRST_PERCENT)
        .then(|| elapsed.saturating_mul(100) / (100 - first_percent))
}
