//! Who comes first when there is more urgent work than room.

use std::time::Duration;

use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::Timestamp;

use crate::fixture::Fixture;
use crate::fixture::step;

/// The objective of the users' urgent queues.
const URGENT: LatencyObjective = LatencyObjective {
    base: Duration::from_millis(250),
    stretch_percent: 150,
};

fn with_objective(targets: usize, objective: Option<LatencyObjective>) -> Fixture {
    let mut site = Fixture::new(targets);
    for rules in site.rules.queues.values_mut() {
        rules.objective = objective;
    }
    let rules = site.rules.clone();
    site.scheduler.set_rules(rules);
    site
}

fn lasting(accelerators: u64, millis: u64) -> StepDescription {
    let mut step = step(1, accelerators);
    step.estimated_run_time = Duration::from_millis(millis);
    step
}

/// A short job that arrives behind a long one would be late although the long one can wait.
#[test]
fn the_job_that_has_to_start_first_starts_first() {
    let mut site = with_objective(1, Some(URGENT));
    let running = site.submit(0, "a", &[lasting(8, 500)]);
    assert_eq!(site.step().len(), 1);
    let long = site.submit(0, "a", &[lasting(8, 8_000)]);
    site.wait(100);
    let short = site.submit(0, "a", &[lasting(8, 1_000)]);
    site.wait(300);
    site.end_job(&running, RunOutcome::Done);
    site.step();
    assert_eq!(site.running(&short).len(), 1);
    assert!(site.running(&long).is_empty());
}

/// A job that can't be on time any more must not make the next one late, too.
#[test]
fn a_job_that_will_be_late_waits_for_those_that_can_be_on_time() {
    let mut site = with_objective(1, Some(URGENT));
    let running = site.submit(0, "a", &[lasting(8, 500)]);
    assert_eq!(site.step().len(), 1);
    let late = site.submit(0, "a", &[lasting(8, 1_000)]);
    site.wait(2_000);
    let timely = site.submit(0, "a", &[lasting(8, 1_000)]);
    site.end_job(&running, RunOutcome::Done);
    site.step();
    assert_eq!(site.running(&timely).len(), 1);
    site.end_job(&timely, RunOutcome::Done);
    site.step();
    assert_eq!(site.running(&late).len(), 1, "late work is done as well");
}

struct PlayedJob {
    id: JobId,
    submitted: Timestamp,
    run_time: Duration,
    began: Option<Timestamp>,
    took: Option<Duration>,
}

/// Plays the load of a site that has lost a third of its room for urgent work: a burst of jobs of
/// mixed sizes, then a job at a time. Gives how many are on time and how many are done.
fn play(objective: Option<LatencyObjective>) -> (usize, usize) {
    let mut site = with_objective(2, objective);
    let sizes = [
        (8, 3_000),
        (2, 600),
        (4, 1_500),
        (2, 800),
        (8, 2_500),
        (2, 500),
    ];
    let mut jobs = Vec::new();
    for tick in 0..240 {
        // Ten at once, then one each 1.2 s.
        let arriving = match tick {
            0 => 10,
            _ => usize::from(tick % 12 == 0),
        };
        for number in 0..arriving {
            let (accelerators, millis) = sizes[(tick / 12 + number) % sizes.len()];
            let id = site.submit(0, "a", &[lasting(accelerators, millis)]);
            jobs.push(PlayedJob {
                id,
                submitted: site.now,
                run_time: Duration::from_millis(millis),
                began: None,
                took: None,
            });
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
    let done = jobs.iter().filter(|job| job.took.is_some());
    let on_time = jobs.iter().filter(|job| {
        let limit = URGENT.limit(job.run_time);
        job.took.is_some_and(|took| took <= limit)
    });
    (on_time.count(), done.count())
}

/// In the order of arrival a burst makes everything behind it late; the users saw it after an
/// availability zone was closed.
#[test]
fn more_jobs_are_on_time_than_in_the_order_of_arrival() {
    let (by_arrival, done_by_arrival) = play(None);
    let (by_lateness, done_by_lateness) = play(Some(URGENT));
    assert!(
        by_lateness > by_arrival,
        "on time: {by_lateness}, in the order of arrival {by_arrival}"
    );
    assert!(
        done_by_lateness >= done_by_arrival,
        "done: {done_by_lateness}, in the order of arrival {done_by_arrival}"
    );
}
