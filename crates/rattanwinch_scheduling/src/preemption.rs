//! Reservation and preemption for steps that do not fit into the free resources.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::Event;
use crate::JobId;
use crate::ReclaimEnd;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::StepId;
use crate::active_run::ActiveRun;
use crate::active_run::DesiredState;
use crate::lateness::Lateness;
use crate::placement::Demand;
use crate::placement::Loss;
use crate::placement::Occupant;
use crate::placement::PreemptionPlan;
use crate::placement::plan_preemption;
use crate::reclaim::Planned;
use crate::reclaim::Reclaim;
use crate::reclaim::TaskGroup;
use crate::reclaim::Underway;
use crate::room::Availability;
use crate::room::Room;
use crate::waiting::WaitingStep;

/// The work lost by stopping a checkpointing task. It saves its state at the stop, and restoring it
/// takes up to 600 ms by the users' requirements.
const RESTORE_TIME: Duration = Duration::from_millis(600);

/// After this many preemptions a task is only stopped for a guarantee that nothing else keeps.
const MAX_PREEMPTIONS: u32 = 2;

/// The time from the end of the last stopped run to the start of all tasks: a report, a commit to
/// the store and the order, each well under 100 ms.
const START_MARGIN: Duration = Duration::from_millis(300);

/// The least progress, in per cent, from which the end of a run is estimated.
const MIN_ESTIMATE_PERCENT: u32 = 20;

/// The room of a run whose stop takes longer than this is no longer counted on. The slowest stop in
/// the users' requirements takes 900 ms.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs that can only be stopped together: a single run, or the members of a gang.
pub(crate) struct RunSet {
    runs: Vec<RunId>,
    resources: SmallVec<[(TargetName, Resources); 1]>,
    priority: u32,
    organisation: Organisation,
    job: JobId,
    /// What is lost by stopping the runs.
    loss: Loss,
    /// The highest number of preemptions of one of the tasks.
    preemptions: u32,
    /// When the runs are expected to have ended by themselves, at the earliest.
    remaining_time: Option<Duration>,
    /// The runs are stopped, or awaited by a reclaim.
    leaving: bool,
}

/// The room, the reclaims and the stoppable runs during one placement pass.
pub(crate) struct ReclaimPass {
    pub room: Room,
    /// The reclaims of steps that the pass has not reached yet.
    pub underway: BTreeMap<TaskGroup, Reclaim<Underway>>,
    /// The reclaims that go on after the pass.
    pub kept: BTreeMap<TaskGroup, Reclaim<Underway>>,
    pub guaranteed_jobs: BTreeSet<JobId>,
    /// The runs that are expected to end by themselves.
    awaited: BTreeSet<RunId>,
    /// The run sets, collected when they are first needed.
    sets: Option<Vec<RunSet>>,
}

impl Scheduler {
    /// Begins the reclaims' part of a placement pass: ends those whose steps no longer wait, stops
    /// awaited runs that have not ended in time, and marks and holds the room of the others.
    pub(crate) fn begin_reclaim_pass(
        &mut self,
        waiting: &[WaitingStep],
        guaranteed_jobs: BTreeSet<JobId>,
        mut room: Room,
        now: Timestamp,
    ) -> ReclaimPass {
        let groups: BTreeSet<&TaskGroup> = waiting.iter().map(|step| &step.group).collect();
        let mut underway = BTreeMap::new();
        for (group, mut reclaim) in std::mem::take(&mut self.reclaims) {
            if !groups.contains(&group) {
                let event = reclaim.give_up(&group.step, ReclaimEnd::NotNeeded);
                self.record_event(event);
                continue;
            }
            let mut overdue = reclaim.take_overdue(now);
            overdue.retain(|run| self.active.contains_key(run));
            self.preempt_for(&group.step, overdue, reclaim.guaranteed, now);
            underway.insert(group, reclaim);
        }
        let awaited: BTreeSet<RunId> = underway
            .values()
            .flat_map(|reclaim| reclaim.awaited(now).cloned())
            .collect();
        for (run, active) in self.active.iter_mut() {
            if active.desired == DesiredState::Stop {
                let since = *active.stopping_since.get_or_insert(now);
                if now.since(since) <= STOP_TIMEOUT {
                    room.mark_leaving(&active.target.target, active.resources);
                }
            } else if awaited.contains(run) {
                room.mark_leaving(&active.target.target, active.resources);
            }
        }
        for reclaim in underway.values() {
            reclaim.hold(&mut room);
        }
        ReclaimPass {
            room,
            underway,
            kept: BTreeMap::new(),
            guaranteed_jobs,
            awaited,
            sets: None,
        }
    }

