//! Room that is kept for a blocked step until runs have ended by themselves.
//!
//! Without it, small tasks would take each piece of room as it becomes free, and large ones would
//! never start. A reservation names the runs that it waits for and when they are expected to have
//! ended, and it lapses. Tasks that are over by then use its room meanwhile (EASY backfilling).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::Event;
use crate::JobId;
use crate::Resources;
use crate::RunId;
use crate::Scheduler;
use crate::active_runs::DesiredState;
use crate::placement::Demand;
use crate::placement::Loss;
use crate::placement::plan_preemption;
use crate::preemption::ReclaimPass;
use crate::reclaim::TaskGroup;
use crate::room::Availability;
use crate::room::Room;
use crate::run_set::occupants;
use crate::waiting::WaitingStep;

/// The least time that awaited runs may take beyond what is expected: their ends are reported, and
/// committed, within a fraction of it.
const MIN_OVERRUN: Duration = Duration::from_secs(1);

/// The part of the expected time by which awaited runs may exceed it. Estimates are rough.
const OVERRUN_DIVISOR: u32 = 4;

/// The longest reservation that keeps room of a service of which less than half is in use. Callers
/// of small jobs would not see why they wait longer beside idle targets.
const MAX_TIME_ON_IDLE_SERVICE: Duration = Duration::from_secs(10);

/// How long other steps wait for room that a longer reservation keeps idle, and lasting steps for
/// that of any. By the users' requirements no step waits for 3 s beside so much room.
const MAX_WAIT_BESIDE_IDLE_ROOM: Duration = Duration::from_secs(2);

/// After a lapse, a step gets no reservation for this multiple of the time that it had one, so that
/// others have their turn.
const PAUSE_MULTIPLE: u32 = 2;

/// A reservation whose room is kept.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    /// The target for each task, one entry a task.
    targets: Vec<TargetName>,
    /// The runs that have to end first, and when they are expected to have ended.
    awaited: BTreeMap<RunId, Timestamp>,
    lapses_at: Timestamp,
}

impl Kept {
    /// Returns when all awaited runs are expected to have ended.
    fn expected_at(&self) -> Timestamp {
        self.awaited.values().copied().max().unwrap_or_default()
    }
}

/// A reservation whose awaited runs have not ended in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lapsed {
    /// The step gets no other reservation before this time.
    paused_until: Timestamp,
}

/// The reservation of a blocked step. It is `Kept` until the step is placed, or becomes `Lapsed`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation<S> {
    begun_at: Timestamp,
    state: S,
}

/// Room and runs of which a reservation can be made.
struct Plan {
    targets: Vec<TargetName>,
    awaited: BTreeMap<RunId, Timestamp>,
}

impl Reservation<Kept> {
    fn begin(plan: Plan, now: Timestamp) -> Self {
        let mut state = Kept {
            targets: plan.targets,
            awaited: plan.awaited,
            lapses_at: now,
        };
        let wait = state.expected_at().since(now);
        state.lapses_at = now + wait + (wait / OVERRUN_DIVISOR).max(MIN_OVERRUN);
        Self {
            begun_at: now,
            state,
        }
    }

    /// Moves the reservation to other room; it lapses as before.
    fn replan(self, plan: Plan) -> Self {
        Self {
            begun_at: self.begun_at,
            state: Kept {
                lapses_at: self.state.lapses_at,
                targets: plan.targets,
                awaited: plan.awaited,
            },
        }
    }

    fn lapse(self, now: Timestamp) -> Reservation<Lapsed> {
        let kept_for = now.since(self.begun_at);
        Reservation {
            begun_at: self.begun_at,
            state: Lapsed {
                paused_until: now + kept_for * PAUSE_MULTIPLE,
            },
        }
    }

    const fn is_short(&self) -> bool {
        let length = self.state.lapses_at.since(self.begun_at);
        length.as_millis() <= MAX_TIME_ON_IDLE_SERVICE.as_millis()
    }
}

/// The reservations of all blocked steps.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reservations {
    kept: BTreeMap<TaskGroup, Reservation<Kept>>,
    lapsed: BTreeMap<TaskGroup, Reservation<Lapsed>>,
}

impl Reservations {
    /// Drops the reservation of a step of which tasks were placed; the others get a new one.
    pub(crate) fn restart(&mut self, group: &TaskGroup) {
        self.kept.remove(group);
        self.lapsed.remove(group);
    }

