use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::Machine;
use crate::MachineId;
use crate::MachineState;
use crate::Scheduler;
use crate::UpkeepOutcome;
use crate::UpkeepWave;

/// The time that one machine is counted on to be away: 2 s of upkeep on the users' sheets, and
/// as long until its new target has reported.
const TURN: Duration = Duration::from_secs(4);

/// Runs are stopped this long before their machine has to begin, so that they save their state:
/// the longest stop on the users' sheets takes 900 ms.
const CLEARING: Duration = Duration::from_millis(1500);

/// The wait before an order that wasn't carried out, or not certainly, is given again; a machine
/// that is busy or a service that is slow stays so for seconds, and each call is priced.
const RETRY: Duration = Duration::from_millis(500);

/// A new scheduler gives no orders to machines for so long. Orders for one machine by two
/// schedulers in turn are a fault within 3 s on the users' sheets.
const HOLD_OFF: Duration = Duration::from_millis(3500);

value! {
    /// Something to do for a wave.
    pub enum UpkeepAction {
        /// Order a machine to begin its upkeep.
        Begin {
            /// The wave.
            wave: u32,
            /// The machine.
            machine: MachineId,
        },
        /// Make durable, and tell operators, that all machines have begun.
        Complete {
            /// The wave.
            wave: u32,
        },
    }
}

/// How far a machine of a wave is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    /// The order may be carried out from now on, or may have been.
    Asked,
    /// It has begun; it is down until a list that was asked for later shows it up.
    Begun(Timestamp),
    /// It is up again, or needs no upkeep.
    Over,
}

#[derive(Clone, Debug)]
struct Turn {
    progress: Progress,
    in_flight: bool,
    retry_at: Timestamp,
}

#[derive(Clone, Debug)]
struct WaveState {
    wave: UpkeepWave,
    ordered_at: Timestamp,
    turns: BTreeMap<MachineId, Turn>,
    completed: bool,
}

/// Carries out waves of upkeep: in time, with few machines down at once, and where possible
/// while nothing runs on them.
#[derive(Clone, Debug)]
pub struct UpkeepPlanner {
    waves: BTreeMap<u32, WaveState>,
    machines: BTreeMap<MachineId, Machine>,
    begins_at: Timestamp,
}

impl UpkeepPlanner {
    /// Starts with no waves at the time of taking over.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            waves: BTreeMap::new(),
            machines: BTreeMap::new(),
            begins_at: now + HOLD_OFF,
        }
    }

    /// Takes over what operators have ordered; `ordered_at` says when a wave was first seen.
    /// Waves that are known to be completed are left out by the caller.
    pub fn set_waves(&mut self, waves: &[UpkeepWave], ordered_at: impl Fn(u32) -> Timestamp) {
        self.waves
            .retain(|number, _| waves.iter().any(|wave| wave.number == *number));
        for wave in waves {
            let known = self.waves.get(&wave.number);
            if known.is_some_and(|known| known.wave == *wave) {
                continue;
            }
            let before = self.waves.remove(&wave.number);
            let turn = |machine: &MachineId| {
                let known = before.as_ref().and_then(|before| before.turns.get(machine));
                let turn = known.cloned().unwrap_or(Turn {
                    progress: Progress::Waiting,
                    in_flight: false,
                    retry_at: Timestamp::ZERO,
                });
                (machine.clone(), turn)
            };
            let state = WaveState {
                turns: wave.machines.iter().map(turn).collect(),
                ordered_at: ordered_at(wave.number),
                wave: wave.clone(),
                completed: false,
            };
            self.waves.insert(wave.number, state);
        }
    }

    /// True while a wave isn't over, so that the list of machines is needed.
    #[must_use]
    pub fn has_active_waves(&self) -> bool {
        self.waves.values().any(|state| !state.is_over())
    }

    /// Takes the whole list of machines; it was asked for at `sent_at`.
    pub fn update_machines(&mut self, machines: Vec<Machine>, sent_at: Timestamp) {
        self.machines = machines
            .into_iter()
            .map(|machine| (machine.id.clone(), machine))
            .collect();
        for state in self.waves.values_mut() {
            for (id, turn) in &mut state.turns {
                let machine = self.machines.get(id);
                turn.progress = match (turn.progress, machine) {
                    (Progress::Begun(at), Some(machine)) if machine.is_up() && sent_at > at => {
                        Progress::Over
                    }
                    // A machine that is gone for good needs no upkeep.
                    (Progress::Waiting | Progress::Begun(_), None) => Progress::Over,
                    (progress, _) => progress,
                };
            }
        }
    }

    /// What is due, and, as a side effect, which targets get no new work for it.
    pub fn plan_actions(&mut self, scheduler: &mut Scheduler, now: Timestamp) -> Vec<UpkeepAction> {
        let mut actions = Vec::new();
        let mut resting = BTreeSet::new();
        if now >= self.begins_at && !self.machines.is_empty() {
            for state in self.waves.values_mut() {
                state.act(&self.machines, scheduler, &mut resting, &mut actions, now);
            }
        }
        scheduler.cordon(resting);
        actions
    }

    /// Takes the outcome of an order to begin.
    pub fn handle_outcome(
        &mut self,
        wave: u32,
        machine: &MachineId,
        outcome: UpkeepOutcome,
        now: Timestamp,
    ) {
        let turn = self.waves.get_mut(&wave);
        let Some(turn) = turn.and_then(|state| state.turns.get_mut(machine)) else {
            return;
        };
        turn.in_flight = false;
        turn.retry_at = now + RETRY;
        turn.progress = match outcome {
            UpkeepOutcome::Begun => Progress::Begun(now),
            UpkeepOutcome::NotNeeded => Progress::Over,
            // An earlier order that went unanswered may still be carried out.
            UpkeepOutcome::Busy | UpkeepOutcome::Fenced | UpkeepOutcome::Unknown => Progress::Asked,
        };
    }

    /// Notes that operators have been told that a wave is completed.
    pub fn mark_completed(&mut self, wave: u32) {
        if let Some(state) = self.waves.get_mut(&wave) {
            state.completed = true;
        }
    }
}

