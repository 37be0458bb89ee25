//! Jobs of many steps. Work is counted in visits of steps, so the verdict doesn't depend on the
//! speed of the machine.

use std::time::Duration;

use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::step_visits;

use crate::fixture::Fixture;

/// Visits that a placement pass may take for each step that waits, and for each link between steps.
const MAX_VISITS_PER_STEP: u64 = 8;

/// Visits that a placement pass may take, whatever waits.
const MAX_VISITS_PER_PASS: u64 = 20_000;

fn step(depends_on: impl IntoIterator<Item = u32>) -> StepDescription {
    StepDescription::builder()
        .count(1)
        .resources(Resources {
            cpu_millis: 1_000,
            memory_mb: 10,
            accelerators: 0,
        })
        .estimated_run_time(Duration::from_secs(1))
        .depends_on(depends_on.into_iter().collect())
        .build()
}

fn independent(size: u32) -> Vec<StepDescription> {
    (0..size).map(|_| step([])).collect()
}

fn chain(size: u32) -> Vec<StepDescription> {
    let steps = 0..size;
    steps.map(|number| step(number.checked_sub(1))).collect()
}

fn fan(size: u32) -> Vec<StepDescription> {
    let middle = 1..size - 1;
    let steps = std::iter::once(step([])).chain(middle.clone().map(|_| step([0])));
    steps.chain([step(middle)]).collect()
}

fn lattice(size: u32) -> Vec<StepDescription> {
    let row = 20;
    let before = |number: u32| (number / row).saturating_sub(1) * row..number / row * row;
    (0..size).map(|number| step(before(number))).collect()
}

type Shape = fn(u32) -> Vec<StepDescription>;

const SHAPES: [(&str, Shape); 4] = [
    ("independent", independent),
    ("chain", chain),
    ("fan", fan),
    ("lattice", lattice),
];

fn site(has_objective: bool) -> Fixture {
    let mut fixture = Fixture::new(2);
    for queue in fixture.rules.queues.values_mut() {
        queue.objective = has_objective.then_some(LatencyObjective {
            base: Duration::from_secs(1),
            stretch_percent: 300,
        });
    }
    fixture.set_rules();
    fixture
}

fn links(steps: &[StepDescription]) -> u64 {
    steps.iter().map(|step| step.depends_on.len() as u64).sum()
}

/// Returns the visits of the first two placement passes after a job has come, and with them those
/// of its admission. The job's first step is done before the second pass.
fn visits_until_second_pass(steps: &[StepDescription], has_objective: bool) -> u64 {
    let mut fixture = site(has_objective);
    let description = JobDescription {
        payload: "work".into(),
        steps: steps.into(),
        recurrence: None,
    };
    let job = fixture.new_job(1, "letrafa", description);
    let begun = step_visits();
    fixture.scheduler.admit(&job, fixture.now, fixture.now);
    fixture.scheduler.submit(job.into());
    let started = fixture.step();
    let run = &started[0].1.run;
    fixture.end(run, RunOutcome::Done);
    fixture.step();
    step_visits() - begun
}

/// Guards against work for each waiting step that goes over all steps of its job, which stops the
/// whole site while a job of some thousand steps waits.
#[test]
fn placing_a_job_costs_no_more_than_its_steps_and_links() {
    for (shape, steps) in SHAPES {
        for has_objective in [true, false] {
            for size in [10, 100, 400] {
                let steps = steps(size);
                let visits = visits_until_second_pass(&steps, has_objective);
                let limit = MAX_VISITS_PER_STEP * (u64::from(size) + links(&steps));
                assert!(visits <= limit, "{shape} of {size}: {visits} visits");
            }
        }
    }
}

/// Guards against placement passes that last the longer the more steps wait, and with them against
/// orders, reports and other callers that wait for the pass.
#[test]
fn a_pass_visits_a_bounded_number_of_steps() {
    let mut fixture = site(true);
    for organisation in ["letrafa", "bpgfs", "msob"] {
        fixture.submit(1, organisation, &independent(4_000));
    }
    fixture.step();
    let begun = step_visits();
    fixture.scheduler.place_tasks(fixture.now, fixture.now);
    let visits = step_visits() - begun;
    assert!(visits <= MAX_VISITS_PER_PASS, "{visits} visits");
}

/// A gang of `size` tasks that fit onto the targets of a site.
fn gang(size: u32) -> StepDescription {
    StepDescription::builder()
        .count(size)
        .gang(true)
        .resources(Resources {
            cpu_millis: 10,
            memory_mb: 1,
            accelerators: 0,
        })
        .estimated_run_time(Duration::from_secs(1))
        .build()
}

/// Guards against work for each end of a member that goes over all members of its gang, or over all
/// runs of the site.
#[test]
fn the_ends_of_a_gang_cost_no_more_than_its_members() {
    for outcome in [RunOutcome::Done, RunOutcome::Broken] {
        for size in [10, 100, 400] {
            let mut fixture = site(true);
            let job = fixture.submit(1, "letrafa", &[gang(size)]);
            assert_eq!(fixture.step().len(), size as usize);
            let begun = step_visits();
            fixture.end_job(&job, outcome);
            let visits = step_visits() - begun;
            let limit = MAX_VISITS_PER_STEP * u64::from(size);
            assert!(visits <= limit, "{outcome:?} of {size}: {visits} visits");
        }
    }
}

/// Guards against cycles that look at each run of a large job for an order that it may need.
#[test]
fn collecting_orders_visits_no_runs_that_need_none() {
    let mut fixture = site(true);
    fixture.submit(1, "letrafa", &[gang(400)]);
    fixture.step();
    fixture.scheduler.take_due_orders(fixture.now);
    let begun = step_visits();
    let orders = fixture.scheduler.take_due_orders(fixture.now);
    fixture.commit();
    assert_eq!((orders.len(), step_visits() - begun), (0, 0));
}
