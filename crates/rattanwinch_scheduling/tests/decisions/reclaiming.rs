use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::RunOutcome;

use crate::fixture::Fixture;
use crate::fixture::step;

/// Guards against a wide step that preempts only for all of its tasks at once: such a step
/// preempted nothing, and took the resources that later steps had freed for themselves.
#[test]
fn a_wide_step_preempts_for_some_of_its_tasks() {
    let mut site = Fixture::new(3);
    let expensive = site.submit(1, "b", &[step(1, 8)]);
    site.step();
    site.wait(60_000);
    let cheap = site.submit(2, "b", &[step(2, 8)]);
    site.step();
    let wide = site.submit(0, "a", &[step(3, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&wide).len(), 2);
    assert_eq!(site.running(&expensive).len(), 1);
    assert!(site.running(&cheap).is_empty());
}

/// Guards against a guarantee that cannot be reclaimed from borrowers.
#[test]
fn a_guaranteed_step_preempts_borrowers() {
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
        "no more runs are stopped than necessary"
    );
    assert_eq!(site.scheduler.job_state(&borrowed), Some(JobState::Running));
}

/// Guards against preempting expensive work for an urgent job beyond a guarantee: the lost work
/// costs more than being late.
#[test]
fn beyond_a_guarantee_only_cheap_work_is_preempted() {
    let mut site = Fixture::new(2);
    let expensive = site.submit(1, "b", &[step(1, 8)]);
    site.step();
    site.wait(60_000);
    let cheap = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&urgent).len(), 1);
    assert_eq!(site.running(&expensive).len(), 1);
    assert!(site.running(&cheap).is_empty());
    site.submit(0, "a", &[step(1, 8)]);
    site.step();
    assert_eq!(site.running(&expensive).len(), 1);
}

/// Guards against two urgent steps that preempt each other in every placement pass.
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

/// Guards against an urgent job that preempts work within the guarantee of another
/// organisation.
#[test]
fn guaranteed_work_is_not_preempted_by_another_guarantee() {
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