    /// Goes on with the reclaim of a step that is not placed completely, as far as its room is
    /// still usable; returns the number of tasks for which no room is held.
    pub(crate) fn continue_reclaim(
        &mut self,
        reclaim: &mut Reclaim<Underway>,
        waiting: &WaitingStep,
        demand: &Demand,
        room: &mut Room,
        now: Timestamp,
    ) -> usize {
        let candidates = self.candidates(waiting, demand, room, Availability::Eventual, now);
        let held: BTreeSet<TargetName> = reclaim.holds().iter().cloned().collect();
        let mut waited_for = BTreeSet::new();
        for target in held {
            if candidates.iter().any(|candidate| candidate.name == target) {
                reclaim.mark_usable(&target);
            } else if self.may_become_usable(&target) && reclaim.is_unusable_briefly(&target, now) {
                waited_for.insert(target);
            }
        }
        reclaim.retain_usable(|target, earlier| {
            if waited_for.contains(target) {
                return true;
            }
            let candidate = candidates
                .iter()
                .find(|candidate| candidate.name == *target);
            let Some(candidate) = candidate else {
                return false;
            };
            let available = room.available(target, Availability::Eventual);
            let usable = earlier < candidate.max_tasks
                && available.is_some_and(|available| available.fits(demand.resources));
            if usable {
                room.hold(target, demand.resources);
            }
            usable
        });
        demand.count.saturating_sub(reclaim.holds().len())
    }

    /// Returns true if the target is excluded for a passing reason, such as a refused order or a
    /// late report.
    fn may_become_usable(&self, target: &TargetName) -> bool {
        self.targets.get(target).is_some_and(|target| {
            !target.description.draining
                && !self.cordoned.contains(&target.description.instance.target)
                && !self.rules.closed_zones.contains(&target.description.zone)
        })
    }

    /// Holds room for a blocked step, and stops runs that it may displace.
    pub(crate) fn make_room(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        mut reclaim: Option<Reclaim<Underway>>,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) {
        let mut plan = self.plan_room(waiting, demand, reclaim.as_ref(), pass, now);
        if plan.is_none() && waiting.guaranteed {
            let revoked = self.revoke_unguaranteed(pass);
            if revoked {
                plan = self.plan_room(waiting, demand, reclaim.as_ref(), pass, now);
            }
        }
        let Some(plan) = plan else {
            if let Some(reclaim) = reclaim.take() {
                if demand.gang {
                    reclaim.release(&mut pass.room);
                    let event = reclaim.give_up(&waiting.step, ReclaimEnd::RoomLost);
                    self.record_event(event);
                } else {
                    pass.kept.insert(waiting.group.clone(), reclaim);
                    return;
                }
            }
            self.reserve_earliest(waiting, demand, pass, now);
            return;
        };
        for target in &plan.targets {
            pass.room.hold(target, demand.resources);
        }
        if !self.may_reclaim(waiting) {
            // What an earlier pass began is still used.
            pass.kept
                .extend(reclaim.map(|reclaim| (waiting.group.clone(), reclaim)));
            return;
        }
        let further = self.begin_reclaim(waiting, demand, &plan, pass, now);
        let reclaim = match reclaim {
            Some(mut earlier) => {
                earlier.extend(further);
                earlier
            }
            None => further,
        };
        pass.kept.insert(waiting.group.clone(), reclaim);
    }

    /// Plans the room that a step has no hold for yet.
    fn plan_room(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        reclaim: Option<&Reclaim<Underway>>,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) -> Option<PreemptionPlan> {
        let mut candidates =
            self.candidates(waiting, demand, &pass.room, Availability::Eventual, now);
        let holds = reclaim.map_or(&[][..], Reclaim::holds);
        for candidate in &mut candidates {
            let held = holds.iter().filter(|held| **held == candidate.name);
            candidate.max_tasks = candidate.max_tasks.saturating_sub(held.count());
        }
        let mut rest = demand.clone();
        rest.count = demand.count.saturating_sub(holds.len());
        let may_reclaim = self.may_reclaim(waiting);
        let lost = reclaim.map_or(0, |reclaim| reclaim.lost_core_millis);
        let max_loss = self.max_loss(waiting, demand).saturating_sub(lost);
        let sets = pass
            .sets
            .get_or_insert_with(|| self.run_sets(&pass.awaited, now));
        let wait = self.max_wait_for_ends(waiting);
        let occupants = occupants(sets, |set| {
            let displaceable = may_reclaim && is_displaceable(set, waiting, &pass.guaranteed_jobs);
            let loss = if set.ends_within(wait) {
                Loss::default()
            } else {
                set.loss
            };
            displaceable.then_some(loss)
        });
        plan_preemption(&rest, &candidates, &occupants, max_loss)
    }

