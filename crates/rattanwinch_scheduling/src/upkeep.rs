use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::ListExtent;
use crate::Machine;
use crate::MachineId;
use crate::MachineState;
use crate::Scheduler;
use crate::UpkeepOutcome;
use crate::UpkeepWave;

/// The expected downtime of a machine: 2 s of upkeep in the users' requirements, and 2 s until its
/// new target has reported.
const MACHINE_DOWNTIME: Duration = Duration::from_secs(4);

/// Runs are evicted this long before their machine has to begin, so that they can write a
/// checkpoint. The slowest stop in the users' requirements takes 900 ms.
const EVICTION_LEAD_TIME: Duration = Duration::from_millis(1500);

/// The delay before an unconfirmed order is sent again. A busy machine or a slow service stays so
/// for seconds, and each call is billed.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a new scheduler sends no orders to machines. By the users' requirements, orders for one
/// machine from two schedulers within 3 s are a fault.
const TAKEOVER_DELAY: Duration = Duration::from_millis(3500);

value! {
    /// An action to carry out for a wave.
    pub enum UpkeepAction {
        /// Orders a machine to begin its upkeep.
        Begin {
            /// The number of the wave.
            wave: u32,
            /// The machine.
            machine: MachineId,
        },
        /// Records and reports to operators that all machines have begun.
        Complete {
            /// The number of the wave.
            wave: u32,
        },
    }
}

/// The progress of a machine in a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    /// The order was sent and may have been carried out.
    Ordered,
    /// The upkeep has begun; the machine counts as down until a later listing shows it up.
    Begun(Timestamp),
    /// The machine is up again, or needs no upkeep.
    Finished,
}

#[derive(Clone, Debug)]
struct MachineUpkeep {
    progress: Progress,
    in_flight: bool,
    retry_at: Timestamp,
}

#[derive(Clone, Debug)]
struct WaveState {
    wave: UpkeepWave,
    ordered_at: Timestamp,
    machines: BTreeMap<MachineId, MachineUpkeep>,
    completed: bool,
}

/// Carries out waves of upkeep: within their time limits, with a bounded number of machines down
/// at once, and preferably while the machines are idle.
#[derive(Clone, Debug)]
pub struct UpkeepPlanner {
    waves: BTreeMap<u32, WaveState>,
    machines: BTreeMap<MachineId, Machine>,
    orders_allowed_at: Timestamp,
}

