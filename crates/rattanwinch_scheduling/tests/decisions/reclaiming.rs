use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::RunOutcome;

use crate::fixture::Fixture;
use crate::fixture::step;

/// A wide step that could only displace work for all of its tasks at once displaced nothing,
/// and took the room that later steps had made for themselves.
#[test]
fn a_wide_step_displaces_what_it_can() {
    let mut site = Fixture::new(3);
    let dear = site.submit(1, "b", &[step(1, 8)]);
    site.step();
    site.wait(60_000);
    let cheap = site.submit(2, "b", &[step(2, 8)]);
    site.step();
    let wide = site.submit(0, "a", &[step(3, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&wide).len(), 2);
    assert_eq!(site.running(&dear).len(), 1);
    assert!(site.running(&cheap).is_empty());
}

/// A guarantee that can't be reclaimed from borrowers is worth nothing.
#[test]
fn a_guaranteed_step_takes_the_place_of_borrowers() {
    let mut site = Fixture::new(2);
    site.guarantee("a", 8);
    let borrowed = site.submit(1, "b", &[step(2, 8)]);
    assert_eq!(site.step().len(), 2);
    site.wait(4_000);
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&urgent).len(), 1);
    assert_eq!(
        site.running(&borrowed).len(),
        1,
        "no more is stopped than is needed"
    );
    assert_eq!(site.scheduler.job_state(&borrowed), Some(JobState::Running));
}

/// Stopping work that has cost much for a job without a right to its place wastes more than
/// being late costs.
#[test]
fn beyond_a_guarantee_only_cheap_work_is_displaced() {
    let mut site = Fixture::new(2);
    let dear = site.submit(1, "b", &[step(1, 8)]);
    site.step();
    site.wait(60_000);
    let cheap = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&urgent).len(), 1);
    assert_eq!(site.running(&dear).len(), 1);
    assert!(site.running(&cheap).is_empty());
    site.submit(0, "a", &[step(1, 8)]);
    site.step();
    assert_eq!(site.running(&dear).len(), 1);
}

/// Two urgent steps that displaced each other were placed and given up in one pass, for ever.
#[test]
fn guaranteed_steps_come_before_urgent_ones_beyond_a_guarantee() {
    let mut site = Fixture::new(1);
    site.guarantee("a", 8);
    let beyond = site.submit(0, "b", &[step(1, 8)]);
    let within = site.submit(0, "a", &[step(1, 8)]);
    for _ in 0..3 {
        site.step();
    }
    assert_eq!(site.running(&within).len(), 1);
    assert!(site.running(&beyond).is_empty());
}

/// An urgent job of an organisation that asks for more than its guarantee must not take what
/// another one is guaranteed and uses.
#[test]
fn guaranteed_work_is_not_displaced_by_another_guarantee() {
    let mut site = Fixture::new(1);
    site.guarantee("a", 8);
    site.guarantee("b", 8);
    let first = site.submit(0, "a", &[step(1, 8)]);
    let started = site.step();
    site.submit(0, "b", &[step(1, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&first).len(), 1);
    site.end(&started[0].1.run, RunOutcome::Done);
    assert_eq!(site.scheduler.job_state(&first), Some(JobState::Completed));
}
