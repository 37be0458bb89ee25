use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::JobId;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::StepId;
use crate::active_runs::ActiveRun;
use crate::active_runs::DesiredState;
use crate::delay_cost::EndLimits;
use crate::delay_cost::cost_of_lateness;
use crate::placement::Loss;
use crate::placement::Occupant;

/// The work lost by stopping a checkpointing task. It saves its state at the stop, and restoring it
/// takes up to 600 ms by the users' requirements.
pub(crate) const RESTORE_TIME: Duration = Duration::from_millis(600);

/// After this many preemptions a task is only stopped for a guarantee that nothing else keeps.
pub(crate) const MAX_PREEMPTIONS: u32 = 2;

/// The least observed progress, in per cent, from which the end of a run is estimated.
const MIN_ESTIMATE_PERCENT: u32 = 20;

/// Runs that can only be stopped together: a single run, or the members of a gang.
pub(crate) struct RunSet {
    pub runs: Vec<RunId>,
    pub resources: SmallVec<[(TargetName, Resources); 1]>,
    pub step: StepId,
    /// The number of runs that make their tasks available.
    pub available_runs: usize,
    pub priority: u32,
    pub organisation: Organisation,
    pub job: JobId,
    /// What is lost by stopping the runs.
    pub loss: Loss,
    /// The highest number of preemptions of one of the tasks.
    pub preemptions: u32,
    /// When the runs are expected to have ended by themselves, at the earliest.
    remaining_time: Option<Duration>,
    /// The time after which the runs should have ended by themselves; `None` if they last.
    pub expected_remaining: Option<Duration>,
    /// When the runs must have ended; `None` if their job has no objective.
    end_limits: Option<EndLimits>,
    /// The work that is repeated, or the restore, as a run time.
    repeated_time: Duration,
    /// The number of tasks of the step.
    step_tasks: u32,
    /// The runs are stopped, or awaited by a reclaim.
    pub leaving: bool,
}

impl RunSet {
    /// Returns true if the runs are expected to have ended by themselves in time.
    pub(crate) fn ends_within(&self, wait: Duration) -> bool {
        self.remaining_time
            .is_some_and(|remaining| remaining < wait)
    }

    /// Returns true if the job of the runs becomes late, or of no use, by stopping them. They start
    /// again after `wait`.
    pub(crate) fn becomes_late(&self, wait: Duration) -> bool {
        let delay = wait.saturating_add(self.repeated_time);
        let limits = self.end_limits.zip(self.expected_remaining);
        limits.is_some_and(|(limits, remaining)| limits.are_missed_by(remaining, delay))
    }

    /// Returns what is lost by stopping the runs, which start again after `wait`.
    pub(crate) fn loss_after(&self, wait: Duration) -> Loss {
        let mut loss = self.loss;
        if self.becomes_late(wait) {
            let share = cost_of_lateness(self.priority).saturating_mul(self.runs.len() as u64);
            loss.lateness = share / u64::from(self.step_tasks.max(1));
        }
        loss
    }
}

