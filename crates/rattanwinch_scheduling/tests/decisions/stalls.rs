//! Runs that seem to stand still.

use std::time::Duration;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::StepDescription;

use crate::fixture::Fixture;
use crate::fixture::step;

fn taking(estimate: Duration) -> StepDescription {
    StepDescription {
        estimated_run_time: estimate,
        ..step(1, 1)
    }
}

/// Plays a site whose runs make a per cent of progress in `percent_ms`; returns how often one was
/// stopped because it stood still.
fn count_stalls(site: &mut Fixture, percent_ms: u64, millis: u64) -> usize {
    site.is_hung = true;
    let begun = site.now;
    let mut started = site.now;
    while site.now.since(begun) < Duration::from_millis(millis) {
        if !site.step().is_empty() {
            started = site.now;
        }
        let worked = u64::try_from(site.now.since(started).as_millis()).expect("a short time");
        for number in 0..site.target_count() {
            for running in &mut site.report_mut(number).lists.running {
                running.percent = u32::try_from(worked / percent_ms).expect("a small number");
            }
        }
        site.wait(200);
    }
    let events = site.scheduler.take_events();
    let stalled = events
        .iter()
        .filter(|event| matches!(event, Event::Stalled { .. }));
    stalled.count()
}

/// Guards against a sound task that is stopped again and again, since a per cent of its work takes
/// longer than a fixed time.
#[test]
fn a_long_task_has_the_time_that_its_estimate_leads_to_expect() {
    for (minutes, estimated_minutes) in [(10, 10), (10, 1), (600, 600), (600, 100)] {
        let mut site = Fixture::new(2);
        let estimate = Duration::from_secs(estimated_minutes * 60);
        site.submit(1, "a", &[taking(estimate)]);
        let percent_ms = minutes * 60 * 10;
        let stalls = count_stalls(&mut site, percent_ms, 5 * percent_ms);
        assert_eq!(
            stalls, 0,
            "{minutes} minutes, estimated {estimated_minutes}"
        );
    }
}

/// Guards against a task without an estimate that is stopped without an end on sound targets.
#[test]
fn a_task_of_unknown_length_is_stopped_a_few_times_at_most() {
    let mut site = Fixture::new(2);
    site.submit(1, "a", &[taking(Duration::ZERO)]);
    let hour = 3_600_000;
    let percent_ms = 20_000;
    let stalls = count_stalls(&mut site, percent_ms, hour / 10);
    assert!(stalls <= 3, "{stalls} stops before 3 s are doubled to 24 s");
    assert_eq!(count_stalls(&mut site, percent_ms, hour / 4), 0);
}

/// Guards against a short task that waits for long on a target on which all work stands still.
#[test]
fn a_short_task_that_stands_still_is_stopped() {
    let mut site = Fixture::new(2);
    site.submit(1, "a", &[taking(Duration::from_secs(10))]);
    assert_eq!(count_stalls(&mut site, u64::MAX, 3_000), 0);
    assert_eq!(count_stalls(&mut site, u64::MAX, 600), 1);
}
