use std::collections::BTreeMap;
use std::time::Duration;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_scheduling::TaskId;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;

fn gang(count: u32, accelerators: u64) -> StepDescription {
    StepDescription {
        gang: true,
        ..step(count, accelerators)
    }
}

/// Returns how often each task was stopped for another step.
fn preemptions(site: &mut Fixture) -> BTreeMap<TaskId, usize> {
    let mut counts = BTreeMap::new();
    for event in site.scheduler.take_events() {
        if let Event::Preempted { victims, .. } = event {
            for run in victims {
                *counts.entry(run.task).or_default() += 1;
            }
        }
    }
    counts
}

/// Returns the number of a target on which a run is being stopped.
fn target_of_a_victim(site: &mut Fixture, stopped: &BTreeMap<TaskId, usize>) -> usize {
    let number = (0..6).find(|&number| {
        let running = &site.report_mut(number).lists.running;
        running
            .iter()
            .any(|running| stopped.contains_key(&running.run.task))
    });
    number.expect("a target that still lists the run")
}

/// A site whose targets are full of small tasks, with more of them waiting and slow stops.
fn full_site(targets: u32) -> (Fixture, JobId) {
    let mut site = Fixture::new(targets as usize);
    site.max_stop_time = Duration::from_millis(900);
    let small = site.submit(2, "b", &[step(targets * 8 + 40, 1)]);
    site.step();
    site.wait(1_000);
    (site, small)
}