    /// Returns true if runs may be stopped for the step: it is urgent, and of use to its caller.
    fn may_reclaim(&self, waiting: &WaitingStep) -> bool {
        let overdue = matches!(waiting.lateness, Lateness::Overdue(_));
        waiting.guaranteed || (waiting.priority == 0 && !overdue)
    }

    /// Returns the work that may be lost for an urgent step. Beyond a guarantee it is at most the
    /// step's own work, so that the callers of the stopped runs lose less than its caller gains.
    fn max_loss(&self, waiting: &WaitingStep, demand: &Demand) -> u64 {
        if waiting.guaranteed {
            return u64::MAX;
        }
        let work = core_millis(demand.resources, waiting.description.estimated_run_time);
        work.saturating_mul(demand.count as u64)
    }

    /// Returns how long a step may wait for runs to end by themselves before they are stopped: it
    /// must still be on time, and a guarantee is kept within its reclaim time.
    fn max_wait_for_ends(&self, waiting: &WaitingStep) -> Duration {
        let stop = self.limits.max_stop_time + START_MARGIN;
        let until_reclaimed = self.limits.max_reclaim_time.saturating_sub(waiting.waited);
        until_reclaimed.min(waiting.slack).saturating_sub(stop)
    }

    /// Releases the room of all reclaims beyond guarantees; returns true if there were any.
    fn revoke_unguaranteed(&mut self, pass: &mut ReclaimPass) -> bool {
        let revoked = pass
            .underway
            .extract_if(.., |_, reclaim| !reclaim.guaranteed);
        let mut any = false;
        for (group, reclaim) in revoked {
            any = true;
            reclaim.release(&mut pass.room);
            let event = reclaim.give_up(&group.step, ReclaimEnd::NeededForGuarantee);
            self.record_event(event);
        }
        any
    }

    /// Stops the runs of a plan, except those that are expected to end soon.
    fn begin_reclaim(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        plan: &PreemptionPlan,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) -> Reclaim<Underway> {
        let wait = self.max_wait_for_ends(waiting);
        let mut planned = Planned {
            stopped: Vec::new(),
            awaited: Vec::new(),
        };
        for &index in &plan.sets {
            let Some(set) = pass.sets.as_mut().and_then(|sets| sets.get_mut(index)) else {
                continue;
            };
            set.leaving = true;
            for (target, resources) in &set.resources {
                pass.room.mark_leaving(target, *resources);
            }
            if set.ends_within(wait) {
                planned.awaited.extend(set.runs.iter().cloned());
            } else {
                planned.stopped.extend(set.runs.iter().cloned());
            }
        }
        let holds = plan.targets.clone();
        let lost = plan.loss.core_millis;
        let reclaim = Reclaim::new(holds, demand.resources, waiting.guaranteed, lost, planned);
        let (reclaim, victims) = reclaim.begin(now + wait);
        self.preempt_for(&waiting.step, victims, waiting.guaranteed, now);
        reclaim
    }

    /// Stops runs for another step, and counts what their tasks lose by it.
    fn preempt_for(
        &mut self,
        step: &StepId,
        victims: Vec<RunId>,
        guaranteed: bool,
        now: Timestamp,
    ) {
        if victims.is_empty() {
            return;
        }
        let mut lost_core_ms = 0_u64;
        for run in &victims {
            let Some(active) = self.active.get_mut(run) else {
                continue;
            };
            active.desired = DesiredState::Stop;
            active.stopping_since.get_or_insert(now);
            let Some(job) = self.jobs.get_mut(&run.task.step.job) else {
                continue;
            };
            let checkpointing = job
                .step(run.task.step.step)
                .is_some_and(|step| step.checkpointing);
            let lost = lost_work(active, checkpointing, now);
            lost_core_ms = lost_core_ms.saturating_add(lost);
            if let Some(task) = job.task_mut(&run.task) {
                task.preemptions += 1;
                task.lost_core_millis = task.lost_core_millis.saturating_add(lost);
            }
        }
        self.record_event(Event::Preempted {
            step: step.clone(),
            victims,
            lost_core_ms,
            guaranteed,
        });
    }

