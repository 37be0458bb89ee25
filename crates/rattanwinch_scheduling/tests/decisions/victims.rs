//! Urgent work beyond a guarantee on a full site: which runs it may displace, and when.

use std::time::Duration;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;

use crate::fixture::Fixture;
use crate::fixture::step;

/// The objective of a step of 2 s is 3.5 s, so it has 1.5 s to start. A stop takes up to 1.2 s.
const TIGHT: Duration = Duration::from_millis(500);
const AMPLE: Duration = Duration::from_secs(60);

/// Sets the objectives of the queues to one and a half times the run time and `bases`.
fn set_objectives(site: &mut Fixture, bases: [Duration; 3]) {
    for (priority, base) in bases.into_iter().enumerate() {
        let name = QueueName::from(format!("q{priority}").as_str());
        let rules = site.rules.queues.get_mut(&name);
        rules.expect("a queue").objective = Some(LatencyObjective {
            base,
            stretch_percent: 150,
        });
    }
    site.set_rules();
}

fn gang(count: u32) -> StepDescription {
    StepDescription {
        gang: true,
        ..step(count, 8)
    }
}

/// Returns how many runs were stopped for other steps.
fn stops(site: &mut Fixture) -> usize {
    let events = site.scheduler.take_events();
    let stopped = events.iter().map(|event| match event {
        Event::Preempted { victims, .. } => victims.len(),
        _ => 0,
    });
    stopped.sum()
}

/// A site of one target, full with a run of 2 s that has `percent` done.
fn busy_site(urgent_base: Duration, percent: u32) -> (Fixture, JobId) {
    let mut site = Fixture::new(1);
    set_objectives(&mut site, [urgent_base, AMPLE, AMPLE]);
    let batch = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    for _ in 0..percent {
        site.wait(20);
    }
    (site, batch)
}

/// Answers bursts of urgent work on a full site. Guards against work that is discarded for a job
/// that is late all the same.
#[test]
fn nothing_is_stopped_for_a_job_that_is_late_anyway() {
    for (waited, expected) in [(200, 1), (400, 0), (4_000, 0)] {
        let (mut site, _) = busy_site(TIGHT, 1);
        site.submit(0, "a", &[step(1, 8)]);
        site.now = site.now + Duration::from_millis(waited);
        site.wait(1);
        site.step();
        assert_eq!(stops(&mut site), expected, "after {waited} ms");
    }
}

/// Answers urgent work on a full site. Guards against a stop of a run that ends in time by itself,
/// or as soon as it could be stopped: its work was lost for nothing.
#[test]
fn runs_that_end_in_time_for_the_objective_are_awaited() {
    // 1.8 s of a run are left to a job that can wait for 3.8 s, and 0.6 s to one that can for 0.3 s.
    for (base, percent) in [(Duration::from_secs(4), 30), (TIGHT, 70)] {
        let (mut site, batch) = busy_site(base, percent);
        let urgent = site.submit(0, "a", &[step(1, 8)]);
        let left = u64::from(100 - percent) * 20 - 40;
        site.play(left);
        assert_eq!(stops(&mut site), 0, "{percent}%");
        site.end_job(&batch, RunOutcome::Done);
        site.step();
        assert_eq!(site.running(&urgent).len(), 1, "{percent}%");
    }
}

/// Answers urgent gangs beside jobs that are on time. Guards against an urgent gang that makes more
/// jobs late than its caller gains by.
#[test]
fn an_urgent_job_makes_at_most_two_jobs_of_the_next_priority_late() {
    for (members, expected) in [(2, 2), (3, 0)] {
        let mut site = Fixture::new(3);
        set_objectives(&mut site, [TIGHT, TIGHT, TIGHT]);
        for _ in 0..3 {
            site.submit(1, "b", &[step(1, 8)]);
        }
        site.step();
        site.wait(100);
        let urgent = site.submit(0, "a", &[gang(members)]);
        site.play(200);
        assert_eq!(stops(&mut site), expected);
        assert_eq!(site.running(&urgent).len(), expected);
    }
}

/// Guards against stopping the run with the least work if that makes its job late, although another
/// one has time to spare.
#[test]
fn a_run_whose_job_stays_on_time_is_stopped_first() {
    let mut site = Fixture::new(2);
    set_objectives(&mut site, [TIGHT, TIGHT, AMPLE]);
    let ample = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    site.wait(1_000);
    let tight = site.submit(1, "b", &[step(1, 8)]);
    site.step();
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.play(200);
    assert_eq!(site.running(&urgent).len(), 1);
    assert_eq!(site.running(&tight).len(), 1);
    assert!(site.running(&ample).is_empty());
}
