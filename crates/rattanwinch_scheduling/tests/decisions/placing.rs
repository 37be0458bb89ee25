use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::Recurrence;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_types::ZoneName;

use crate::fixture::Fixture;
use crate::fixture::step;
use crate::fixture::target;

/// Part of a gang holds room and can't work.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut site = Fixture::new(2);
    let mut wide = step(3, 8);
    wide.gang = true;
    let job = site.submit(1, "a", &[wide]);
    assert!(site.step().is_empty());
    site.add_target(2, 0);
    site.wait(3_000);
    assert_eq!(site.step().len(), 3);
    assert_eq!(site.running(&job).len(), 3);
}

/// Tasks on more than one rack take three times as long, so a wait for one rack pays.
#[test]
fn one_rack_is_waited_for_and_then_given_up() {
    let mut site = Fixture::new(4);
    for _ in 0..2 {
        site.submit(1, "a", &[step(1, 8)]);
        site.step();
    }
    // t0 and t1, rack r0, are taken; one target of r1 is as well.
    site.submit(1, "a", &[step(1, 4)]);
    site.step();
    let mut tight = step(2, 8);
    tight.gang = true;
    tight.same_rack = true;
    site.submit(1, "a", &[tight]);
    assert!(site.step().is_empty(), "no rack has room for both");
    site.add_target(4, 0);
    site.wait(1_000);
    assert!(site.step().is_empty(), "two racks are slower than the wait");
    site.wait(1_500);
    assert_eq!(
        site.step().len(),
        2,
        "the wait has cost as much as it could spare"
    );
}

/// A task away from its data takes three times as long.
#[test]
fn data_racks_come_first() {
    let mut site = Fixture::new(4);
    let mut near = step(1, 1);
    near.data_rack = Some("r1".into());
    site.submit(1, "a", &[near.clone()]);
    assert_eq!(site.step()[0].0, target(2));
    near.required_label = Some("b".into());
    site.submit(1, "a", &[near]);
    site.wait(5_000);
    assert!(site.step().is_empty(), "no target has the required label");
}

/// One target that fails must not take all copies with it.
#[test]
fn anti_affinity_spreads_a_step() {
    let mut site = Fixture::new(2);
    let mut apart = step(5, 1);
    apart.max_per_target = Some(2);
    let job = site.submit(1, "a", &[apart]);
    assert_eq!(site.step().len(), 4);
    let per_target = site.running(&job);
    assert_eq!(per_target, [target(0), target(0), target(1), target(1)]);
}

/// A step that starts before its inputs exist fails.
#[test]
fn steps_wait_for_the_steps_before_them() {
    let mut site = Fixture::new(1);
    let mut second = step(1, 1);
    second.depends_on.push(0);
    let job = site.submit(1, "a", &[step(2, 1), second]);
    let first = site.step();
    assert_eq!(first.len(), 2);
    site.end(&first[0].1.run, RunOutcome::Done);
    assert!(site.step().is_empty());
    site.end(&first[1].1.run, RunOutcome::Done);
    let last = site.step();
    assert_eq!(last.len(), 1);
    site.end(&last[0].1.run, RunOutcome::Done);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Completed));
}

/// Occurrences that start early run on inputs that aren't there yet.
#[test]
fn repeats_start_when_they_are_due() {
    let mut site = Fixture::new(1);
    let description = JobDescription {
        payload: Arc::from("work"),
        steps: Arc::from([step(1, 1)]),
        recurrence: Some(Recurrence {
            first_due_at: site.now + Duration::from_secs(1),
            interval: Duration::from_secs(2),
            count: 2,
        }),
    };
    site.submit_described(1, "a", description);
    assert!(site.step().is_empty());
    site.wait(1_000);
    assert_eq!(site.step().len(), 1);
    site.wait(1_900);
    assert!(site.step().is_empty());
    site.wait(100);
    assert_eq!(site.step().len(), 1);
}