    /// Reserves the targets that are expected to have enough free resources soonest.
    fn reserve_earliest(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) {
        // A reservation is for large requests, which smaller tasks would keep from starting; a step
        // that has waited only briefly needs none.
        if waiting.waited < self.limits.urgent_locality_wait {
            return;
        }
        let candidates = self.candidates(waiting, demand, &pass.room, Availability::Eventual, now);
        let sets = pass
            .sets
            .get_or_insert_with(|| self.run_sets(&pass.awaited, now));
        let occupants = occupants(sets, |set| {
            Some(Loss {
                worn_out: 0,
                core_millis: self.remaining_percent(set),
            })
        });
        if let Some(plan) = plan_preemption(demand, &candidates, &occupants, u64::MAX) {
            for target in &plan.targets {
                pass.room.hold(target, demand.resources);
            }
        }
    }

    /// Groups the active runs into the sets that can only be stopped together.
    fn run_sets(&self, awaited: &BTreeSet<RunId>, now: Timestamp) -> Vec<RunSet> {
        let mut sets: Vec<RunSet> = Vec::new();
        let mut last: Option<(&StepId, Option<u32>)> = None;
        // Runs are ordered by task, so the runs of a set are adjacent.
        for (run, active) in self.active.iter() {
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
                    job: job.id().clone(),
                    loss: Loss::default(),
                    preemptions: 0,
                    remaining_time: Some(Duration::ZERO),
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
                core_millis: lost,
            });
            set.preemptions = set.preemptions.max(preemptions);
            set.remaining_time = match (set.remaining_time, remaining_time(active, now)) {
                (Some(set), Some(run)) if !step.long_running => Some(set.max(run)),
                _ => None,
            };
            set.leaving &= active.desired == DesiredState::Stop || awaited.contains(run);
            set.runs.push(run.clone());
            let target = &active.target.target;
            match set.resources.iter_mut().find(|(held, _)| held == target) {
                Some((_, resources)) => *resources = resources.plus(active.resources),
                None => set.resources.push((target.clone(), active.resources)),
            }
        }
        sets
    }

    /// Returns the remaining work of the runs in per cent, as an estimate of which set ends first.
    fn remaining_percent(&self, set: &RunSet) -> u64 {
        let runs = set.runs.iter().filter_map(|run| self.active.get(run));
        let left = runs.map(|active| u64::from(100_u32.saturating_sub(active.percent)));
        left.max().unwrap_or(0)
    }
}

impl RunSet {
    fn ends_within(&self, wait: Duration) -> bool {
        self.remaining_time
            .is_some_and(|remaining| remaining < wait)
    }
}

/// Returns true if the run set may be stopped for the waiting step.
///
/// A step within a guarantee displaces all runs that are not covered by one. Otherwise, an urgent
/// step displaces only less urgent runs that were not stopped for others before.
fn is_displaceable(set: &RunSet, waiting: &WaitingStep, guaranteed: &BTreeSet<JobId>) -> bool {
    if !waiting.guaranteed {
        return set.priority > 0 && set.preemptions == 0;
    }
    set.priority > 0 || (set.organisation != waiting.organisation && !guaranteed.contains(&set.job))
}

fn core_millis(resources: Resources, time: Duration) -> u64 {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    resources.weighted_cpu_millis().saturating_mul(millis) / 1000
}

/// Returns the work that stopping a run loses, in core-milliseconds.
fn lost_work(active: &ActiveRun, checkpointing: bool, now: Timestamp) -> u64 {
    let mut worked = now.since(active.started_at.unwrap_or(active.placed_at));
    if checkpointing {
        worked = worked.min(RESTORE_TIME);
    }
    core_millis(active.resources, worked)
}

/// Estimates the remaining time of a run from its progress so far.
fn remaining_time(active: &ActiveRun, now: Timestamp) -> Option<Duration> {
    let started_at = active.started_at?;
    if active.percent < MIN_ESTIMATE_PERCENT || active.desired == DesiredState::Stop {
        return None;
    }
    let worked = active.progressed_at.since(started_at);
    let expected = worked * 100 / active.percent;
    Some(expected.saturating_sub(now.since(started_at)))
}

/// Lists the run sets on each target that do not leave anyway, with the loss of stopping them.
fn occupants(
    sets: &[RunSet],
    mut loss: impl FnMut(&RunSet) -> Option<Loss>,
) -> BTreeMap<TargetName, Vec<Occupant>> {
    let mut occupants: BTreeMap<TargetName, Vec<Occupant>> = BTreeMap::new();
    for (number, set) in sets.iter().enumerate().filter(|(_, set)| !set.leaving) {
        let Some(loss) = loss(set) else { continue };
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
