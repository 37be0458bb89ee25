use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;
use smallvec::smallvec;

use crate::Event;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::StepDescription;
use crate::StepId;
use crate::TaskId;
use crate::active_run::ActiveRun;
use crate::active_run::Intent;
use crate::job::Job;
use crate::lateness::Lateness;
use crate::placement::Candidate;
use crate::placement::Demand;
use crate::placement::Occupant;
use crate::placement::Plan;
use crate::placement::choose;
use crate::placement::plan;
use crate::scheduler::occupied;

/// Blocked steps of one pass for which room is kept free; more would leave the fleet idle.
const RESERVED_STEPS: usize = 3;

/// The most work that is thrown away for an urgent step without a guarantee, in thousandths of a
/// core-second for each set of runs. Being late costs an urgent job about as much as a few hundred
/// core-seconds of wasted work, by the users' price lists, and what is displaced may come late too.
const LOSS_FOR_URGENCY: u64 = 120_000;

/// The saved states of checkpointing tasks are at most this old: the longest period on the users'
/// sheets.
const CHECKPOINT_AGE: Duration = Duration::from_secs(2);

/// A step with waiting tasks.
struct Waiting {
    step: StepId,
    described: StepDescription,
    indices: SmallVec<[u32; 8]>,
    priority: u32,
    lateness: Lateness,
    accepted_at: Timestamp,
    organisation: Organisation,
    waited: Duration,
    /// The organisation's guarantee covers it.
    guaranteed: bool,
}

/// Runs that end together.
struct RunSet {
    runs: Vec<RunId>,
    priority: u32,
    organisation: Organisation,
    loss: u64,
    stopping: bool,
}

/// The tasks of a job whose turn has come, in groups that are placed alike: those of one step,
/// but each that has failed by itself, since it avoids targets that the others needn't.
fn ready_tasks(job: &Job, wall: Timestamp) -> Vec<(StepId, SmallVec<[u32; 8]>)> {
    let mut groups = Vec::new();
    for step in job.ready_steps(wall) {
        let waiting = job.waiting(&step);
        if job.step(step.step).is_some_and(|described| described.gang) {
            groups.push((step, waiting));
            continue;
        }
        let has_failed = |index: &u32| {
            let task = TaskId {
                step: step.clone(),
                index: *index,
            };
            !job.failed_on(&task).is_empty()
        };
        let (failed, fresh): (SmallVec<[u32; 8]>, SmallVec<[u32; 8]>) =
            waiting.into_iter().partition(has_failed);
        for index in failed {
            groups.push((step.clone(), smallvec![index]));
        }
        if !fresh.is_empty() {
            groups.push((step, fresh));
        }
    }
    groups
}

impl Scheduler {
    /// Places waiting tasks and makes room for those that have a right to it.
    ///
    /// `wall` is the time of day, by which repeated jobs are due.
    pub fn place(&mut self, now: Timestamp, wall: Timestamp) {
        self.stop_stalled(now);
        let mut free = self.free_room(now);
        let mut reserved = 0;
        for waiting in self.waiting_steps(now, wall) {
            let demand = self.demand(&waiting);
            let candidates = self.candidates(&waiting, &demand, &free, now);
            let chosen = choose(&demand, &candidates);
            for target in &chosen {
                if let Some(room) = free.get_mut(target) {
                    *room = room.minus(demand.need);
                }
            }
            if !chosen.is_empty() {
                self.start(&waiting, &chosen, now);
            }
            if chosen.len() < waiting.indices.len() && reserved < RESERVED_STEPS {
                reserved += 1;
                let mut rest = demand;
                rest.count -= chosen.len();
                self.make_room(&waiting, &rest, &mut free, now);
            }
        }
    }