/// Small tasks that take each gap would keep a large one waiting for ever.
#[test]
fn room_is_kept_for_a_large_task_that_waits() {
    let mut site = Fixture::new(1);
    let small = site.submit(1, "a", &[step(6, 1)]);
    let first = site.step();
    let large = site.submit(1, "a", &[step(1, 8)]);
    site.step();
    site.wait(1_000);
    site.submit(1, "a", &[step(2, 1)]);
    assert!(
        site.step().is_empty(),
        "two are free, and kept for the large task"
    );
    for (_, start) in &first {
        site.end(&start.run, RunOutcome::Done);
    }
    assert_eq!(site.scheduler.job_state(&small), Some(JobState::Completed));
    assert_eq!(site.step()[0].1.run.task.step.job, large);
}

/// A target that drains, is silent, or is in a closed zone must get nothing new.
#[test]
fn unusable_targets_get_nothing() {
    let mut site = Fixture::new(3);
    site.report_mut(0).description.draining = true;
    site.rules
        .closed_zones
        .insert(ZoneName::new("az-1").expect("a name"));
    site.set_rules();
    site.wait(100);
    let job = site.submit(1, "a", &[step(3, 8)]);
    site.step();
    assert_eq!(site.running(&job), [target(1)]);
    site.now = site.now + Duration::from_secs(3);
    site.submit(1, "a", &[step(1, 1)]);
    assert!(site.step().is_empty(), "no target has been heard for 3 s");
}

/// A job that can't be done anywhere says nothing about a target; two such jobs do.
#[test]
fn a_target_that_fails_several_jobs_is_quarantined() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(4, 1)]);
    let poisoned = site.step();
    for (_, start) in &poisoned[..2] {
        site.end(&start.run, RunOutcome::Failed);
    }
    assert_eq!(
        site.step().len(),
        2,
        "one job fails; the target is still used"
    );
    site.submit(1, "a", &[step(1, 1)]);
    let other = site.step();
    site.end(&other[0].1.run, RunOutcome::Failed);
    assert!(site.step().is_empty());
    site.wait(5_100);
    assert!(!site.step().is_empty(), "quarantine ends by itself");
}

/// A run on a target that hangs would keep its caller waiting until the target recovers.
#[test]
fn a_run_without_progress_moves_to_another_target() {
    let mut site = Fixture::new(2);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let hung = site.running(&job);
    site.hung = true;
    for _ in 0..8 {
        site.wait(500);
        site.step();
    }
    let now_on = site.running(&job);
    assert_eq!(now_on.len(), 1);
    assert_ne!(now_on, hung);
}

/// A pass is left out after a report that shows progress alone; each of these may let a task
/// start, which would otherwise wait for the next tick.
#[test]
fn what_may_let_a_task_start_is_news() {
    type Happening = fn(&mut Fixture);
    let cases: [(&str, bool, Happening); 7] = [
        ("progress", false, |site| site.wait(100)),
        ("a job", true, |site| {
            site.submit(1, "a", &[step(1, 1)]);
        }),
        ("a new target", true, |site| site.add_target(1, 0)),
        ("a target that is heard again", true, |site| {
            site.now = site.now + Duration::from_secs(3);
            site.wait(0);
        }),
        ("a target that drains no longer", true, |site| {
            site.report_mut(0).description.draining = true;
            site.wait(0);
            site.scheduler.place_tasks(site.now, site.now);
            site.report_mut(0).description.draining = false;
            site.wait(0);
        }),
        ("rules", true, Fixture::set_rules),
        ("an end", true, |site| {
            let run = site.report_mut(0).running[0].run.clone();
            site.end(&run, RunOutcome::Done);
        }),
    ];
    for (case, news, happen) in cases {
        let mut site = Fixture::new(1);
        site.submit(1, "a", &[step(1, 1)]);
        site.step();
        site.scheduler.place_tasks(site.now, site.now);
        assert!(!site.scheduler.needs_placement(), "{case}: before");
        happen(&mut site);
        assert_eq!(site.scheduler.needs_placement(), news, "{case}");
    }
}