/// Guards against plans that change from pass to pass: the room that was freed for a gang went to
/// other tasks, which were stopped again, several times for each of the gang's.
#[test]
fn a_gang_stops_no_more_runs_than_it_needs_and_each_once() {
    let (mut site, _) = full_site(6);
    site.guarantee("a", 32);
    let urgent = site.submit(0, "a", &[gang(3, 8)]);
    site.play(2_000);
    assert_eq!(site.running(&urgent).len(), 3);
    let counts = preemptions(&mut site);
    assert_eq!(counts.values().sum::<usize>(), 24, "{counts:?}");
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

/// Guards against reclaims that take room from each other: with several urgent gangs, more than a
/// pass reserved room for, small tasks were started on freed targets and stopped again.
#[test]
fn several_gangs_reclaim_side_by_side() {
    let (mut site, _) = full_site(12);
    let organisations = ["a", "c", "d", "e", "f"];
    for organisation in organisations {
        site.guarantee(organisation, 16);
    }
    let mut gangs = Vec::new();
    for organisation in organisations {
        gangs.push(site.submit(0, organisation, &[gang(2, 8)]));
        site.play(100);
    }
    site.play(2_000);
    for urgent in &gangs {
        assert_eq!(site.running(urgent).len(), 2);
    }
    let counts = preemptions(&mut site);
    assert_eq!(counts.values().sum::<usize>(), 80, "{counts:?}");
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
}

/// Guards against a reclaim that waits for a target that no longer gets tasks: only the missing
/// part is planned again.
#[test]
fn a_lost_target_is_replaced_in_a_reclaim() {
    let (mut site, _) = full_site(6);
    site.guarantee("a", 32);
    let urgent = site.submit(0, "a", &[gang(3, 8)]);
    site.play(100);
    let stopped = preemptions(&mut site);
    assert_eq!(stopped.len(), 24);
    let lost = target_of_a_victim(&mut site, &stopped);
    site.report_mut(lost).description.draining = true;
    site.play(2_000);
    assert_eq!(site.running(&urgent).len(), 3);
    let counts = preemptions(&mut site);
    assert_eq!(counts.values().sum::<usize>(), 8, "{counts:?}");
}

/// Guards against planning the room of a target anew that gets no tasks only for a moment.
#[test]
fn a_target_that_refuses_a_start_is_not_replaced_in_a_reclaim() {
    let (mut site, _) = full_site(6);
    site.guarantee("a", 32);
    let urgent = site.submit(0, "a", &[gang(3, 8)]);
    site.play(100);
    let stopped = preemptions(&mut site);
    assert_eq!(stopped.len(), 24);
    let refusing = target_of_a_victim(&mut site, &stopped);
    // A refused start excludes the target for 300 ms.
    site.refuse_start(refusing);
    site.play(2_000);
    assert_eq!(site.running(&urgent).len(), 3);
    assert!(preemptions(&mut site).is_empty());
}

/// Guards against stopping runs that end in time by themselves: the work of the runs is kept, and
/// the step is still within its reclaim time.
#[test]
fn runs_that_end_in_time_are_awaited() {
    let mut site = Fixture::new(1);
    site.guarantee("a", 8);
    let small = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    // 81 of 100 after 4.05 s: the run ends in about a second.
    for _ in 0..81 {
        site.wait(50);
    }
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.play(900);
    assert!(preemptions(&mut site).is_empty());
    site.end_job(&small, RunOutcome::Done);
    site.step();
    assert_eq!(site.running(&urgent).len(), 1);
}

/// Guards against a guarantee that waits too long for a run that ends later than expected.
#[test]
fn an_awaited_run_that_does_not_end_is_stopped_in_time() {
    let mut site = Fixture::new(1);
    site.guarantee("a", 8);
    site.submit(2, "b", &[step(1, 8)]);
    site.step();
    for _ in 0..81 {
        site.wait(50);
    }
    site.is_hung = true;
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.play(1_700);
    site.is_hung = false;
    assert_eq!(site.running(&urgent).len(), 1);
}

/// Guards against a later job of an organisation that takes the guarantee from the one before it:
/// together they exceeded it, so that neither was reclaimed for.
#[test]
fn a_job_beyond_the_guarantee_takes_nothing_from_an_earlier_one() {
    let mut site = Fixture::new(2);
    site.guarantee("a", 8);
    let borrowed = site.submit(1, "b", &[step(2, 8)]);
    site.step();
    site.wait(60_000);
    let first = site.submit(0, "a", &[step(1, 8)]);
    let second = site.submit(0, "a", &[step(1, 8)]);
    site.step();
    site.step();
    assert_eq!(site.running(&first).len(), 1);
    assert!(site.running(&second).is_empty());
    assert_eq!(site.running(&borrowed).len(), 1);
}

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

/// Guards against urgent jobs that wait on a small site because its only less urgent task was stopped
/// once before, and against one that is stopped for each of many urgent jobs.
#[test]
fn a_task_is_stopped_twice_at_most_beyond_a_guarantee() {
    let mut site = Fixture::new(1);
    let small = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    for round in 0..3 {
        site.wait(100);
        let urgent = site.submit(0, "a", &[step(1, 8)]);
        site.step();
        site.step();
        let expected = usize::from(round < 2);
        assert_eq!(site.running(&urgent).len(), expected, "round {round}");
        site.end_job(&urgent, RunOutcome::Done);
        site.step();
        assert_eq!(site.running(&small).len(), 1, "round {round}");
    }
    assert_eq!(preemptions(&mut site).values().sum::<usize>(), 2);
}

/// Guards against waiting for runs of a previous scheduler as if they were about to end: their
/// progress, seen at once, looked like that of very short runs.
#[test]
fn runs_of_a_previous_scheduler_are_not_taken_for_short_ones() {
    let mut site = Fixture::new(1);
    site.guarantee("a", 8);
    let small = site.submit(2, "b", &[step(1, 8)]);
    site.step();
    for _ in 0..60 {
        site.wait(50);
    }
    let record = site.scheduler.job_record(&small).expect("a job");
    site.scheduler = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    site.wait(50);
    site.submit(0, "a", &[step(1, 8)]);
    site.step();
    assert_eq!(preemptions(&mut site).len(), 1);
}

fn set_objective(site: &mut Fixture, base: Duration, stretch_percent: u32) {
    for rules in site.rules.queues.values_mut() {
        rules.objective = Some(LatencyObjective {
            base,
            stretch_percent,
        });
    }
    site.set_rules();
}

/// Guards against freed room that goes to other tasks because the urgent job became useless to its
/// caller while runs were being stopped for it: they would have been stopped for nothing.
#[test]
fn a_reclaim_is_kept_when_its_job_becomes_overdue() {
    let mut site = Fixture::new(1);
    site.max_stop_time = Duration::from_millis(900);
    set_objective(&mut site, Duration::from_secs(20), 105);
    let checkpointing = StepDescription {
        checkpointing: true,
        ..step(16, 1)
    };
    let small = site.submit(2, "b", &[checkpointing]);
    site.step();
    let urgent = site.submit(0, "a", &[step(1, 8)]);
    site.step();
    assert_eq!(preemptions(&mut site).len(), 8);
    // The objective is 20 ms, and the job is of no use after 60 ms.
    set_objective(&mut site, Duration::ZERO, 1);
    site.play(1_500);
    assert_eq!(site.running(&urgent).len(), 1);
    assert!(site.running(&small).is_empty());
    assert!(preemptions(&mut site).is_empty());
}

/// Guards against stopping small runs first, and then a large one that makes enough room alone.
#[test]
fn runs_whose_room_is_not_needed_are_not_stopped() {
    let mut site = Fixture::new(1);
    let large = site.submit(2, "b", &[step(1, 5)]);
    site.step();
    site.wait(1_000);
    let small = site.submit(2, "b", &[step(3, 1)]);
    site.step();
    site.wait(1_000);
    site.guarantee("a", 8);
    let urgent = site.submit(0, "a", &[step(1, 4)]);
    site.play(1_000);
    assert_eq!(site.running(&urgent).len(), 1);
    assert_eq!(site.running(&large).len(), 0);
    assert_eq!(site.running(&small).len(), 3);
    assert_eq!(preemptions(&mut site).len(), 1);
}

/// A site of two targets with serving tasks beside others that have worked longer, so that less
/// work is lost by stopping the serving ones.
fn serving_site(max_unavailable: u32) -> (Fixture, JobId) {
    let mut site = Fixture::new(2);
    site.is_hung = true;
    site.submit(2, "b", &[step(8, 1)]);
    site.step();
    site.wait(5_000);
    let serving = StepDescription {
        long_running: true,
        max_unavailable: Some(max_unavailable),
        ..step(8, 1)
    };
    let serving = site.submit(2, "b", &[serving]);
    site.step();
    for number in 0..2 {
        for running in &mut site.report_mut(number).lists.running {
            if running.run.task.step.job == serving {
                running.percent = 100;
            }
        }
    }
    site.wait(200);
    assert_eq!(site.running(&serving).len(), 8);
    (site, serving)
}

/// Guards against a reclaim that takes more serving tasks away than their step allows.
#[test]
fn serving_tasks_are_stopped_only_as_far_as_their_step_allows() {
    for max_unavailable in 0..3 {
        let (mut site, serving) = serving_site(max_unavailable);
        site.guarantee("a", 16);
        let urgent = site.submit(0, "a", &[step(6, 1)]);
        site.play(1_000);
        assert_eq!(site.running(&urgent).len(), 6);
        let stopped = preemptions(&mut site);
        let stopped = stopped.keys().filter(|task| task.step.job == serving);
        assert_eq!(stopped.count(), max_unavailable as usize);
        // A wider step gets what is left.
        let wide = site.submit(0, "a", &[step(8, 1)]);
        site.play(1_000);
        let left = 8 - 6 + max_unavailable as usize;
        assert_eq!(site.running(&wide).len(), left);
        let again = preemptions(&mut site);
        assert!(again.keys().all(|task| task.step.job != serving));
    }
}

/// Guards against stops for a gang that can't be placed, since it needs whole targets on which a
/// step allows fewer stops.
#[test]
fn a_gang_stops_nothing_where_serving_tasks_are_in_its_way() {
    let (mut site, _) = serving_site(1);
    site.guarantee("a", 16);
    let urgent = site.submit(0, "a", &[gang(2, 8)]);
    site.play(2_000);
    assert!(site.running(&urgent).is_empty());
    assert!(preemptions(&mut site).is_empty());
}
