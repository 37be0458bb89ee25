//! Room for steps that are blocked: kept free, or made by stopping what has less right to it.

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
use crate::active_run::Intent;
use crate::placement::Demand;
use crate::placement::Occupant;
use crate::placement::Plan;
use crate::placement::plan;
use crate::waiting::Waiting;

/// The most work that is thrown away for an urgent step without a guarantee, in thousandths of a
/// core-second for each set of runs. Being late costs an urgent job about as much as a few hundred
/// core-seconds of wasted work, by the users' price lists, and what is displaced may come late too.
const LOSS_FOR_URGENCY: u64 = 120_000;

/// The saved states of checkpointing tasks are at most this old: the longest period on the users'
/// sheets.
const CHECKPOINT_AGE: Duration = Duration::from_secs(2);

/// Runs that end together.
pub(crate) struct RunSet {
    runs: Vec<RunId>,
    holds: SmallVec<[(TargetName, Resources); 1]>,
    priority: u32,
    organisation: Organisation,
    loss: u64,
    stopping: bool,
}

impl Scheduler {
    /// Keeps room free for a blocked step and, within a guarantee, stops what is in its way.
    pub(crate) fn make_room(
        &mut self,
        waiting: &Waiting,
        demand: &Demand,
        free: &mut BTreeMap<TargetName, Resources>,
        sets: &mut Option<Vec<RunSet>>,
        now: Timestamp,
    ) {
        let known = sets.take().unwrap_or_else(|| self.run_sets(now));
        let candidates = self.candidates(waiting, demand, free, now);
        let mut guaranteed = BTreeMap::new();
        let occupants = occupants(&known, |set| {
            let gives_way = self.gives_way(set, waiting, &mut guaranteed);
            (set.stopping || gives_way).then_some(set.loss)
        });
        let Some(found) = plan(demand, &candidates, &occupants) else {
            self.await_room(waiting, demand, &known, free, now);
            *sets = Some(known);
            return;
        };
        self.reserve(&found, demand, free);
        if !self.stop_sets(waiting, &known, &found) {
            *sets = Some(known);
        }
    }

    /// Keeps the targets free that are likely to have room first.
    fn await_room(
        &mut self,
        waiting: &Waiting,
        demand: &Demand,
        sets: &[RunSet],
        free: &mut BTreeMap<TargetName, Resources>,
        now: Timestamp,
    ) {
        // Only wide needs starve while smaller tasks take each gap.
        if waiting.waited < self.limits.urgent_locality_wait {
            return;
        }
        let candidates = self.candidates(waiting, demand, free, now);
        let occupants = occupants(sets, |set| Some(self.remaining_work(set)));
        if let Some(found) = plan(demand, &candidates, &occupants) {
            self.reserve(&found, demand, free);
        }
    }

    fn reserve(&self, plan: &Plan, demand: &Demand, free: &mut BTreeMap<TargetName, Resources>) {
        for target in &plan.slots {
            if let Some(room) = free.get_mut(target) {
                *room = room.minus(demand.resources);
            }
        }
    }

    /// Stops what the plan is in need of; false if nothing more has to stop.
    fn stop_sets(&mut self, waiting: &Waiting, sets: &[RunSet], plan: &Plan) -> bool {
        let chosen = plan.sets.iter().filter_map(|&set| sets.get(set));
        let victims: Vec<RunId> = chosen
            .filter(|set| !set.stopping)
            .flat_map(|set| set.runs.iter().cloned())
            .collect();
        if victims.is_empty() {
            return false;
        }
        self.stop_runs(|run| victims.contains(run));
        self.note(Event::Preempted {
            step: waiting.step.clone(),
            victims,
        });
        true
    }

    /// The runs that are at work, by what can be stopped without breaking more.
    fn run_sets(&self, now: Timestamp) -> Vec<RunSet> {
        let mut sets: Vec<RunSet> = Vec::new();
        let mut last: Option<(&StepId, Option<u32>)> = None;
        // Runs are in the order of their tasks, so those of a set follow each other.
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
                    holds: SmallVec::new(),
                    priority: job.rules.priority,
                    organisation: job.accepted.organisation.clone(),
                    loss: 0,
                    stopping: true,
                });
            }
            let Some(set) = sets.last_mut() else { continue };
            let mut worked = now.since(active.placed_at);
            if step.checkpointing {
                worked = worked.min(CHECKPOINT_AGE);
            }
            let worked = u64::try_from(worked.as_millis()).unwrap_or(u64::MAX);
            set.loss += active.resources.weighted_cpu_millis() * worked / 1000;
            set.stopping &= active.intent == Intent::Stop;
            set.runs.push(run.clone());
            let target = &active.target.target;
            match set.holds.iter_mut().find(|(held, _)| held == target) {
                Some((_, holds)) => *holds = holds.plus(active.resources),
                None => set.holds.push((target.clone(), active.resources)),
            }
        }
        for set in sets.iter_mut().filter(|set| set.stopping) {
            set.loss = 0;
        }
        sets
    }

    /// True if the runs may be stopped for the waiting step.
    ///
    /// Within a guarantee all that has no guarantee of its own gives way. Beyond it, urgent steps
    /// displace only less urgent runs whose loss is small against being late.
    ///
    /// `guaranteed` keeps what was found of other organisations.
    fn gives_way(
        &self,
        set: &RunSet,
        waiting: &Waiting,
        guaranteed: &mut BTreeMap<Organisation, bool>,
    ) -> bool {
        if !waiting.guaranteed {
            return waiting.priority == 0 && set.priority > 0 && set.loss <= LOSS_FOR_URGENCY;
        }
        if set.priority > 0 {
            return true;
        }
        set.organisation != waiting.organisation
            && !*guaranteed
                .entry(set.organisation.clone())
                .or_insert_with(|| self.within_guarantee(&set.organisation))
    }

    /// How much of their work the runs have left, as a rough order of when they end.
    fn remaining_work(&self, set: &RunSet) -> u64 {
        let runs = set.runs.iter().filter_map(|run| self.active.get(run));
        let left = runs.map(|active| u64::from(100_u32.saturating_sub(active.percent)));
        left.max().unwrap_or(0)
    }
}

/// What is on each target, with what is lost if it is stopped; `None` if it may not be.
fn occupants(
    sets: &[RunSet],
    mut loss: impl FnMut(&RunSet) -> Option<u64>,
) -> BTreeMap<TargetName, Vec<Occupant>> {
    let mut occupants: BTreeMap<TargetName, Vec<Occupant>> = BTreeMap::new();
    for (number, set) in sets.iter().enumerate() {
        let loss = loss(set);
        for (target, holds) in &set.holds {
            occupants.entry(target.clone()).or_default().push(Occupant {
                set: number,
                holds: *holds,
                loss,
            });
        }
    }
    occupants
}
