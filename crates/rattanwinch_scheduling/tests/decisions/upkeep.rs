//! Tests of upkeep waves.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::ListExtent;
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

/// Longer than the time for which a new scheduler sends no orders.
const TAKEOVER_DELAY_MS: u64 = 4_000;

struct UpkeepFixture {
    site: Fixture,
    planner: UpkeepPlanner,
    states: Vec<MachineState>,
    /// The machine whose row in the list can't be read.
    unreadable: Option<usize>,
}

impl UpkeepFixture {
    /// Creates a wave over all machines, one per target, ordered now.
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
        let mut fixture = Self {
            site,
            planner,
            states: vec![MachineState::Up; machines],
            unreadable: None,
        };
        fixture.wait(TAKEOVER_DELAY_MS);
        fixture
    }

    fn wait(&mut self, millis: u64) {
        self.site.wait(millis);
        let machines = self
            .states
            .iter()
            .enumerate()
            .filter(|(number, _)| Some(*number) != self.unreadable)
            .map(|(number, state)| Machine {
                id: machine(number),
                state: *state,
                target: Some(target(number)),
            });
        let extent = match self.unreadable {
            None => ListExtent::Complete,
            Some(_) => ListExtent::Partial,
        };
        self.planner
            .update_machines(machines.collect(), extent, self.site.now);
    }

    /// Returns the machines that are ordered to begin now.
    fn ordered_machines(&mut self) -> Vec<usize> {
        let actions = self
            .planner
            .plan_actions(&mut self.site.scheduler, self.site.now);
        let ordered = actions.iter().filter_map(|action| match action {
            UpkeepAction::Begin { machine, .. } => machine.as_str()[1..].parse().ok(),
            UpkeepAction::Complete { .. } => None,
        });
        ordered.collect()
    }

    fn handle_outcome(&mut self, number: usize, outcome: UpkeepOutcome) {
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

/// Guards against more machines down than operators allow, which takes guaranteed capacity.
#[test]
fn no_more_machines_go_down_than_allowed() {
    let mut fixture = UpkeepFixture::start(3, Duration::from_secs(60), 1);
    let first = fixture.ordered_machines();
    assert_eq!(first.len(), 1);
    assert!(
        fixture.ordered_machines().is_empty(),
        "its order is in flight"
    );
    fixture.handle_outcome(first[0], UpkeepOutcome::Begun);
    fixture.states[first[0]] = MachineState::Upkeep;
    fixture.wait(1_000);
    assert!(fixture.ordered_machines().is_empty(), "the machine is down");
    fixture.states[first[0]] = MachineState::Up;
    fixture.wait(1_000);
    let second = fixture.ordered_machines();
    assert_eq!(second.len(), 1);
    assert_ne!(second, first);
}

/// Guards against ordering a second machine while an unanswered order may still be carried out.
#[test]
fn a_machine_whose_order_is_unanswered_counts_as_down() {
    let mut fixture = UpkeepFixture::start(2, Duration::from_secs(60), 1);
    let first = fixture.ordered_machines();
    fixture.handle_outcome(first[0], UpkeepOutcome::Unknown);
    fixture.wait(2_000);
    assert_eq!(
        fixture.ordered_machines(),
        first,
        "only the same order is repeated"
    );
    fixture.handle_outcome(first[0], UpkeepOutcome::Begun);
    fixture.states[first[0]] = MachineState::Upkeep;
    fixture.wait(100);
    assert!(fixture.ordered_machines().is_empty());
}

/// Guards against work lost to upkeep: idle machines go first, and the targets of busy ones get no
/// new tasks.
#[test]
fn idle_machines_go_first_and_busy_ones_are_cordoned() {
    let mut fixture = UpkeepFixture::start(2, Duration::from_secs(60), 2);
    let job = fixture.site.submit(1, "a", &[step(1, 8)]);
    fixture.site.step();
    let busy = fixture.site.running(&job)[0].clone();
    let ordered = fixture.ordered_machines();
    assert_eq!(ordered.len(), 1);
    assert_ne!(target(ordered[0]), busy);
    fixture.handle_outcome(ordered[0], UpkeepOutcome::Begun);
    fixture.site.submit(1, "a", &[step(1, 1)]);
    fixture.ordered_machines();
    assert!(fixture.site.step().is_empty(), "both targets are cordoned");
    fixture
        .site
        .end_job(&job, rattanwinch_scheduling::RunOutcome::Done);
    assert_eq!(fixture.ordered_machines().len(), 1, "the run has ended");
}

/// Guards against a wave that exceeds its time limit because of long runs.
#[test]
fn runs_are_evicted_when_the_time_limit_approaches() {
    let mut fixture = UpkeepFixture::start(1, Duration::from_secs(20), 1);
    let job = fixture.site.submit(1, "a", &[step(1, 8)]);
    fixture.site.step();
    assert!(fixture.ordered_machines().is_empty());
    fixture.wait(4_000);
    assert!(fixture.ordered_machines().is_empty(), "there is time left");
    fixture.wait(8_000);
    fixture.ordered_machines();
    fixture.site.step();
    assert!(fixture.site.running(&job).is_empty(), "the run was stopped");
    assert_eq!(fixture.ordered_machines().len(), 1);
}

/// Guards against more unavailable serving tasks than their owner allows.
#[test]
fn evictions_respect_the_limit_of_unavailable_tasks() {
    let mut fixture = UpkeepFixture::start(2, Duration::from_secs(10), 2);
    let mut serving = step(2, 8);
    serving.long_running = true;
    serving.max_unavailable = Some(1);
    let job = fixture.site.submit(1, "a", &[serving]);
    fixture.site.step();
    for number in 0..2 {
        fixture.site.report_mut(number).lists.running[0].percent = 100;
    }
    fixture.site.is_hung = true;
    fixture.wait(8_000);
    fixture.ordered_machines();
    fixture.site.step();
    assert_eq!(
        fixture.site.running(&job).len(),
        1,
        "one task stays available"
    );
}

/// Guards against completing a wave while machines have not begun their upkeep.
#[test]
fn a_wave_is_completed_once_all_machines_have_begun() {
    let mut fixture = UpkeepFixture::start(2, Duration::from_secs(60), 2);
    assert_eq!(fixture.ordered_machines().len(), 2);
    fixture.handle_outcome(0, UpkeepOutcome::Begun);
    assert!(!fixture.is_completed());
    fixture.handle_outcome(1, UpkeepOutcome::NotNeeded);
    assert!(fixture.is_completed());
    fixture.planner.mark_completed(1);
    assert!(
        fixture.planner.has_active_waves(),
        "a machine is still down"
    );
    fixture.wait(1_000);
    assert!(!fixture.planner.has_active_waves());
}

/// Guards against orders of two schedulers for one machine in quick succession, which is a fault.
#[test]
fn a_new_scheduler_delays_its_first_orders() {
    let site = Fixture::new(1);
    let mut planner = UpkeepPlanner::new(site.now);
    let wave = UpkeepWave {
        number: 1,
        machines: Arc::from([machine(0)]),
        time_limit: Duration::from_secs(1),
        max_down: 1,
    };
    planner.set_waves(&[wave], |_| site.now);
    let mut fixture = UpkeepFixture {
        site,
        planner,
        states: vec![MachineState::Up],
        unreadable: None,
    };
    fixture.wait(3_000);
    assert!(fixture.ordered_machines().is_empty());
    fixture.wait(1_000);
    assert_eq!(fixture.ordered_machines(), [0]);
}

/// Guards against a wave that is reported as completed without a machine whose row in the list could
/// not be read, and against one that is never completed since such a row stays.
#[test]
fn a_machine_in_an_unreadable_row_is_not_taken_for_gone() {
    let mut fixture = UpkeepFixture::start(2, Duration::from_secs(20), 2);
    fixture.unreadable = Some(1);
    fixture.wait(100);
    assert_eq!(fixture.ordered_machines(), [0]);
    fixture.handle_outcome(0, UpkeepOutcome::Begun);
    fixture.states[0] = MachineState::Upkeep;
    fixture.wait(1_000);
    fixture.states[0] = MachineState::Up;
    fixture.wait(1_000);
    assert!(!fixture.is_completed(), "the other machine has not begun");
    assert_eq!(fixture.ordered_machines(), [0_usize; 0]);
    // Time runs out; the order's answer shows whether there is such a machine.
    fixture.wait(10_000);
    assert_eq!(fixture.ordered_machines(), [1]);
    fixture.handle_outcome(1, UpkeepOutcome::NotNeeded);
    assert!(fixture.is_completed());
}