    /// Drops the reservations of steps that no longer wait.
    pub(crate) fn retain(&mut self, waiting: &[WaitingStep]) {
        if self.kept.is_empty() && self.lapsed.is_empty() {
            return;
        }
        let groups: BTreeSet<&TaskGroup> = waiting.iter().map(|step| &step.group).collect();
        self.kept.retain(|group, _| groups.contains(group));
        self.lapsed.retain(|group, _| groups.contains(group));
    }
}

/// Room on a target that is kept during the present placement pass.
#[derive(Debug)]
pub(crate) struct ReservedRoom {
    target: TargetName,
    resources: Resources,
    /// When the room is expected to be needed.
    expected_at: Timestamp,
    /// The room is kept for long on a service of which less than half is in use.
    is_long_and_idle: bool,
}

impl ReservedRoom {
    pub(crate) fn hold(&self, room: &mut Room) {
        room.hold(&self.target, self.resources);
    }

    pub(crate) fn release(&self, room: &mut Room) {
        room.release(&self.target, self.resources);
    }

    /// Returns true if a step may be placed in the room.
    pub(crate) fn admits(&self, waiting: &WaitingStep, now: Timestamp) -> bool {
        let run_time = waiting.run_time;
        let is_over_in_time = !waiting.description().long_running
            && run_time > Duration::ZERO
            && now + run_time <= self.expected_at;
        let has_waited = waiting.waited > MAX_WAIT_BESIDE_IDLE_ROOM;
        is_over_in_time
            || (has_waited && (waiting.description().long_running || self.is_long_and_idle))
    }
}

impl Scheduler {
    /// Returns true if less than half of the capacity of the job's service is in use.
    fn is_mostly_idle(&self, job: &JobId) -> bool {
        let Some(service) = self.jobs.get(job).map(|job| &job.rules.service) else {
            return false;
        };
        let of_service = |target: &TargetName| {
            self.target(target)
                .is_some_and(|target| target.description.service == *service)
        };
        let targets = self.targets.values();
        let capacity = targets
            .filter(|target| target.description.service == *service)
            .map(|target| target.description.capacity.weighted_cpu_millis())
            .fold(0, u64::saturating_add);
        let used = self
            .active
            .values()
            .filter(|active| of_service(&active.target.target))
            .map(|active| active.resources.weighted_cpu_millis())
            .fold(0, u64::saturating_add);
        used.saturating_mul(2) < capacity
    }

    /// Keeps the targets that are expected to have enough free resources soonest, until the runs
    /// there should have ended. Runs that last are never waited for.
    pub(crate) fn reserve_earliest(
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
        let group = &waiting.group;
        if let Some(lapsed) = self.reservations.lapsed.get(group) {
            if now < lapsed.state.paused_until {
                return;
            }
            self.reservations.lapsed.remove(group);
        }
        let Some(mut reservation) = self.renew_reservation(waiting, demand, pass, now) else {
            return;
        };
        if now >= reservation.state.lapses_at
            || reservation.state.expected_at() > reservation.state.lapses_at
        {
            let awaited = reservation.state.awaited.keys().cloned().collect();
            self.record_event(Event::ReservationLapsed {
                step: waiting.step.clone(),
                awaited,
            });
            let lapsed = reservation.lapse(now);
            self.reservations.lapsed.insert(group.clone(), lapsed);
            return;
        }
        reservation.state.targets.truncate(demand.count);
        for reserved in self.reserved_room(&reservation, waiting, demand) {
            reserved.hold(&mut pass.room);
            let free = pass.room.free(&reserved.target);
            pass.reserved_free = pass.reserved_free.max(free);
            pass.reserved.push(reserved);
        }
        self.reservations.kept.insert(group.clone(), reservation);
    }

