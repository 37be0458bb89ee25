use std::time::Duration;

use rattanwinch_scheduling::Checkpoint;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RemovalCause;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_scheduling::StepDescription;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;
use crate::fixture::target;

/// Guards against orders for a placement that is not durable: the next scheduler does not know it
/// and would place the task again.
#[test]
fn no_order_is_sent_before_the_placement_is_durable() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(1, 1)]);
    site.scheduler.place_tasks(site.now, site.now);
    assert!(site.scheduler.take_due_orders(site.now).is_empty());
    let changes = site.scheduler.take_changes(site.now);
    assert!(site.scheduler.take_due_orders(site.now).is_empty());
    site.scheduler.mark_committed(&changes);
    assert_eq!(site.scheduler.take_due_orders(site.now).len(), 1);
}

/// Guards against counting a failure each time it is reported, which failed jobs with attempts
/// left: a target reports an ended run until it is acknowledged.
#[test]
fn a_failure_that_is_reported_again_counts_once() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    for _ in 0..2 {
        let started = site.step();
        site.end(&started[0].1.run, RunOutcome::Failed);
        site.wait(100);
        site.wait(100);
    }
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Running));
    let record = site.scheduler.job_record(&job).expect("a job");
    let mut next = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    let listed = site.report_mut(0).clone();
    next.handle_report(&listed, site.now);
    assert_eq!(
        next.job_state(&job),
        Some(JobState::Running),
        "the next scheduler counts it once as well"
    );
    let started = site.step();
    site.end(&started[0].1.run, RunOutcome::Failed);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Failed));
}

/// Guards against a second start of a task while a copy of the refused order may still be in
/// transit: a stop has to prevent that start first.
#[test]
fn a_refused_start_is_stopped_before_the_task_is_placed_again() {
    let mut site = Fixture::new(2);
    let job = site.submit(1, "a", &[step(1, 8)]);
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    let orders = site.scheduler.take_due_orders(site.now);
    let run = orders[0].starts[0].run.clone();
    let refused = OrderOutcome::Refused(StartRefusal::Unhealthy);
    site.answer(0, &run, refused);
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    let orders = site.scheduler.take_due_orders(site.now);
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].stops, std::slice::from_ref(&run));
    assert!(orders[0].starts.is_empty());
    site.answer(0, &run, OrderOutcome::Stopped);
    assert_eq!(site.step().len(), 1);
    assert_eq!(site.running(&job).len(), 1);
}

/// Guards against a run that continues after a stop that was confirmed and not carried out.
#[test]
fn a_stop_is_repeated_while_the_run_is_reported() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    let started = site.step();
    let run = started[0].1.run.clone();
    site.scheduler.cancel(&job);
    let orders = site.scheduler.take_due_orders(site.now);
    assert_eq!(orders[0].stops, std::slice::from_ref(&run));
    site.answer(0, &run, OrderOutcome::Stopped);
    assert!(site.scheduler.take_due_orders(site.now).is_empty());
    site.wait(1_600);
    assert_eq!(site.scheduler.take_due_orders(site.now)[0].stops, [run]);
}

/// Guards against a task that runs twice: a run that a target lists though it was placed elsewhere,
/// such as on the target's former instance, is being stopped, and goes on until that is done.
#[test]
fn a_task_is_not_placed_while_a_target_lists_a_run_of_it() {
    let mut gang = step(2, 1);
    gang.gang = true;
    for step in [step(1, 1), gang] {
        let mut site = Fixture::new(2);
        let job = site.submit(1, "a", std::slice::from_ref(&step));
        let started = site.step();
        let (former, start) = &started[0];
        let number = usize::from(*former != target(0));
        let listed = site.report_mut(number).lists.running[0].clone();
        assert_eq!(listed.run, start.run);
        site.add_target(number, 5);
        site.report_mut(number).lists.running.push(listed.clone());
        site.wait(100);
        site.scheduler.place_tasks(site.now, site.now);
        site.commit();
        let orders = site.scheduler.take_due_orders(site.now);
        let mut starts = orders.iter().flat_map(|orders| &orders.starts);
        assert!(
            starts.all(|start| start.run.task != listed.run.task),
            "{orders:?}"
        );
        assert!(
            orders
                .iter()
                .any(|orders| orders.stops.contains(&listed.run)),
            "{orders:?}"
        );
        site.report_mut(number).lists.running.clear();
        site.play(400);
        assert_eq!(site.running(&job).len(), step.count as usize);
    }
}