impl UpkeepPlanner {
    /// Creates a planner without waves at the time of the takeover.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            waves: BTreeMap::new(),
            machines: BTreeMap::new(),
            orders_allowed_at: now + TAKEOVER_DELAY,
        }
    }

    /// Replaces the waves with those that operators have ordered.
    ///
    /// `ordered_at` returns when a wave was first seen. The caller omits completed waves.
    pub fn set_waves(&mut self, waves: &[UpkeepWave], ordered_at: impl Fn(u32) -> Timestamp) {
        self.waves
            .retain(|number, _| waves.iter().any(|wave| wave.number == *number));
        for wave in waves {
            let known = self.waves.get(&wave.number);
            if known.is_some_and(|known| known.wave == *wave) {
                continue;
            }
            let previous = self.waves.remove(&wave.number);
            let machine_upkeep = |machine: &MachineId| {
                let known = previous
                    .as_ref()
                    .and_then(|previous| previous.machines.get(machine));
                let machine_upkeep = known.cloned().unwrap_or(MachineUpkeep {
                    progress: Progress::Pending,
                    in_flight: false,
                    retry_at: Timestamp::ZERO,
                });
                (machine.clone(), machine_upkeep)
            };
            let state = WaveState {
                machines: wave.machines.iter().map(machine_upkeep).collect(),
                ordered_at: ordered_at(wave.number),
                wave: wave.clone(),
                completed: false,
            };
            self.waves.insert(wave.number, state);
        }
    }

    /// Returns true while a wave is unfinished, so that machine listings are needed.
    #[must_use]
    pub fn has_active_waves(&self) -> bool {
        self.waves.values().any(|state| !state.is_finished())
    }

    /// Applies a listing of the machines, requested at `sent_at`.
    pub fn update_machines(
        &mut self,
        machines: Vec<Machine>,
        extent: ListExtent,
        sent_at: Timestamp,
    ) {
        self.machines = machines
            .into_iter()
            .map(|machine| (machine.id.clone(), machine))
            .collect();
        for state in self.waves.values_mut() {
            for (id, machine_upkeep) in &mut state.machines {
                let machine = self.machines.get(id);
                machine_upkeep.progress = match (machine_upkeep.progress, machine) {
                    (Progress::Begun(at), Some(machine)) if machine.is_up() && sent_at > at => {
                        Progress::Finished
                    }
                    // A machine that no longer exists needs no upkeep.
                    (Progress::Pending | Progress::Begun(_), None)
                        if extent == ListExtent::Complete =>
                    {
                        Progress::Finished
                    }
                    (progress, _) => progress,
                };
            }
        }
    }

    /// Returns the actions that are due, and cordons the targets of the machines concerned.
    pub fn plan_actions(&mut self, scheduler: &mut Scheduler, now: Timestamp) -> Vec<UpkeepAction> {
        let mut actions = Vec::new();
        let mut cordoned = BTreeSet::new();
        if now >= self.orders_allowed_at && !self.machines.is_empty() {
            for state in self.waves.values_mut() {
                state.plan_actions(&self.machines, scheduler, &mut cordoned, &mut actions, now);
            }
        }
        scheduler.cordon(cordoned);
        actions
    }

    /// Handles the outcome of an order to begin an upkeep.
    pub fn handle_outcome(
        &mut self,
        wave: u32,
        machine: &MachineId,
        outcome: UpkeepOutcome,
        now: Timestamp,
    ) {
        let machine_upkeep = self.waves.get_mut(&wave);
        let Some(machine_upkeep) = machine_upkeep.and_then(|state| state.machines.get_mut(machine))
        else {
            return;
        };
        machine_upkeep.in_flight = false;
        machine_upkeep.retry_at = now + ORDER_RETRY_DELAY;
        machine_upkeep.progress = match outcome {
            UpkeepOutcome::Begun => Progress::Begun(now),
            UpkeepOutcome::NotNeeded => Progress::Finished,
            // An earlier order without a response may still be carried out.
            UpkeepOutcome::Busy | UpkeepOutcome::Fenced | UpkeepOutcome::Unknown => {
                Progress::Ordered
            }
        };
    }

    /// Marks a wave as reported to operators as completed.
    pub fn mark_completed(&mut self, wave: u32) {
        if let Some(state) = self.waves.get_mut(&wave) {
            state.completed = true;
        }
    }
}

impl WaveState {
    fn is_finished(&self) -> bool {
        self.completed
            && self
                .machines
                .values()
                .all(|machine_upkeep| machine_upkeep.progress == Progress::Finished)
    }

    fn have_all_begun(&self) -> bool {
        let begun = |machine_upkeep: &MachineUpkeep| {
            matches!(
                machine_upkeep.progress,
                Progress::Begun(_) | Progress::Finished
            )
        };
        self.machines.values().all(begun)
    }