    /// Returns the room that a reservation keeps on each target.
    fn reserved_room(
        &self,
        reservation: &Reservation<Kept>,
        waiting: &WaitingStep,
        demand: &Demand,
    ) -> Vec<ReservedRoom> {
        let is_long_and_idle = !reservation.is_short() && self.is_mostly_idle(&waiting.step.job);
        let mut expected: BTreeMap<&TargetName, Timestamp> = BTreeMap::new();
        for (run, ended_at) in &reservation.state.awaited {
            if let Some(active) = self.active.get(run) {
                let latest = expected.entry(&active.target.target).or_default();
                *latest = (*latest).max(*ended_at);
            }
        }
        let all_expected_at = reservation.state.expected_at();
        let targets = reservation.state.targets.iter();
        let rooms = targets.map(|target| ReservedRoom {
            target: target.clone(),
            resources: demand.resources,
            // The members of a gang start together, other tasks as soon as each has room.
            expected_at: if demand.gang {
                all_expected_at
            } else {
                expected.get(target).copied().unwrap_or_default()
            },
            is_long_and_idle,
        });
        rooms.collect()
    }

    /// Returns the step's reservation as it was if its room can still be counted on, otherwise with
    /// other room; a new one if there was none. `None` if no room can be planned for now.
    fn renew_reservation(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) -> Option<Reservation<Kept>> {
        let earlier = self.reservations.kept.remove(&waiting.group);
        let earlier = match earlier {
            Some(earlier) if self.is_sound(&earlier, demand, pass) => return Some(earlier),
            earlier => earlier,
        };
        let Some(plan) = self.plan_reservation(waiting, demand, pass, now) else {
            // Its time goes on, so that targets that come and go don't make it longer.
            if let Some(earlier) = earlier {
                self.reservations
                    .kept
                    .insert(waiting.group.clone(), earlier);
            }
            return None;
        };
        if let Some(earlier) = earlier {
            return Some(earlier.replan(plan));
        }
        self.record_event(Event::RoomReserved {
            step: waiting.step.clone(),
            targets: plan.targets.clone(),
            awaited: plan.awaited.keys().cloned().collect(),
            expected_in_ms: plan
                .awaited
                .values()
                .map(|ended_at| ended_at.since(now).as_millis())
                .max()
                .map_or(0, |wait| u64::try_from(wait).unwrap_or(u64::MAX)),
        });
        Some(Reservation::begin(plan, now))
    }

    /// Returns true if the room will be free once the awaited runs have ended.
    fn is_sound(
        &self,
        reservation: &Reservation<Kept>,
        demand: &Demand,
        pass: &ReclaimPass,
    ) -> bool {
        let mut needed: BTreeMap<&TargetName, Resources> = BTreeMap::new();
        for target in &reservation.state.targets {
            let needed = needed.entry(target).or_insert(Resources::NONE);
            *needed = needed.plus(demand.resources);
        }
        let awaited = reservation.state.awaited.keys();
        let awaited = awaited.filter_map(|run| Some((run, self.active.get(run)?)));
        let mut ending: BTreeMap<&TargetName, Resources> = BTreeMap::new();
        for (run, active) in awaited {
            // The room counts as leaving already.
            if active.desired() == DesiredState::Run && !pass.awaited.contains(run) {
                let ending = ending
                    .entry(&active.target.target)
                    .or_insert(Resources::NONE);
                *ending = ending.plus(active.resources);
            }
        }
        needed.into_iter().all(|(target, needed)| {
            let ending = ending.get(target).copied().unwrap_or(Resources::NONE);
            let available = pass.room.available(target, Availability::Eventual);
            available.is_some_and(|available| available.plus(ending).fits(needed))
        })
    }

    fn plan_reservation(
        &mut self,
        waiting: &WaitingStep,
        demand: &Demand,
        pass: &mut ReclaimPass,
        now: Timestamp,
    ) -> Option<Plan> {
        let candidates = self.candidates(waiting, demand, &pass.room, Availability::Eventual, now);
        let sets = pass
            .sets
            .get_or_insert_with(|| self.run_sets(&pass.awaited, now, pass.wall));
        // The loss is the time to wait here.
        let occupants = occupants(sets, |_, set| {
            let remaining = set.expected_remaining?.as_millis();
            Some(Loss {
                worn_out: 0,
                lateness: 0,
                core_millis: u64::try_from(remaining).unwrap_or(u64::MAX),
            })
        });
        let plan = plan_preemption(demand, &candidates, &occupants, u64::MAX)?;
        let planned = plan.sets.iter().filter_map(|&index| sets.get(index));
        let awaited = planned.flat_map(|set| {
            let ended_at = now + set.expected_remaining.unwrap_or_default();
            set.runs.iter().map(move |run| (run.clone(), ended_at))
        });
        Some(Plan {
            awaited: awaited.collect(),
            targets: plan.targets,
        })
    }
}
