use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::Recurrence;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::fixture::Fixture;
use crate::fixture::step;
use crate::fixture::target;

/// Guards against a partially started gang, which occupies resources without doing any work.
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

/// Guards against spreading a gang too early: on two racks its tasks take three times as long, so
/// waiting for one rack pays off for some time.
#[test]
fn a_gang_waits_for_one_rack_before_it_is_spread() {
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
        "the wait has cost as much as it could save"
    );
}

/// Guards against a task on another rack than its data, which takes three times as long.
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

/// Guards against the failure of one target taking down all tasks of a step.
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

/// Guards against a step that starts before its inputs exist, and fails.
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

/// Guards against occurrences that start before their inputs exist.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut site = Fixture::new(1);
    let description = JobDescription {
        payload: Arc::from("work"),
        steps: [step(1, 1)].into(),
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

/// Guards against the starvation of a large task by small tasks that fill each gap.
#[test]
fn resources_are_reserved_for_a_large_waiting_task() {
    let mut site = Fixture::new(1);
    let small = site.submit(1, "a", &[step(6, 1)]);
    let first = site.step();
    let large = site.submit(1, "a", &[step(1, 8)]);
    site.step();
    site.wait(1_000);
    site.submit(1, "a", &[step(2, 1)]);
    assert!(
        site.step().is_empty(),
        "two accelerators are free, and reserved for the large task"
    );
    for (_, start) in &first {
        site.end(&start.run, RunOutcome::Done);
    }
    assert_eq!(site.scheduler.job_state(&small), Some(JobState::Completed));
    assert_eq!(site.step()[0].1.run.task.step.job, large);
}

/// Guards against new tasks on a target that drains, is silent, or is in a closed zone.
#[test]
fn unusable_targets_get_no_new_tasks() {
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
    assert!(site.step().is_empty(), "no target has reported for 3 s");
}

/// Guards against a quarantine for the failures of a single job, which may be its own fault, and
/// against the use of a target on which two jobs failed.
#[test]
fn a_target_that_fails_several_jobs_is_quarantined() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(4, 1)]);
    let failing = site.step();
    for (_, start) in &failing[..2] {
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

/// Guards against a run on a hung target that keeps its caller waiting until the target recovers.
#[test]
fn a_run_without_progress_moves_to_another_target() {
    let mut site = Fixture::new(2);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let stalled = site.running(&job);
    site.is_hung = true;
    for _ in 0..8 {
        site.wait(500);
        site.step();
    }
    let now_on = site.running(&job);
    assert_eq!(now_on.len(), 1);
    assert_ne!(now_on, stalled);
}

/// Guards against a missed placement pass after an event that may let a task start, which would
/// then wait for the next tick. A report that shows only progress needs no pass.
#[test]
fn events_that_may_let_a_task_start_request_a_placement_pass() {
    type Trigger = fn(&mut Fixture);
    let cases: [(&str, bool, Trigger); 7] = [
        ("progress", false, |site| site.wait(100)),
        ("a job", true, |site| {
            site.submit(1, "a", &[step(1, 1)]);
        }),
        ("a new target", true, |site| site.add_target(1, 0)),
        ("a target that reports again", true, |site| {
            site.now = site.now + Duration::from_secs(3);
            site.wait(0);
        }),
        ("a target that no longer drains", true, |site| {
            site.report_mut(0).description.draining = true;
            site.wait(0);
            site.scheduler.place_tasks(site.now, site.now);
            site.report_mut(0).description.draining = false;
            site.wait(0);
        }),
        ("rules", true, Fixture::set_rules),
        ("an end", true, |site| {
            let run = site.report_mut(0).lists.running[0].run.clone();
            site.end(&run, RunOutcome::Done);
        }),
    ];
    for (case, expected, trigger) in cases {
        let mut site = Fixture::new(1);
        site.submit(1, "a", &[step(1, 1)]);
        site.step();
        site.scheduler.place_tasks(site.now, site.now);
        assert!(!site.scheduler.needs_placement(), "{case}: before");
        trigger(&mut site);
        assert_eq!(site.scheduler.needs_placement(), expected, "{case}");
    }
}

/// Guards against numbers of one caller's job that overflow and end the scheduler for all.
#[test]
fn numbers_out_of_all_proportion_stop_nothing() {
    let mut site = Fixture::new(1);
    site.guarantee("a", 8);
    for queue in site.rules.queues.values_mut() {
        queue.objective = Some(LatencyObjective {
            base: Duration::from_secs(1),
            stretch_percent: u32::MAX,
        });
    }
    site.set_rules();
    let huge = |depends_on: &[u32]| StepDescription {
        estimated_run_time: Duration::MAX,
        depends_on: depends_on.iter().copied().collect(),
        resources: Resources {
            cpu_millis: u64::MAX,
            memory_mb: u64::MAX,
            accelerators: u64::MAX,
        },
        ..step(2, 1)
    };
    let steps = [huge(&[]), huge(&[0]), huge(&[1])];
    let description = JobDescription {
        payload: Arc::from("work"),
        steps: steps.into(),
        recurrence: Some(Recurrence {
            first_due_at: Timestamp::ZERO,
            interval: Duration::MAX,
            count: 3,
        }),
    };
    site.submit_described(0, "a", description);
    let sound = site.submit(0, "a", &[step(1, 8)]);
    site.step();
    assert_eq!(site.running(&sound).len(), 1);
}
