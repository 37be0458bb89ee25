//! Waves of upkeep.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::Machine;
use rattanwinch_scheduling::MachineId;
use rattanwinch_scheduling::MachineState;
use rattanwinch_scheduling::UpkeepAction;
use rattanwinch_scheduling::UpkeepOutcome;
use rattanwinch_scheduling::UpkeepPlanner;
use rattanwinch_scheduling::UpkeepWave;

use crate::fixture::Fixture;
use crate::fixture::step;
use crate::fixture::target;

/// Longer than a new scheduler waits before it orders anything.
const HOLD_OFF_MS: u64 = 4_000;

struct Waves {
    site: Fixture,
    planner: UpkeepPlanner,
    states: Vec<MachineState>,
}

impl Waves {
    /// A wave over as many machines as there are targets, ordered now.
    fn start(machines: usize, time_limit: Duration, max_down: u32) -> Self {
        let site = Fixture::new(machines);
        let mut planner = UpkeepPlanner::new(site.now);
        let ids = (0..machines).map(machine);
        let wave = UpkeepWave {
            number: 1,
            machines: ids.collect::<Arc<[_]>>(),
            time_limit,
            max_down,
        };
        planner.set_waves(&[wave], |_| site.now);
        let mut waves = Self {
            site,
            planner,
            states: vec![MachineState::Up; machines],
        };
        waves.wait(HOLD_OFF_MS);
        waves
    }

    fn wait(&mut self, millis: u64) {
        self.site.wait(millis);
        let machines = self
            .states
            .iter()
            .enumerate()
            .map(|(number, state)| Machine {
                id: machine(number),
                state: *state,
                target: Some(target(number)),
            });
        self.planner
            .update_machines(machines.collect(), self.site.now);
    }

    /// The machines that are ordered to begin now.
    fn begun(&mut self) -> Vec<usize> {
        let actions = self
            .planner
            .plan_actions(&mut self.site.scheduler, self.site.now);
        let begun = actions.iter().filter_map(|action| match action {
            UpkeepAction::Begin { machine, .. } => machine.as_str()[1..].parse().ok(),
            UpkeepAction::Complete { .. } => None,
        });
        begun.collect()
    }

    fn answer(&mut self, number: usize, outcome: UpkeepOutcome) {
        self.planner
            .handle_outcome(1, &machine(number), outcome, self.site.now);
    }

    fn is_completed(&mut self) -> bool {
        let actions = self
            .planner
            .plan_actions(&mut self.site.scheduler, self.site.now);
        actions
            .iter()
            .any(|action| matches!(action, UpkeepAction::Complete { .. }))
    }
}

fn machine(number: usize) -> MachineId {
    MachineId::from(format!("m{number}").as_str())
}

/// Operators allow only so many machines down; each one more takes room that was promised.
#[test]
fn no_more_machines_go_down_than_allowed() {
    let mut waves = Waves::start(3, Duration::from_secs(60), 1);
    let first = waves.begun();
    assert_eq!(first.len(), 1);
    assert!(waves.begun().is_empty(), "its order is on the way");
    waves.answer(first[0], UpkeepOutcome::Begun);
    waves.states[first[0]] = MachineState::Upkeep;
    waves.wait(1_000);
    assert!(waves.begun().is_empty(), "it is down");
    waves.states[first[0]] = MachineState::Up;
    waves.wait(1_000);
    let second = waves.begun();
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
}

/// An order without an answer may be carried out seconds later.
#[test]
fn a_machine_whose_order_is_unanswered_counts_as_down() {
    let mut waves = Waves::start(2, Duration::from_secs(60), 1);
    let first = waves.begun();
    waves.answer(first[0], UpkeepOutcome::Unknown);
    waves.wait(2_000);
    assert_eq!(waves.begun(), first, "only the same order is repeated");
    waves.answer(first[0], UpkeepOutcome::Begun);
    waves.states[first[0]] = MachineState::Upkeep;
    waves.wait(100);
    assert!(waves.begun().is_empty());
}

/// Work that an upkeep ends is thrown away, so machines without work come first and those with
/// work get nothing new.
#[test]
fn idle_machines_come_first_and_busy_ones_are_emptied() {
    let mut waves = Waves::start(2, Duration::from_secs(60), 2);
    let job = waves.site.submit(1, "a", &[step(1, 8)]);
    waves.site.step();
    let busy = waves.site.running(&job)[0].clone();
    let begun = waves.begun();
    assert_eq!(begun.len(), 1);
    assert_ne!(target(begun[0]), busy);
    waves.answer(begun[0], UpkeepOutcome::Begun);
    waves.site.submit(1, "a", &[step(1, 1)]);
    waves.begun();
    assert!(waves.site.step().is_empty(), "both targets are kept free");
    waves
        .site
        .end_job(&job, rattanwinch_scheduling::RunOutcome::Done);
    assert_eq!(waves.begun().len(), 1, "the work has ended");
}

/// A wave has to be over in its time, also if work would go on for longer.
#[test]
fn work_gives_way_when_the_time_runs_out() {
    let mut waves = Waves::start(1, Duration::from_secs(20), 1);
    let job = waves.site.submit(1, "a", &[step(1, 8)]);
    waves.site.step();
    assert!(waves.begun().is_empty());
    waves.wait(4_000);
    assert!(waves.begun().is_empty(), "there is time left");
    waves.wait(8_000);
    waves.begun();
    waves.site.step();
    assert!(waves.site.running(&job).is_empty(), "the run was stopped");
    assert_eq!(waves.begun().len(), 1);
}

/// Callers of serving tasks notice when more of them are away than their owner allows.
#[test]
fn serving_tasks_go_away_only_as_far_as_allowed() {
    let mut waves = Waves::start(2, Duration::from_secs(10), 2);
    let mut serving = step(2, 8);
    serving.long_running = true;
    serving.max_unavailable = Some(1);
    let job = waves.site.submit(1, "a", &[serving]);
    waves.site.step();
    for number in 0..2 {
        waves.site.report_mut(number).running[0].percent = 100;
    }
    waves.site.hung = true;
    waves.wait(8_000);
    waves.begun();
    waves.site.step();
    assert_eq!(waves.site.running(&job).len(), 1, "one stays at work");
}

/// A wave that is called completed too early leaves machines without their upkeep.
#[test]
fn a_wave_is_completed_once_all_machines_have_begun() {
    let mut waves = Waves::start(2, Duration::from_secs(60), 2);
    assert_eq!(waves.begun().len(), 2);
    waves.answer(0, UpkeepOutcome::Begun);
    assert!(!waves.is_completed());
    waves.answer(1, UpkeepOutcome::NotNeeded);
    assert!(waves.is_completed());
    waves.planner.mark_completed(1);
    assert!(waves.planner.has_active_waves(), "a machine is still down");
    waves.wait(1_000);
    assert!(!waves.planner.has_active_waves());
}

/// Orders of two schedulers for one machine in short turn are a fault.
#[test]
fn a_new_scheduler_waits_before_it_orders() {
    let site = Fixture::new(1);
    let mut planner = UpkeepPlanner::new(site.now);
    let wave = UpkeepWave {
        number: 1,
        machines: Arc::from([machine(0)]),
        time_limit: Duration::from_secs(1),
        max_down: 1,
    };
    planner.set_waves(&[wave], |_| site.now);
    let mut waves = Waves {
        site,
        planner,
        states: vec![MachineState::Up],
    };
    waves.wait(3_000);
    assert!(waves.begun().is_empty());
    waves.wait(1_000);
    assert_eq!(waves.begun(), [0]);
}
