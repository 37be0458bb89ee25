//! Jobs of many steps. Work is counted in visits of steps, so the verdict doesn't depend on the
//! speed of the machine.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::step_visits;

use crate::fixture::Fixture;
use crate::fixture::limits;

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
    for (priority, guarantee) in [(1, 0), (0, 8)] {
        let mut fixture = site(true);
        let organisations = ["letrafa", "bpgfs", "msob"];
        for organisation in organisations {
            fixture.guarantee(organisation, guarantee);
        }
        for organisation in organisations {
            fixture.submit(priority, organisation, &independent(4_000));
        }
        fixture.step();
        // Until blocked steps have room reserved.
        fixture.wait(1_000);
        let begun = step_visits();
        fixture.scheduler.place_tasks(fixture.now, fixture.now);
        let visits = step_visits() - begun;
        assert!(
            visits <= MAX_VISITS_PER_PASS,
            "priority {priority}: {visits} visits"
        );
    }
}

/// Guards against steps that only some passes look at and that forget in between how long they have
/// waited: those that wait for their preferred rack would never start beside blocked ones.
#[test]
fn steps_behind_many_blocked_ones_start_on_any_rack() {
    let mut fixture = site(true);
    let mut blocked = step([]);
    blocked.required_label = Some("nowhere".into());
    blocked.estimated_run_time = Duration::from_secs(100);
    let mut with_data = step([]);
    with_data.resources.cpu_millis = 10;
    with_data.data_rack = Some("nowhere".into());
    let steps = [vec![blocked; 1_200], vec![with_data; 400]].concat();
    let job = fixture.submit(1, "letrafa", &steps);
    for _ in 0..40 {
        fixture.step();
        fixture.wait(150);
    }
    assert_eq!(fixture.running(&job).len(), 400);
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

/// What the store holds of a job's progress, by part.
type StoredParts = BTreeMap<u32, JobProgress>;

/// Writes what has changed of a job; returns the number of tasks in it.
fn store_changes(fixture: &mut Fixture, job: &JobId, stored: &mut StoredParts) -> usize {
    let changes = fixture.scheduler.take_changes(fixture.now);
    let mut tasks = 0;
    if changes.jobs.contains(job) {
        let record = fixture.scheduler.take_job_record(job);
        for part in record.expect("a job").1 {
            tasks += part.progress.tasks.len();
            stored.insert(part.number, part.progress);
        }
    }
    fixture.scheduler.mark_committed(&changes);
    tasks
}

/// Guards against commits that write the progress of all tasks of a job for the end of one.
#[test]
fn an_end_writes_a_bounded_part_of_a_job() {
    let mut fixture = site(true);
    let job = fixture.submit(1, "letrafa", &[gang(10), gang(4_000)]);
    let started = fixture.step();
    let mut stored = StoredParts::new();
    store_changes(&mut fixture, &job, &mut stored);
    fixture.end(&started[20].1.run, RunOutcome::Failed);
    let tasks = store_changes(&mut fixture, &job, &mut stored);
    assert!((1..=512).contains(&tasks), "{tasks} tasks written");
}

/// Guards against parts of a job's progress that a change does not write, and a successor that reads
/// parts wrongly: it would run tasks again or lose some.
#[test]
fn a_job_restored_from_its_parts_is_the_same() {
    let mut fixture = site(true);
    let steps: Vec<_> = (0..1_000).map(|_| step([])).collect();
    let job = fixture.submit(1, "letrafa", &steps);
    let mut stored = StoredParts::new();
    for round in 0..12 {
        let started = fixture.step();
        // Durable when the fixture has committed it; written before, like everything else.
        let record = fixture.scheduler.take_job_record(&job).expect("a job");
        stored.extend(
            record
                .1
                .into_iter()
                .map(|part| (part.number, part.progress)),
        );
        for (number, (_, start)) in started.iter().enumerate() {
            let outcomes = [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Stopped];
            if number % 4 != round % 4 {
                fixture.end(&start.run, outcomes[number % 3]);
            }
        }
        store_changes(&mut fixture, &job, &mut stored);
        let (accepted, whole) = fixture.scheduler.job_record(&job).expect("a job");
        let mut merged = stored[&0].clone();
        merged.tasks = stored
            .values()
            .flat_map(|part| part.tasks.clone())
            .collect();
        assert_eq!(merged, whole, "round {round}");
        let restored = Scheduler::restore(
            limits(),
            fixture.rules.clone(),
            [(accepted, merged)],
            fixture.now,
        );
        assert_eq!(restored.job_record(&job).expect("a job").1, whole);
        fixture.wait(400);
    }
    let parts: Vec<u32> = fixture.scheduler.written_parts(&job).collect();
    assert_eq!(
        parts,
        stored
            .keys()
            .copied()
            .filter(|&part| part > 0)
            .collect::<Vec<_>>()
    );
}

/// Guards against a job of an earlier version, whose progress is one record, that is written in parts
/// from then on: a leader lost between two of them would lose what the record held.
#[test]
fn progress_that_was_written_whole_stays_whole() {
    let mut fixture = site(true);
    let steps: Vec<_> = (0..1_000).map(|_| gang(1)).collect();
    let job = fixture.submit(1, "letrafa", &steps);
    let started = fixture.step();
    assert!(started.len() > 512, "{} started", started.len());
    let (accepted, mut whole) = fixture.scheduler.job_record(&job).expect("a job");
    whole.is_split = false;
    let rules = fixture.rules.clone();
    let restored = Scheduler::restore(limits(), rules, [(accepted, whole)], fixture.now);
    fixture.scheduler = restored;
    fixture.wait(100);
    let last = &started[started.len() - 1].1.run;
    fixture.end(last, RunOutcome::Done);
    let (_, parts) = fixture.scheduler.take_job_record(&job).expect("a job");
    let written: Vec<_> = parts
        .iter()
        .map(|part| {
            (
                part.number,
                part.progress.tasks.len(),
                part.progress.is_split,
            )
        })
        .collect();
    assert_eq!(written, [(0, started.len(), false)]);
}