    fn plan_actions(
        &mut self,
        listed: &BTreeMap<MachineId, Machine>,
        scheduler: &mut Scheduler,
        cordoned: &mut BTreeSet<TargetName>,
        actions: &mut Vec<UpkeepAction>,
        now: Timestamp,
    ) {
        if self.have_all_begun() {
            if !self.completed {
                actions.push(UpkeepAction::Complete {
                    wave: self.wave.number,
                });
            }
            return;
        }
        let max_down = self.wave.max_down.max(1) as usize;
        let down = self.machines.iter().filter(|(id, machine_upkeep)| {
            // An upkeep that a previous scheduler has ordered.
            let inherited = || {
                let machine = listed.get(*id);
                machine.is_some_and(|machine| machine.state == MachineState::Upkeep)
            };
            match machine_upkeep.progress {
                Progress::Ordered | Progress::Begun(_) => true,
                Progress::Pending => inherited(),
                Progress::Finished => false,
            }
        });
        let free = max_down.saturating_sub(down.count());
        for (id, machine_upkeep) in &self.machines {
            let target = listed.get(id).and_then(|machine| machine.target.as_ref());
            if matches!(
                machine_upkeep.progress,
                Progress::Ordered | Progress::Begun(_)
            ) && let Some(target) = target
            {
                cordoned.insert(target.clone());
            }
        }
        self.retry_unconfirmed_orders(actions, now);
        let latest_begin = self.latest_begin(max_down);
        let mut candidates = self.candidates(listed, scheduler);
        if now + EVICTION_LEAD_TIME >= latest_begin {
            // The answer to an order shows whether a machine that no list names exists.
            candidates.extend(self.unlisted(listed).map(|id| (id.clone(), None)));
        }
        candidates.truncate(free);
        for (id, target) in candidates {
            let idle = target
                .as_ref()
                .is_none_or(|target| scheduler.is_target_idle(target));
            if !idle && let Some(target) = &target {
                cordoned.insert(target.clone());
                if now + EVICTION_LEAD_TIME >= latest_begin {
                    scheduler.evict_target(target);
                }
            }
            if idle && let Some(machine_upkeep) = self.machines.get_mut(&id) {
                machine_upkeep.progress = Progress::Ordered;
                machine_upkeep.in_flight = true;
                actions.push(UpkeepAction::Begin {
                    wave: self.wave.number,
                    machine: id,
                });
            }
            if let Some(target) = target {
                cordoned.insert(target);
            }
        }
    }

    /// Repeats unconfirmed orders; their machines count as down.
    fn retry_unconfirmed_orders(&mut self, actions: &mut Vec<UpkeepAction>, now: Timestamp) {
        for (id, machine_upkeep) in &mut self.machines {
            if machine_upkeep.progress == Progress::Ordered
                && !machine_upkeep.in_flight
                && now >= machine_upkeep.retry_at
            {
                machine_upkeep.in_flight = true;
                actions.push(UpkeepAction::Begin {
                    wave: self.wave.number,
                    machine: id.clone(),
                });
            }
        }
    }

    /// Returns when the next machines must begin for all to begin within the wave's time limit.
    fn latest_begin(&self, max_down: usize) -> Timestamp {
        let waiting = self.machines.values();
        let waiting = waiting
            .filter(|machine_upkeep| machine_upkeep.progress == Progress::Pending)
            .count();
        let rounds = u32::try_from(waiting.div_ceil(max_down)).unwrap_or(u32::MAX);
        let end = self.ordered_at + self.wave.time_limit;
        let lead = MACHINE_DOWNTIME * rounds;
        Timestamp::from_millis(
            end.as_millis()
                .saturating_sub(u64::try_from(lead.as_millis()).unwrap_or(u64::MAX)),
        )
    }

    /// Returns the machines that have not begun and are not in the last, partial, listing.
    fn unlisted<'a>(
        &'a self,
        listed: &'a BTreeMap<MachineId, Machine>,
    ) -> impl Iterator<Item = &'a MachineId> {
        let waiting = self.machines.iter();
        let waiting = waiting.filter(|(id, upkeep)| {
            upkeep.progress == Progress::Pending && !listed.contains_key(*id)
        });
        waiting.map(|(id, _)| id)
    }

    /// Returns the machines that may begin, the least loaded first.
    fn candidates(
        &self,
        listed: &BTreeMap<MachineId, Machine>,
        scheduler: &Scheduler,
    ) -> Vec<(MachineId, Option<TargetName>)> {
        let waiting = self
            .machines
            .iter()
            .filter(|(_, machine_upkeep)| machine_upkeep.progress == Progress::Pending);
        let up = waiting.filter_map(|(id, _)| listed.get(id).filter(|machine| machine.is_up()));
        let mut candidates: Vec<_> = up
            .map(|machine| (machine.id.clone(), machine.target.clone()))
            .collect();
        candidates.sort_by_key(|(_, target)| {
            target
                .as_ref()
                .map_or(0, |target| scheduler.target_load(target))
        });
        candidates
    }
}
