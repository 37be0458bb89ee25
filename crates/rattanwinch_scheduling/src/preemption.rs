//! Preemption for steps that do not fit into the free resources.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::JobId;
use crate::ReclaimEnd;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::StepId;
use crate::active_runs::DesiredState;
use crate::delay_cost::cost_of_lateness;
use crate::placement::Demand;
use crate::placement::Loss;
use crate::placement::PreemptionPlan;
use crate::placement::plan_preemption;
use crate::reclaim::Planned;
use crate::reclaim::Reclaim;
use crate::reclaim::TaskGroup;
use crate::reclaim::Underway;
use crate::reservations::ReservedRoom;
use crate::room::Availability;
use crate::room::Room;
use crate::run_set::MAX_PREEMPTIONS;
use crate::run_set::RunSet;
use crate::run_set::core_millis;
use crate::run_set::lost_work;
use crate::run_set::occupants;
use crate::waiting::WaitingStep;

/// The time from the end of the last stopped run to the start of all tasks: a report, a commit to
/// the store and the order, each well under 100 ms.
pub(crate) const START_MARGIN: Duration = Duration::from_millis(300);

/// The room of a run whose stop takes longer than this is no longer counted on. The slowest stop in
/// the users' requirements takes 900 ms.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The room, the reclaims and the stoppable runs during one placement pass.
pub(crate) struct ReclaimPass {
    pub room: Room,
    /// The reclaims of steps that the pass has not reached yet.
    pub underway: BTreeMap<TaskGroup, Reclaim<Underway>>,
    /// The reclaims that go on after the pass.
    pub kept: BTreeMap<TaskGroup, Reclaim<Underway>>,
    pub guaranteed_jobs: BTreeSet<JobId>,
    /// The runs that are expected to end by themselves.
    pub awaited: BTreeSet<RunId>,
    /// The run sets, collected when they are first needed.
    pub sets: Option<Vec<RunSet>>,
    /// The room that is kept for steps that the pass has reached.
    pub reserved: Vec<ReservedRoom>,
    /// No target with such room had more free resources of any kind than these.
    pub reserved_free: Resources,
    /// The wall-clock time of the pass.
    pub wall: Timestamp,
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
        wall: Timestamp,
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
        let stopping = self.active.unsettled();
        let stopping = stopping.filter(|(_, active)| active.desired() == DesiredState::Stop);
        let stopping: Vec<RunId> = stopping.map(|(run, _)| run.clone()).collect();
        for run in stopping {
            if let Some(active) = self.active.get_mut(&run) {
                let since = *active.stopping_since.get_or_insert(now);
                if now.since(since) <= STOP_TIMEOUT {
                    room.mark_leaving(&active.target.target, active.resources);
                }
            }
        }
        for run in &awaited {
            if let Some(active) = self.active.get(run)
                && active.desired() == DesiredState::Run
            {
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
            reserved: Vec::new(),
            reserved_free: Resources::NONE,
            wall,
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
        self.targets
            .get(target)
            .is_some_and(|target| !target.description.draining && self.closure(target).is_none())
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
        let lost = reclaim.map_or(Loss::default(), |reclaim| reclaim.loss);
        let max_lost_work = self.max_lost_work(waiting, demand);
        let max_lost_work = max_lost_work.saturating_sub(lost.core_millis);
        let max_lateness = max_lateness(waiting).saturating_sub(lost.lateness);
        let sets = pass
            .sets
            .get_or_insert_with(|| self.run_sets(&pass.awaited, now, pass.wall));
        let wait = self.max_wait_for_ends(waiting);
        // The stopped tasks wait about as long as the step runs.
        let restart = self
            .stop_time()
            .saturating_add(waiting.description().estimated_run_time);
        let mut kept_sets = BTreeSet::new();
        loop {
            let occupants = occupants(sets, |number, set| {
                let displaceable = may_reclaim
                    && !kept_sets.contains(&number)
                    && is_displaceable(set, waiting, &pass.guaranteed_jobs);
                let loss = if set.ends_within(wait) {
                    Loss::default()
                } else {
                    set.loss_after(restart)
                };
                displaceable.then_some(loss)
            });
            let mut plan = plan_preemption(&rest, &candidates, &occupants, max_lost_work)?;
            let mut excess = self.excess_evictions(sets, &plan);
            let late = plan
                .sets
                .iter()
                .filter_map(|&number| Some((number, sets.get(number)?)));
            let late = late.filter(|(_, set)| !set.ends_within(wait) && set.becomes_late(restart));
            let (late_sets, late_jobs): (Vec<usize>, BTreeMap<&JobId, u64>) = late
                .map(|(number, set)| (number, (&set.job, cost_of_lateness(set.priority))))
                .unzip();
            plan.loss.lateness = late_jobs.values().sum();
            if plan.loss.lateness > max_lateness {
                excess.extend(late_sets);
            }
            if excess.is_empty() {
                return Some(plan);
            }
            // At least one set more is kept in each round.
            kept_sets.extend(excess);
        }
    }

    /// Returns the sets of a plan that may not be stopped, since their steps allow no more
    /// unavailable tasks.
    fn excess_evictions(&self, sets: &[RunSet], plan: &PreemptionPlan) -> Vec<usize> {
        let mut allowed: BTreeMap<&StepId, Option<usize>> = BTreeMap::new();
        let planned = plan.sets.iter();
        let planned = planned.filter_map(|&number| Some((number, sets.get(number)?)));
        let excess = planned.filter(|(_, set)| {
            let left = allowed
                .entry(&set.step)
                .or_insert_with(|| self.allowed_evictions(&set.step));
            let Some(left) = left else { return false };
            let after = left.checked_sub(set.available_runs);
            *left = after.unwrap_or(*left);
            after.is_none()
        });
        excess.map(|(number, _)| number).collect()
    }

    /// Returns the longest time from the decision to stop runs to the start of a step in their room.
    fn stop_time(&self) -> Duration {
        self.limits.max_stop_time + START_MARGIN
    }

    /// Returns true if runs may be stopped for the step: it is urgent, and within a guarantee or
    /// still on time after the stop.
    fn may_reclaim(&self, waiting: &WaitingStep) -> bool {
        waiting.guaranteed || (waiting.priority == 0 && waiting.slack >= self.stop_time())
    }

    /// Returns the work that may be lost for an urgent step. Beyond a guarantee it is at most the
    /// step's own work, so that the callers of the stopped runs lose less than its caller gains.
    fn max_lost_work(&self, waiting: &WaitingStep, demand: &Demand) -> u64 {
        if waiting.guaranteed {
            return u64::MAX;
        }
        let work = core_millis(demand.resources, waiting.description().estimated_run_time);
        work.saturating_mul(demand.count as u64)
    }

    /// Returns how long a step may wait for runs to end by themselves before they are stopped: a
    /// guarantee is kept within its reclaim time, and any other step must still be on time.
    fn max_wait_for_ends(&self, waiting: &WaitingStep) -> Duration {
        if waiting.guaranteed || waiting.slack == Duration::MAX {
            let until_reclaimed = self.limits.max_reclaim_time.saturating_sub(waiting.waited);
            return until_reclaimed
                .min(waiting.slack)
                .saturating_sub(self.stop_time());
        }
        let wait = waiting.slack.saturating_sub(self.stop_time());
        // A stop does not make room sooner than a run that ends within its time.
        wait.max(self.limits.max_stop_time)
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
        let loss = plan.loss;
        let reclaim = Reclaim::new(holds, demand.resources, waiting.guaranteed, loss, planned);
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
            self.active.stop(run);
            let Some(active) = self.active.get_mut(run) else {
                continue;
            };
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
}

/// Returns the highest cost of jobs that become late by stopping runs for the step. Beyond a
/// guarantee it is what its own caller loses if it is late.
fn max_lateness(waiting: &WaitingStep) -> u64 {
    if waiting.guaranteed {
        u64::MAX
    } else {
        cost_of_lateness(waiting.priority)
    }
}

/// Returns true if the run set may be stopped for the waiting step.
///
/// A step within a guarantee displaces all runs that are not covered by one. Otherwise, an urgent
/// step displaces only less urgent runs whose tasks were not stopped too often.
fn is_displaceable(set: &RunSet, waiting: &WaitingStep, guaranteed: &BTreeSet<JobId>) -> bool {
    if !waiting.guaranteed {
        return set.priority > 0 && set.preemptions < MAX_PREEMPTIONS;
    }
    set.priority > 0 || (set.organisation != waiting.organisation && !guaranteed.contains(&set.job))
}
