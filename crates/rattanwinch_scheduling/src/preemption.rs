//! Reservation and preemption for steps that do not fit into the free resources.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::Event;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::StepId;
use crate::active_run::DesiredState;
use crate::placement::Demand;
use crate::placement::Occupant;
use crate::placement::PreemptionPlan;
use crate::placement::plan_preemption;
use crate::waiting::WaitingStep;

/// The maximum work lost per preempted run set for an urgent step without a guarantee. By the
/// users' prices, a late urgent job costs about as much as a few hundred core-seconds of wasted
/// work, and the preempted job may be late as well.
const MAX_URGENT_PREEMPTION_LOSS_CORE_MS: u64 = 120_000;

/// The maximum age of the last checkpoint of a checkpointing task: the longest checkpoint interval
/// in the users' requirements.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_secs(2);

/// Runs that can only be stopped together: a single run, or the members of a gang.
pub(crate) struct RunSet {
    runs: Vec<RunId>,
    resources: SmallVec<[(TargetName, Resources); 1]>,
    priority: u32,
    organisation: Organisation,
    /// The work lost by stopping the runs, in core-milliseconds.
    loss: u64,
    stopping: bool,
}

impl Scheduler {
    /// Reserves resources for a blocked step, and preempts runs that it may displace.
    pub(crate) fn reserve_or_preempt(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        free: &mut BTreeMap<TargetName, Resources>,
        cached_sets: &mut Option<Vec<RunSet>>,
        now: Timestamp,
    ) {
        let sets = cached_sets.take().unwrap_or_else(|| self.run_sets(now));
        let candidates = self.candidates(waiting, demand, free, now);
        let mut guaranteed = BTreeMap::new();
        let occupants = occupants(&sets, |set| {
            let is_preemptible = self.is_preemptible(set, waiting, &mut guaranteed);
            (set.stopping || is_preemptible).then_some(set.loss)
        });
        let Some(plan) = plan_preemption(demand, &candidates, &occupants) else {
            self.reserve_earliest(waiting, demand, &sets, free, now);
            *cached_sets = Some(sets);
            return;
        };
        self.reserve(&plan, demand, free);
        if !self.preempt_sets(waiting, &sets, &plan) {
            *cached_sets = Some(sets);
        }
    }

    /// Reserves the targets that are expected to have enough free resources soonest.
    fn reserve_earliest(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        sets: &[RunSet],
        free: &mut BTreeMap<TargetName, Resources>,
        now: Timestamp,
    ) {
        // A reservation is for large requests, which smaller tasks would keep from starting; a step
        // that has waited only briefly needs none.
        if waiting.waited < self.limits.urgent_locality_wait {
            return;
        }
        let candidates = self.candidates(waiting, demand, free, now);
        let occupants = occupants(sets, |set| Some(self.remaining_work(set)));
        if let Some(plan) = plan_preemption(demand, &candidates, &occupants) {
            self.reserve(&plan, demand, free);
        }
    }

    fn reserve(
        &self,
        plan: &PreemptionPlan,
        demand: &Demand,
        free: &mut BTreeMap<TargetName, Resources>,
    ) {
        for target in &plan.targets {
            if let Some(available) = free.get_mut(target) {
                *available = available.minus(demand.resources);
            }
        }
    }

    /// Stops the run sets of the plan; returns false if none is left to stop.
    fn preempt_sets(
        &mut self,
        waiting: &WaitingStep,
        sets: &[RunSet],
        plan: &PreemptionPlan,
    ) -> bool {
        let chosen = plan.sets.iter().filter_map(|&set| sets.get(set));
        let victims: Vec<RunId> = chosen
            .filter(|set| !set.stopping)
            .flat_map(|set| set.runs.iter().cloned())
            .collect();
        if victims.is_empty() {
            return false;
        }
        self.stop_runs(|run| victims.contains(run));
        self.record_event(Event::Preempted {
            step: waiting.step.clone(),
            victims,
        });
        true
    }

    /// Groups the active runs into the sets that can only be stopped together.
    fn run_sets(&self, now: Timestamp) -> Vec<RunSet> {
        let mut sets: Vec<RunSet> = Vec::new();
        let mut last: Option<(&StepId, Option<u32>)> = None;
        // Runs are ordered by task, so the runs of a set are adjacent.
        for (run, active) in &self.active {
            let Some(job) = self.jobs.get(&run.task.step.job) else {
                continue;
            };
            let Some(step) = job.step(run.task.step.step) else {
                continue;
            };
            let key = (&run.task.step, (!step.gang).then_some(run.task.index));
            if last != Some(key) {
                last = Some(key);
                sets.push(RunSet {
                    runs: Vec::new(),
                    resources: SmallVec::new(),
                    priority: job.rules.priority,
                    organisation: job.accepted.organisation.clone(),
                    loss: 0,
                    stopping: true,
                });
            }
            let Some(set) = sets.last_mut() else { continue };
            let mut worked = now.since(active.placed_at);
            if step.checkpointing {
                worked = worked.min(MAX_CHECKPOINT_AGE);
            }
            let worked = u64::try_from(worked.as_millis()).unwrap_or(u64::MAX);
            set.loss += active.resources.weighted_cpu_millis() * worked / 1000;
            set.stopping &= active.desired == DesiredState::Stop;
            set.runs.push(run.clone());
            let target = &active.target.target;
            match set.resources.iter_mut().find(|(held, _)| held == target) {
                Some((_, resources)) => *resources = resources.plus(active.resources),
                None => set.resources.push((target.clone(), active.resources)),
            }
        }
        for set in sets.iter_mut().filter(|set| set.stopping) {
            set.loss = 0;
        }
        sets
    }

    /// Returns true if the run set may be preempted for the waiting step.
    ///
    /// A step within a guarantee preempts all runs that have no guarantee of their own. Otherwise,
    /// an urgent step preempts only less urgent runs whose lost work costs less than being late.
    ///
    /// `guaranteed` caches the result for other organisations.
    fn is_preemptible(
        &self,
        set: &RunSet,
        waiting: &WaitingStep,
        guaranteed: &mut BTreeMap<Organisation, bool>,
    ) -> bool {
        if !waiting.guaranteed {
            return waiting.priority == 0
                && set.priority > 0
                && set.loss <= MAX_URGENT_PREEMPTION_LOSS_CORE_MS;
        }
        if set.priority > 0 {
            return true;
        }
        set.organisation != waiting.organisation
            && !*guaranteed
                .entry(set.organisation.clone())
                .or_insert_with(|| self.within_guarantee(&set.organisation))
    }

    /// Returns the remaining work of the runs in per cent, as an estimate of which set ends first.
    fn remaining_work(&self, set: &RunSet) -> u64 {
        let runs = set.runs.iter().filter_map(|run| self.active.get(run));
        let left = runs.map(|active| u64::from(100_u32.saturating_sub(active.percent)));
        left.max().unwrap_or(0)
    }
}

/// Lists the run sets on each target with the work lost by stopping them.
fn occupants(
    sets: &[RunSet],
    mut loss: impl FnMut(&RunSet) -> Option<u64>,
) -> BTreeMap<TargetName, Vec<Occupant>> {
    let mut occupants: BTreeMap<TargetName, Vec<Occupant>> = BTreeMap::new();
    for (number, set) in sets.iter().enumerate() {
        let loss = loss(set);
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