impl Scheduler {
    /// Groups the active runs into the sets that can only be stopped together.
    pub(crate) fn run_sets(
        &self,
        awaited: &BTreeSet<RunId>,
        now: Timestamp,
        wall: Timestamp,
    ) -> Vec<RunSet> {
        let mut sets: Vec<RunSet> = Vec::new();
        let mut last: Option<(&StepId, Option<u32>)> = None;
        let mut run_time = Duration::ZERO;
        // Runs are ordered by task, so the runs of a set are adjacent.
        for (run, active) in self.active.iter() {
            let Some(job) = self.jobs.get(&run.task.step.job) else {
                continue;
            };
            let Some(step) = job.step(run.task.step.step) else {
                continue;
            };
            if last.is_none_or(|(last, _)| *last != run.task.step) {
                run_time = self.expected_run_time(job, &run.task.step);
            }
            let key = (&run.task.step, (!step.gang).then_some(run.task.index));
            if last != Some(key) {
                last = Some(key);
                sets.push(RunSet {
                    runs: Vec::new(),
                    resources: SmallVec::new(),
                    step: run.task.step.clone(),
                    available_runs: 0,
                    priority: job.rules.priority,
                    organisation: job.accepted.organisation.clone(),
                    job: job.id().clone(),
                    loss: Loss::default(),
                    preemptions: 0,
                    remaining_time: Some(Duration::ZERO),
                    expected_remaining: (!step.long_running).then_some(Duration::ZERO),
                    end_limits: EndLimits::of(job, &run.task.step, wall),
                    repeated_time: Duration::ZERO,
                    step_tasks: step.count,
                    leaving: true,
                });
            }
            let Some(set) = sets.last_mut() else { continue };
            let task = job.task(&run.task);
            let lost_before = task.map_or(0, |task| task.lost_core_millis);
            let preemptions = task.map_or(0, |task| task.preemptions);
            let lost = lost_work(active, step.checkpointing, now).saturating_add(lost_before);
            set.loss = set.loss.plus(Loss {
                worn_out: u32::from(preemptions >= MAX_PREEMPTIONS),
                lateness: 0,
                core_millis: lost,
            });
            let repeated_time = repeated_time(active, step.checkpointing, now);
            set.repeated_time = set.repeated_time.max(repeated_time);
            set.preemptions = set.preemptions.max(preemptions);
            set.remaining_time = match (set.remaining_time, remaining_time(active, now)) {
                (Some(set), Some(run)) if !step.long_running => Some(set.max(run)),
                _ => None,
            };
            let speed = self.speeds.speed(&active.target.target);
            let expected = expected_remaining(active, speed.run_time(run_time), now);
            set.expected_remaining = set.expected_remaining.map(|set| set.max(expected));
            set.leaving &= active.desired() == DesiredState::Stop || awaited.contains(run);
            set.available_runs += usize::from(active.is_available());
            set.runs.push(run.clone());
            let target = &active.target.target;
            match set.resources.iter_mut().find(|(held, _)| held == target) {
                Some((_, resources)) => *resources = resources.plus(active.resources),
                None => set.resources.push((target.clone(), active.resources)),
            }
        }
        sets
    }
}

/// Returns the work of a time on the resources, in core-milliseconds.
pub(crate) fn core_millis(resources: Resources, time: Duration) -> u64 {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    resources.weighted_cpu_millis().saturating_mul(millis) / 1000
}

/// Returns the work that stopping a run loses, in core-milliseconds.
pub(crate) fn lost_work(active: &ActiveRun, checkpointing: bool, now: Timestamp) -> u64 {
    core_millis(active.resources, repeated_time(active, checkpointing, now))
}

/// Returns the run time that stopping a run loses: its work, or the restore if it saves its state.
fn repeated_time(active: &ActiveRun, checkpointing: bool, now: Timestamp) -> Duration {
    let worked = now.since(active.started_at.unwrap_or(active.placed_at));
    if checkpointing {
        worked.min(RESTORE_TIME)
    } else {
        worked
    }
}

/// Estimates the remaining time of a run from the progress that this scheduler has seen.
fn remaining_time(active: &ActiveRun, now: Timestamp) -> Option<Duration> {
    let (first_at, first_percent) = active.first_progress?;
    let gained = active.percent.saturating_sub(first_percent);
    if gained < MIN_ESTIMATE_PERCENT || active.desired() == DesiredState::Stop {
        return None;
    }
    let left = 100_u32.saturating_sub(active.percent);
    let remaining = active.progressed_at.since(first_at) * left / gained;
    Some(remaining.saturating_sub(now.since(active.progressed_at)))
}

/// Returns how long a run should still take, from its progress or the expected run time of its step
/// on its target. Once a run has taken longer than expected, it is expected to take as long again.
fn expected_remaining(active: &ActiveRun, run_time: Duration, now: Timestamp) -> Duration {
    let elapsed = now.since(active.started_at.unwrap_or(active.placed_at));
    let estimated = run_time.saturating_sub(elapsed);
    remaining_time(active, now).unwrap_or(if estimated.is_zero() {
        elapsed
    } else {
        estimated
    })
}

/// Lists the run sets on each target that do not leave anyway, with the loss of stopping them.
pub(crate) fn occupants(
    sets: &[RunSet],
    mut loss: impl FnMut(usize, &RunSet) -> Option<Loss>,
) -> BTreeMap<TargetName, Vec<Occupant>> {
    let mut occupants: BTreeMap<TargetName, Vec<Occupant>> = BTreeMap::new();
    for (number, set) in sets.iter().enumerate().filter(|(_, set)| !set.leaving) {
        let Some(loss) = loss(number, set) else {
            continue;
        };
        for (target, resources) in &set.resources {
            occupants.entry(target.clone()).or_default().push(Occupant {
                set: number,
                resources: *resources,
                loss,
            });
        }
    }
    occupants
}