/// Guards against waiting 16 s for the leases of a VM's former target, whose runs are gone.
#[test]
fn a_new_target_on_a_vm_ends_its_former_runs() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let record = site.scheduler.job_record(&job).expect("a job");
    let mut next = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    let mut report = site.report_mut(0).clone();
    report.description.instance.target = target(9);
    report.description.instance.started_at_ms = 5;
    report.lists.running.clear();
    next.handle_report(&report, site.now);
    next.place_tasks(site.now, site.now);
    let changes = next.take_changes(site.now);
    next.mark_committed(&changes);
    let orders = next.take_due_orders(site.now);
    assert_eq!(orders[0].starts[0].run.number, 2);
}

/// Guards against starting the tasks of a silent target elsewhere before all its leases have
/// expired, since it may still run them.
#[test]
fn tasks_of_a_silent_target_wait_for_its_leases() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let silent_since = site.now;
    site.add_target(1, 0);
    for _ in 0..32 {
        site.now = site.now + Duration::from_millis(500);
        let other = site.report_mut(1).clone();
        site.scheduler.handle_report(&other, site.now);
        site.scheduler.expire_silent_targets(site.now);
        site.scheduler.place_tasks(site.now, site.now);
        site.commit();
        assert!(
            site.scheduler.take_due_orders(site.now).is_empty(),
            "{:?}",
            site.now.since(silent_since)
        );
    }
    site.now = site.now + Duration::from_millis(600);
    let other = site.report_mut(1).clone();
    site.scheduler.handle_report(&other, site.now);
    site.scheduler.expire_silent_targets(site.now);
    site.step();
    assert_eq!(site.running(&job), [target(0), target(1)]);
}

/// Guards against repeating work that a checkpoint has saved.
#[test]
fn a_restart_resumes_from_the_latest_checkpoint() {
    let mut site = Fixture::new(1);
    let mut resumable = step(1, 1);
    resumable.checkpointing = true;
    let job = site.submit(1, "a", &[resumable]);
    let started = site.step();
    assert_eq!(started[0].1.checkpoint, None);
    site.report_mut(0).lists.running[0].checkpoint = Some(Checkpoint::from("half"));
    site.wait(2_100);
    site.commit();
    let (_, progress) = site.scheduler.job_record(&job).expect("a job");
    assert_eq!(progress.tasks[0].checkpoint, Some(Checkpoint::from("half")));
    let instance = site.report_mut(0).description.instance.clone();
    site.scheduler
        .remove_instance(&instance, RemovalCause::Left);
    site.report_mut(0).lists.running.clear();
    site.wait(100);
    let again = site.step();
    assert_eq!(again[0].1.checkpoint, Some(Checkpoint::from("half")));
}

/// Guards against treating the end of a long-running task as final.
#[test]
fn long_running_tasks_are_started_again_however_they_end() {
    let mut site = Fixture::new(1);
    let mut serving = step(1, 1);
    serving.long_running = true;
    let job = site.submit(1, "a", &[serving]);
    for outcome in [
        RunOutcome::Done,
        RunOutcome::Failed,
        RunOutcome::Failed,
        RunOutcome::Failed,
        RunOutcome::Lapsed,
    ] {
        let started = site.step();
        assert_eq!(started.len(), 1, "after the run before {outcome:?}");
        site.end(&started[0].1.run, outcome);
    }
    assert_eq!(site.step().len(), 1);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Running));
}

/// Guards against placing tasks on a target with an unknown run, whose resources are unknown until
/// it is stopped.
#[test]
fn an_unknown_run_is_stopped_and_blocks_its_target() {
    let mut site = Fixture::new(2);
    let job = site.submit(1, "a", &[step(1, 1)]);
    let started = site.step();
    let mut unknown = started[0].1.run.clone();
    unknown.task.step.job = "nobody".into();
    let mut running = site.report_mut(0).lists.running[0].clone();
    running.run = unknown.clone();
    site.report_mut(1).lists.running.push(running);
    site.wait(100);
    site.submit(1, "a", &[step(7, 1)]);
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    let orders = site.scheduler.take_due_orders(site.now);
    let second = orders
        .iter()
        .find(|orders| orders.instance.target == target(1))
        .expect("orders");
    assert_eq!(second.stops, [unknown]);
    assert!(second.starts.is_empty());
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Running));
}

