//! Whose work is delayed when there is more than the capacity takes.

use std::time::Duration;

use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::Timestamp;

use crate::fixture::Fixture;
use crate::fixture::step;

/// The latency objective of the users' middle queues.
const OBJECTIVE: LatencyObjective = LatencyObjective {
    base: Duration::from_secs(1),
    stretch_percent: 300,
};

fn overloaded_site(targets: usize) -> Fixture {
    let mut site = Fixture::new(targets);
    for rules in site.rules.queues.values_mut() {
        rules.objective = Some(OBJECTIVE);
    }
    site.set_rules();
    site
}

fn tasks(count: u32, accelerators: u64, millis: u64) -> StepDescription {
    let mut step = step(count, accelerators);
    step.estimated_run_time = Duration::from_millis(millis);
    step
}

fn gang(count: u32, accelerators: u64, millis: u64) -> StepDescription {
    let mut step = tasks(count, accelerators, millis);
    step.gang = true;
    step
}

/// Runs the jobs one after another as the site starts them, each for its run time in milliseconds;
/// returns the order of their starts.
fn order_of_starts(site: &mut Fixture, jobs: &[(JobId, u64)]) -> Vec<usize> {
    let mut order = Vec::new();
    for _ in jobs {
        site.step();
        let running = jobs
            .iter()
            .position(|(job, _)| !site.running(job).is_empty());
        let running = running.expect("a job runs");
        order.push(running);
        let (job, run_time) = &jobs[running];
        site.play(*run_time);
        site.end_job(job, RunOutcome::Done);
    }
    order
}

/// Load: too much urgent work at once. Guards against urgent jobs that are of no use any more
/// delaying the work of other queues that still is.
#[test]
fn urgent_work_of_no_use_goes_behind_batch_work_that_is_of_use() {
    let mut site = overloaded_site(1);
    let running = site.submit(0, "a", &[tasks(1, 8, 60_000)]);
    site.step();
    let useless = site.submit(0, "a", &[tasks(1, 8, 1_000)]);
    // The job has an objective of 4 s and is of no use after 12 s.
    site.play(12_500);
    let batch = site.submit(2, "a", &[tasks(1, 8, 1_000)]);
    let urgent = site.submit(0, "a", &[tasks(1, 8, 1_000)]);
    site.end_job(&running, RunOutcome::Done);
    let order = order_of_starts(
        &mut site,
        &[(useless, 1_000), (batch, 1_000), (urgent, 1_000)],
    );
    assert_eq!(order, [2, 1, 0], "the useless job runs as well, at the end");
}

/// Load: a third of the capacity lost, with large and small jobs waiting. Guards against one large
/// job that makes several small ones late, though its turn has come.
#[test]
fn a_large_job_is_delayed_if_it_would_make_small_ones_late() {
    let mut site = overloaded_site(1);
    assert_eq!(
        starts_of_one_large_and_four_small(&mut site),
        [1, 2, 3, 4, 0]
    );
}

/// Load: a third of the capacity lost, within a guarantee. Guards against a guaranteed job that is
/// delayed for others, though each has a promised time to start.
#[test]
fn jobs_within_a_guarantee_keep_the_order_of_their_latest_starts() {
    let mut site = overloaded_site(1);
    site.guarantee("a", 64);
    assert_eq!(
        starts_of_one_large_and_four_small(&mut site),
        [0, 1, 2, 3, 4]
    );
}

/// Lets one large job, the first, and four small ones wait for a target, of which the large one has
/// the earliest latest start; returns the order of their starts.
fn starts_of_one_large_and_four_small(site: &mut Fixture) -> Vec<usize> {
    let running = site.submit(0, "a", &[tasks(1, 8, 60_000)]);
    site.step();
    let large = site.submit(0, "a", &[tasks(1, 8, 4_000)]);
    // The large job must start within 9 s, a small one within 2 s.
    site.play(8_000);
    let mut jobs = vec![(large, 4_000)];
    for _ in 0..4 {
        jobs.push((site.submit(0, "a", &[tasks(1, 8, 500)]), 500));
    }
    site.end_job(&running, RunOutcome::Done);
    order_of_starts(site, &jobs)
}

