//! Room for steps that are blocked: kept free, or made by stopping what has less right to it.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

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
struct RunSet {
    runs: Vec<RunId>,
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
        now: Timestamp,
    ) {
        let sets = self.run_sets(now);
        let candidates = self.candidates(waiting, demand, free, now);
        let occupants = self.occupants(&sets, |set| {
            let gives_way = self.gives_way(set, waiting);
            (set.stopping || gives_way).then_some(set.loss)
        });
        let Some(found) = plan(demand, &candidates, &occupants) else {
            return self.await_room(waiting, demand, &sets, free, now);
        };
        self.reserve(&found, demand, free);
        self.stop_sets(waiting, &sets, &found);
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
        if waiting.waited < self.limits.urgent_patience {
            return;
        }
        let candidates = self.candidates(waiting, demand, free, now);
        let occupants = self.occupants(sets, |set| Some(self.remaining_work(set)));
        if let Some(found) = plan(demand, &candidates, &occupants) {
            self.reserve(&found, demand, free);
        }
    }

    fn reserve(&self, plan: &Plan, demand: &Demand, free: &mut BTreeMap<TargetName, Resources>) {
        for target in &plan.slots {
            if let Some(room) = free.get_mut(target) {
                *room = room.minus(demand.need);
            }
        }
    }

    fn stop_sets(&mut self, waiting: &Waiting, sets: &[RunSet], plan: &Plan) {
        let chosen = plan.sets.iter().filter_map(|&set| sets.get(set));
        let victims: Vec<RunId> = chosen
            .filter(|set| !set.stopping)
            .flat_map(|set| set.runs.iter().cloned())
            .collect();
        if victims.is_empty() {
            return;
        }
        self.stop_runs(|run| victims.contains(run));
        self.note(Event::Reclaimed {
            step: waiting.step.clone(),
            victims,
        });
    }

    /// The runs that are at work, by what can be stopped without breaking more.
    fn run_sets(&self, now: Timestamp) -> Vec<RunSet> {
        let mut sets: BTreeMap<(StepId, Option<u32>), RunSet> = BTreeMap::new();
        for (run, active) in &self.active {
            let Some(job) = self.jobs.get(&run.task.step.job) else {
                continue;
            };
            let Some(step) = job.step(run.task.step.step) else {
                continue;
            };
            let index = (!step.gang).then_some(run.task.index);
            let set = sets
                .entry((run.task.step.clone(), index))
                .or_insert_with(|| RunSet {
                    runs: Vec::new(),
                    priority: job.rules.priority,
                    organisation: job.accepted.organisation.clone(),
                    loss: 0,
                    stopping: true,
                });
            let mut worked = now.since(active.placed_at);
            if step.checkpointing {
                worked = worked.min(CHECKPOINT_AGE);
            }
            let worked = u64::try_from(worked.as_millis()).unwrap_or(u64::MAX);
            set.loss += active.need.weight_millis() * worked / 1000;
            set.stopping &= active.intent == Intent::Stop;
            set.runs.push(run.clone());
        }
        let mut sets: Vec<_> = sets.into_values().collect();
        for set in sets.iter_mut().filter(|set| set.stopping) {
            set.loss = 0;
        }
        sets
    }

    /// True if the runs may be stopped for the waiting step.
    ///
    /// Within a guarantee all that has no guarantee of its own gives way. Beyond it, urgent steps
    /// displace only less urgent runs whose loss is small against being late.
    fn gives_way(&self, set: &RunSet, waiting: &Waiting) -> bool {
        if !waiting.guaranteed {
            return waiting.priority == 0 && set.priority > 0 && set.loss <= LOSS_FOR_URGENCY;
        }
        set.priority > 0
            || (set.organisation != waiting.organisation
                && !self.within_guarantee(&set.organisation))
    }

    fn occupants(
        &self,
        sets: &[RunSet],
        loss: impl Fn(&RunSet) -> Option<u64>,
    ) -> BTreeMap<TargetName, Vec<Occupant>> {
        let mut occupants: BTreeMap<TargetName, Vec<Occupant>> = BTreeMap::new();
        for (number, set) in sets.iter().enumerate() {
            let loss = loss(set);
            let mut holds: BTreeMap<&TargetName, Resources> = BTreeMap::new();
            for run in &set.runs {
                if let Some(active) = self.active.get(run) {
                    let held = holds
                        .entry(&active.target.target)
                        .or_insert(Resources::NONE);
                    *held = held.plus(active.need);
                }
            }
            for (target, holds) in holds {
                occupants.entry(target.clone()).or_default().push(Occupant {
                    set: number,
                    holds,
                    loss,
                });
            }
        }
        occupants
    }

    /// How much of their work the runs have left, as a rough order of when they end.
    fn remaining_work(&self, set: &RunSet) -> u64 {
        let runs = set.runs.iter().filter_map(|run| self.active.get(run));
        let left = runs.map(|active| u64::from(100_u32.saturating_sub(active.percent)));
        left.max().unwrap_or(0)
    }
}