impl WaveState {
    fn is_over(&self) -> bool {
        self.completed
            && self
                .turns
                .values()
                .all(|turn| turn.progress == Progress::Over)
    }

    fn has_begun(&self) -> bool {
        let begun = |turn: &Turn| matches!(turn.progress, Progress::Begun(_) | Progress::Over);
        self.turns.values().all(begun)
    }

    fn act(
        &mut self,
        machines: &BTreeMap<MachineId, Machine>,
        scheduler: &mut Scheduler,
        resting: &mut BTreeSet<TargetName>,
        actions: &mut Vec<UpkeepAction>,
        now: Timestamp,
    ) {
        if self.has_begun() {
            if !self.completed {
                actions.push(UpkeepAction::Complete {
                    wave: self.wave.number,
                });
            }
            return;
        }
        let most = self.wave.max_down.max(1) as usize;
        let away = self.turns.iter().filter(|(id, turn)| {
            // An upkeep that the scheduler before has ordered.
            let inherited = || {
                let machine = machines.get(*id);
                machine.is_some_and(|machine| machine.state == MachineState::Upkeep)
            };
            match turn.progress {
                Progress::Asked | Progress::Begun(_) => true,
                Progress::Waiting => inherited(),
                Progress::Over => false,
            }
        });
        let free = most.saturating_sub(away.count());
        for (id, turn) in &self.turns {
            let target = machines.get(id).and_then(|machine| machine.target.as_ref());
            if matches!(turn.progress, Progress::Asked | Progress::Begun(_))
                && let Some(target) = target
            {
                resting.insert(target.clone());
            }
        }
        self.ask_again(actions, now);
        let begin_by = self.begin_by(most);
        let mut candidates = self.candidates(machines, scheduler);
        candidates.truncate(free);
        for (id, target) in candidates {
            let idle = target
                .as_ref()
                .is_none_or(|target| scheduler.is_target_idle(target));
            if !idle && let Some(target) = &target {
                resting.insert(target.clone());
                if now + CLEARING >= begin_by {
                    scheduler.evict_target(target);
                }
            }
            if idle && let Some(turn) = self.turns.get_mut(&id) {
                turn.progress = Progress::Asked;
                turn.in_flight = true;
                actions.push(UpkeepAction::Begin {
                    wave: self.wave.number,
                    machine: id,
                });
            }
            if let Some(target) = target {
                resting.insert(target);
            }
        }
    }

    /// Repeats orders that may not have been carried out; their machines count as down.
    fn ask_again(&mut self, actions: &mut Vec<UpkeepAction>, now: Timestamp) {
        for (id, turn) in &mut self.turns {
            if turn.progress == Progress::Asked && !turn.in_flight && now >= turn.retry_at {
                turn.in_flight = true;
                actions.push(UpkeepAction::Begin {
                    wave: self.wave.number,
                    machine: id.clone(),
                });
            }
        }
    }

    /// When the next machines have to begin, so that all have by the end of the wave's time.
    fn begin_by(&self, most: usize) -> Timestamp {
        let waiting = self.turns.values();
        let waiting = waiting
            .filter(|turn| turn.progress == Progress::Waiting)
            .count();
        let turns = u32::try_from(waiting.div_ceil(most)).unwrap_or(u32::MAX);
        let end = self.ordered_at + self.wave.time_limit;
        let lead = TURN * turns;
        Timestamp::from_millis(
            end.as_millis()
                .saturating_sub(u64::try_from(lead.as_millis()).unwrap_or(u64::MAX)),
        )
    }

    /// The machines that may begin, those first on which the least work runs.
    fn candidates(
        &self,
        machines: &BTreeMap<MachineId, Machine>,
        scheduler: &Scheduler,
    ) -> Vec<(MachineId, Option<TargetName>)> {
        let waiting = self
            .turns
            .iter()
            .filter(|(_, turn)| turn.progress == Progress::Waiting);
        let up = waiting.filter_map(|(id, _)| machines.get(id).filter(|machine| machine.is_up()));
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