    fn waiting_steps(&mut self, now: Timestamp, wall: Timestamp) -> Vec<Waiting> {
        let mut all = Vec::new();
        let mut ready = BTreeSet::new();
        for id in &self.open {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            for (step, indices) in ready_tasks(job, wall) {
                let Some(described) = job.step(step.step) else {
                    continue;
                };
                let since = *self.ready_since.entry(step.clone()).or_insert(now);
                ready.insert(step.clone());
                let organisation = &job.accepted.organisation;
                all.push(Waiting {
                    guaranteed: job.rules.priority == 0 && self.within_guarantee(organisation),
                    described: described.clone(),
                    indices,
                    priority: job.rules.priority,
                    lateness: Lateness::of(job, &step, wall),
                    accepted_at: job.accepted.accepted_at,
                    organisation: organisation.clone(),
                    waited: now.since(since),
                    step,
                });
            }
        }
        self.ready_since.retain(|step, _| ready.contains(step));
        self.advice.retain(|step| ready.contains(step));
        all.sort_by(|a, b| {
            // A step within a guarantee would displace one beyond it, so it comes first.
            let key = |w: &Waiting| (w.priority, !w.guaranteed, w.lateness, w.accepted_at);
            key(a).cmp(&key(b)).then_with(|| a.step.cmp(&b.step))
        });
        all
    }

    /// The room of each target that may take new tasks.
    fn free_room(&self, now: Timestamp) -> BTreeMap<TargetName, Resources> {
        let usable = self.targets.iter().filter(|(_, target)| {
            !target.description.draining
                && !self.resting.contains(&target.description.life.target)
                && target.strangers.is_empty()
                && now >= target.quarantined_until
                && now.since(target.heard_at) <= self.limits.fresh
                && !self.rules.closed_zones.contains(&target.description.zone)
        });
        let mut free: BTreeMap<_, _> = usable
            .map(|(name, target)| (name.clone(), target.description.capacity))
            .collect();
        for active in self.active.values() {
            let room = free.get_mut(&active.target.target);
            if let Some(room) = room {
                *room = room.minus(active.need);
            }
        }
        free
    }

    fn demand(&self, waiting: &Waiting) -> Demand {
        let patience = if waiting.priority == 0 {
            self.limits.urgent_patience
        } else {
            waiting.described.estimate
        };
        Demand {
            need: occupied(&waiting.described),
            count: waiting.indices.len(),
            gang: waiting.described.gang,
            same_rack: waiting.described.same_rack,
            data_rack: waiting.described.data_rack.clone(),
            any_rack: waiting.waited >= patience,
        }
    }

    fn candidates(
        &mut self,
        waiting: &Waiting,
        demand: &Demand,
        free: &BTreeMap<TargetName, Resources>,
        now: Timestamp,
    ) -> Vec<Candidate> {
        let Some(job) = self.jobs.get(&waiting.step.job) else {
            return Vec::new();
        };
        let service = job.rules.service.clone();
        let advised = job.rules.advisor.is_some();
        let first = TaskId {
            step: waiting.step.clone(),
            index: waiting.indices.first().copied().unwrap_or(0),
        };
        let failed_on = job.failed_on(&first);
        let mut suitable = Vec::new();
        let mut room_elsewhere = 0_u64;
        for (name, &room) in free {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            let label = &waiting.described.required_label;
            let capacity = target.description.capacity;
            let fits = target.description.service == service
                && label.as_ref().is_none_or(|label| target.has_label(label))
                && capacity.fits(demand.need);
            if fits {
                suitable.push((name, room));
                if !failed_on.contains(name) {
                    // A task that needs nothing fits any number of times.
                    room_elsewhere = room_elsewhere.saturating_add(capacity.copies(demand.need));
                }
            }
        }
        // A target that fails all it starts would use up the attempts of a job that can be done,
        // so the task waits for another one if there is any that could ever take it.
        let needed = if demand.gang { demand.count } else { 1 };
        let avoids = room_elsewhere >= needed as u64;
        let mut candidates = Vec::new();
        for (name, room) in suitable {
            let Some(target) = self.targets.get(name) else {
                continue;
            };
            if avoids && failed_on.contains(name) {
                continue;
            }
            if advised && self.advice.ticket(&waiting.step, name, now).is_none() {
                continue;
            }
            candidates.push(Candidate {
                name: name.clone(),
                rack: target.rack().cloned(),
                free: room,
                most: self.may_still_take(waiting, name),
                failed_here: failed_on.contains(name),
            });
        }
        candidates
    }