fn gang(count: u32) -> StepDescription {
    StepDescription {
        gang: true,
        ..step(count, 8)
    }
}

/// Ends the run of a new job on the target as failed; other targets of the same size are full.
fn fail_on(site: &mut Fixture, number: usize) {
    let job = site.submit(0, "z", &[step(1, 8)]);
    let started = site.step();
    assert_eq!(site.running(&job), [target(number)]);
    site.wait(50);
    site.end(&started[0].1.run, RunOutcome::Failed);
    site.scheduler.cancel(&job);
}

/// Guards against targets that fail all at once and are therefore always free: each failed several
/// gangs, whose two attempts were used up within 300 ms, before it was quarantined.
#[test]
fn gangs_avoid_a_target_on_which_a_run_failed_at_once() {
    let mut site = Fixture::new(4);
    let filler = site.submit(0, "b", &[step(3, 8)]);
    let filled = site.step();
    let free = (0..4).find(|&number| filled.iter().all(|(name, _)| *name != target(number)));
    let free = free.expect("a free target");
    fail_on(&mut site, free);
    let waiting = site.submit(0, "a", &[gang(1)]);
    site.step();
    assert!(site.running(&waiting).is_empty());
    // A single task that has not failed yet shows whether the target works.
    let single = site.submit(1, "a", &[step(1, 4)]);
    let started = site.step();
    assert_eq!(site.running(&single), [target(free)]);
    site.wait(500);
    site.end(&started[0].1.run, RunOutcome::Done);
    site.step();
    assert_eq!(site.running(&waiting), [target(free)]);
    assert_eq!(site.running(&filler).len(), 3);
}

/// Guards against gangs that wait for the few targets left where jobs that can't be done have
/// failed, and for a target whose fault has passed.
#[test]
fn suspected_targets_are_used_when_they_are_many_or_after_a_while() {
    let mut site = Fixture::new(4);
    site.submit(0, "b", &[step(3, 8)]);
    let filled = site.step();
    let free = (0..4).find(|&number| filled.iter().all(|(name, _)| *name != target(number)));
    let free = free.expect("a free target");
    fail_on(&mut site, free);
    let waiting = site.submit(0, "a", &[gang(1)]);
    site.step();
    site.wait(1_900);
    site.step();
    assert!(site.running(&waiting).is_empty());
    site.wait(100);
    site.step();
    assert_eq!(site.running(&waiting), [target(free)]);

    let mut site = Fixture::new(4);
    for _ in 0..3 {
        let job = site.submit(0, "z", &[step(1, 8)]);
        let started = site.step();
        site.wait(20);
        site.end(&started[0].1.run, RunOutcome::Failed);
        site.scheduler.cancel(&job);
    }
    let wide = site.submit(0, "a", &[gang(1)]);
    site.step();
    assert_eq!(site.running(&wide).len(), 1);
}

/// Guards against a storm of orders: each change at the site sent the stops of unknown runs again,
/// so that a scheduler that had been replaced, and knew none of its successor's runs, sent thousands
/// of orders a second.
#[test]
fn stops_of_unknown_runs_are_repeated_after_a_delay() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    let started = site.step();
    let unknown = |number| {
        let mut run = started[0].1.run.clone();
        run.task.step.job = "nobody".into();
        run.number = number;
        run
    };
    let mut running = site.report_mut(0).lists.running[0].clone();
    running.run = unknown(1);
    site.report_mut(0).lists.running.push(running.clone());
    let stops_within = |site: &mut Fixture, millis: u64| {
        let mut stops = Vec::new();
        for _ in 0..millis / 20 {
            site.wait(20);
            let orders = site.scheduler.take_due_orders(site.now);
            stops.extend(orders.into_iter().flat_map(|orders| orders.stops));
        }
        stops
    };
    assert_eq!(stops_within(&mut site, 1_400), [unknown(1)]);
    assert_eq!(stops_within(&mut site, 1_400), [unknown(1)]);
    // A further unknown run is stopped at once.
    running.run = unknown(2);
    site.report_mut(0).lists.running.push(running);
    let stops = stops_within(&mut site, 100);
    assert_eq!(stops, [unknown(1), unknown(2)]);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Running));
}