/// Load: a little more than one target takes, all of which can be on time. Guards against an order
/// that differs from that of the latest starts without need.
#[test]
fn no_job_is_delayed_while_all_can_be_on_time() {
    let mut site = overloaded_site(1);
    let running = site.submit(1, "a", &[tasks(1, 8, 60_000)]);
    site.step();
    // Work that no target can run takes no capacity.
    let mut impossible = tasks(20, 8, 60_000);
    impossible.required_label = Some("absent".into());
    site.submit(0, "a", &[impossible]);
    let large = site.submit(1, "a", &[tasks(1, 8, 1_500)]);
    // The large job must start within 4 s, a small one within 2 s.
    site.play(3_000);
    let small = site.submit(1, "a", &[tasks(1, 8, 500)]);
    site.end_job(&running, RunOutcome::Done);
    assert_eq!(
        order_of_starts(&mut site, &[(large, 1_500), (small, 500)]),
        [0, 1]
    );
}

/// Load: a batch flood of one organisation. Guards against its jobs delaying those of the others,
/// though theirs are larger.
#[test]
fn a_flood_of_one_organisation_delays_its_own_jobs() {
    let mut site = overloaded_site(1);
    let running = site.submit(2, "a", &[tasks(1, 8, 60_000)]);
    site.step();
    let mut jobs = Vec::new();
    for _ in 0..20 {
        jobs.push((site.submit(2, "flooding", &[tasks(1, 8, 1_000)]), 1_000));
    }
    let other = site.submit(2, "a", &[tasks(1, 8, 1_200)]);
    site.end_job(&running, RunOutcome::Done);
    jobs.push((other, 1_200));
    let order = order_of_starts(&mut site, &jobs);
    let turn = order.iter().position(|&job| job == 20);
    // Its latest start is 3.4 s away, and those before it take 1 s each.
    assert!(turn.is_some_and(|turn| turn <= 3), "{order:?}");
}

/// What became of the jobs of one size.
#[derive(Debug, Default)]
struct Served {
    submitted: usize,
    of_use: usize,
}

struct SimulatedJob {
    id: JobId,
    is_wide: bool,
    submitted: Timestamp,
    run_time: Duration,
    began: Option<Timestamp>,
    took: Option<Duration>,
}

/// Simulates a minute in which single tasks need an eighth more than the capacity of two targets,
/// and wide gangs three eighths of it. Returns what became of the tasks and the gangs.
fn simulate_gangs_among_tasks() -> [Served; 2] {
    const TICKS: usize = 600;
    const DRAIN: usize = 200;
    let mut site = overloaded_site(2);
    let mut jobs = Vec::new();
    for tick in 0..TICKS + DRAIN {
        let arriving = tick < TICKS;
        let mut submit = |step: StepDescription, is_wide| {
            let run_time = step.estimated_run_time;
            jobs.push(SimulatedJob {
                id: site.submit(1, "a", &[step]),
                is_wide,
                submitted: site.now,
                run_time,
                began: None,
                took: None,
            });
        };
        // 12 accelerators for 2 s each 4 s; 2 accelerators for 900 ms each 100 ms.
        if arriving && tick % 40 == 0 {
            submit(gang(6, 2, 2_000), true);
        }
        if arriving {
            submit(tasks(1, 2, 900), false);
        }
        site.step();
        for job in jobs.iter_mut().filter(|job| job.took.is_none()) {
            if !site.running(&job.id).is_empty() {
                let began = *job.began.get_or_insert(site.now);
                if site.now.since(began) >= job.run_time {
                    site.end_job(&job.id, RunOutcome::Done);
                    job.took = Some(site.now.since(job.submitted));
                }
            }
        }
        site.wait(100);
    }
    let mut served = [Served::default(), Served::default()];
    for job in &jobs {
        let of_size = &mut served[usize::from(job.is_wide)];
        of_size.submitted += 1;
        let useful = OBJECTIVE.limit(job.run_time) * 3;
        of_size.of_use += usize::from(job.took.is_some_and(|took| took <= useful));
    }
    served
}

/// Load: wide gangs among single tasks, together more than the capacity takes. Guards against gangs
/// that are bypassed until they are of no use, and against gangs that leave nothing for the tasks.
#[test]
fn wide_gangs_are_served_at_least_half_as_often_as_single_tasks() {
    let [tasks, gangs] = simulate_gangs_among_tasks();
    assert!(
        gangs.of_use * tasks.submitted * 2 >= tasks.of_use * gangs.submitted,
        "tasks {tasks:?}, gangs {gangs:?}"
    );
    assert!(
        tasks.of_use * 2 >= tasks.submitted,
        "tasks {tasks:?}, gangs {gangs:?}"
    );
}