    fn may_still_take(&self, waiting: &Waiting, target: &TargetName) -> usize {
        let Some(most) = waiting.described.max_per_target else {
            return usize::MAX;
        };
        let here = self.active.iter().filter(|(run, active)| {
            run.task.step == waiting.step && active.target.target == *target
        });
        (most as usize).saturating_sub(here.count())
    }

    fn start(&mut self, waiting: &Waiting, targets: &[TargetName], now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&waiting.step.job) else {
            return;
        };
        let advised = job.rules.advisor.is_some();
        let shared_number = job.next_run(&waiting.step, &waiting.indices);
        let mut number = shared_number;
        for (target, &index) in targets.iter().zip(&waiting.indices) {
            let Some(life) = self
                .targets
                .get(target)
                .map(|known| &known.description.life)
            else {
                continue;
            };
            if !waiting.described.gang {
                number = job.next_run(&waiting.step, &[index]);
            }
            let task = job.task_id(waiting.step.occurrence, waiting.step.step, index);
            if let Some(task) = job.task_mut(&task) {
                task.last_run = number;
                task.placed = Some(life.clone());
            }
            let ticket = advised
                .then(|| self.advice.ticket(&waiting.step, target, now))
                .flatten();
            let active = ActiveRun {
                target: life.clone(),
                need: occupied(&waiting.described),
                intent: Intent::Run,
                durable: false,
                in_flight: false,
                maybe_sent: false,
                started: false,
                started_at: None,
                present: false,
                missing_since: None,
                placed_at: now,
                retry_at: now,
                percent: 0,
                progressed_at: now,
                ticket,
            };
            self.active.insert(RunId { task, number }, active);
        }
        self.mark_changed(&waiting.step.job);
        self.note(Event::Placed {
            step: waiting.step.clone(),
            number,
            targets: targets.to_vec(),
            waited_ms: u64::try_from(waiting.waited.as_millis()).unwrap_or(u64::MAX),
        });
    }

    /// Keeps room free for a blocked step and, within a guarantee, stops what is in its way.
    fn make_room(
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

    /// True if all urgent jobs of the organisation together need no more than its guarantee.
    fn within_guarantee(&self, organisation: &Organisation) -> bool {
        let Some(&guarantee) = self.rules.guarantees.get(organisation) else {
            return false;
        };
        let urgent = self.open.iter().filter_map(|id| self.jobs.get(id));
        let urgent = urgent
            .filter(|job| job.rules.priority == 0 && job.accepted.organisation == *organisation);
        let needed: u64 = urgent
            .map(|job| job.accepted.description.widest_accelerators())
            .sum();
        needed <= guarantee
    }

    /// Stops runs that a target has taken and doesn't work on.
    fn stop_stalled(&mut self, now: Timestamp) {
        let stall = self.limits.stall;
        let stalled: Vec<_> = self
            .active
            .iter()
            .filter(|(run, active)| {
                active.started
                    && active.intent == Intent::Run
                    && active.percent < 100
                    && now.since(active.progressed_at) > stall
                    && self.is_fresh(&active.target.target, now)
                    && self
                        .step(&run.task.step)
                        .is_some_and(|step| !step.long_running)
            })
            .map(|(run, active)| (run.clone(), active.target.target.clone()))
            .collect();
        for (run, target) in stalled {
            if let Some(job) = self.jobs.get_mut(&run.task.step.job)
                && let Some(task) = job.task_mut(&run.task)
                && !task.failed_on.contains(&target)
            {
                task.failed_on.push(target.clone());
            }
            let step = run.task.step.clone();
            let gang = self.step(&step).is_some_and(|described| described.gang);
            self.stop_runs(|other| {
                *other == run || (gang && other.task.step == step && other.number == run.number)
            });
            self.quarantine(&target, now);
            self.note(Event::Stalled { run, target });
        }
    }

    fn is_fresh(&self, target: &TargetName, now: Timestamp) -> bool {
        let target = self.target(target);
        target.is_some_and(|target| now.since(target.heard_at) <= self.limits.fresh)
    }
}