/// Guards against a faulty target that uses up all attempts of a job because it is the only one
/// with free resources: three runs failed on one within 110 ms.
#[test]
fn a_failed_task_waits_for_another_target() {
    let mut site = Fixture::new(2);
    let filler = site.submit(0, "a", &[step(1, 8)]);
    let full = site.step()[0].0.clone();
    let job = site.submit(1, "a", &[step(2, 1)]);
    let started = site.step();
    assert!(started.iter().all(|(target, _)| *target != full));
    site.wait(2_000);
    for (_, start) in started {
        site.end(&start.run, RunOutcome::Failed);
    }
    assert!(
        site.step().is_empty(),
        "the other target has no free resources yet"
    );
    site.wait(1_000);
    site.end_job(&filler, RunOutcome::Done);
    let again = site.step();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|(target, _)| *target == full));
    site.end_job(&job, RunOutcome::Done);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Completed));
}

/// Guards against waiting for another target where there is none.
#[test]
fn a_failed_task_is_retried_on_the_same_target_if_there_is_no_other() {
    let mut site = Fixture::new(1);
    site.submit(1, "a", &[step(1, 1)]);
    let started = site.step();
    site.wait(2_000);
    site.end(&started[0].1.run, RunOutcome::Failed);
    assert_eq!(site.step().len(), 1);
}

/// Guards against waiting for a second job to fail on a target on which tasks of one job fail
/// immediately.
#[test]
fn a_target_on_which_runs_fail_immediately_is_quarantined() {
    let mut site = Fixture::new(2);
    site.submit(1, "a", &[step(2, 1)]);
    let started = site.step();
    let faulty = started[0].0.clone();
    assert_eq!(started[1].0, faulty, "both fit on one target");
    site.wait(100);
    for (_, start) in started {
        site.end(&start.run, RunOutcome::Failed);
    }
    site.submit(1, "b", &[step(8, 1)]);
    let placed = site.step();
    assert_eq!(placed.len(), 8, "the other target is full");
    assert!(
        placed.iter().all(|(target, _)| *target != faulty),
        "{placed:?}"
    );
}

/// Guards against an older run whose success resets the failures of a target.
#[test]
fn an_older_successful_run_does_not_reset_target_failures() {
    let mut site = Fixture::new(1);
    let older = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    site.wait(1_000);
    let fail_one = |site: &mut Fixture| {
        site.submit(1, "b", &[step(1, 1)]);
        let started = site.step();
        site.wait(1_000);
        site.end(&started[0].1.run, RunOutcome::Failed);
    };
    fail_one(&mut site);
    site.end_job(&older, RunOutcome::Done);
    // The failed task is restarted, and a second job fails as well.
    site.step();
    site.wait(100);
    fail_one(&mut site);
    site.submit(1, "c", &[step(1, 1)]);
    assert!(site.step().is_empty(), "the target is quarantined");
}

/// Guards against an overflow: a task without resource requirements fits any number of times on
/// each target.
#[test]
fn a_failed_task_without_resource_requirements_is_retried() {
    let mut site = Fixture::new(3);
    let mut unconstrained = step(1, 0);
    unconstrained.resources = Resources::NONE;
    site.submit(1, "a", &[unconstrained]);
    let first = site.step();
    site.wait(2_000);
    site.end(&first[0].1.run, RunOutcome::Failed);
    let second = site.step();
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].0, first[0].0);
}

/// Guards against stopping the runs of a target that only does not answer its agent for a while: the
/// agent reports the lists of before, which show no progress.
#[test]
fn runs_of_a_target_that_does_not_answer_for_a_while_go_on() {
    let mut site = Fixture::new(2);
    let job = site.submit(1, "a", &[step(1, 8)]);
    assert_eq!(site.step().len(), 1);
    site.wait(1_000);
    site.repeats_lists = true;
    for _ in 0..8 {
        site.wait(1_000);
        assert!(site.step().is_empty(), "started again elsewhere");
    }
    site.repeats_lists = false;
    site.wait(1_000);
    site.step();
    let before = site.running(&job);
    assert_eq!(before.len(), 1);
    // A run that stands still after that is stopped, and started elsewhere.
    site.is_hung = true;
    for _ in 0..6 {
        site.wait(1_000);
        site.step();
    }
    assert_ne!(site.running(&job), before);
}
