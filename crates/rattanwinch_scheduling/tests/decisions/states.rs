//! States of jobs as callers see them.

use std::time::Duration;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StartRefusal;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;

/// Places and orders the only task that waits, which the target doesn't carry out yet.
fn order_start(site: &mut Fixture) -> RunId {
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    let orders = site.scheduler.take_due_orders(site.now);
    orders[0].starts[0].run.clone()
}

/// Guards against counting a job as running from its placement on: on a target that doesn't answer
/// it may not begin for many seconds, and callers were told that nothing was pending.
#[test]
fn a_job_is_queued_until_a_task_has_started() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    let run = order_start(&mut site);
    let outcomes = [
        OrderOutcome::Unknown,
        OrderOutcome::Refused(StartRefusal::Late),
        OrderOutcome::Refused(StartRefusal::Unhealthy),
    ];
    for outcome in outcomes {
        site.answer(0, &run, outcome);
        assert_eq!(site.scheduler.job_state(&job), Some(JobState::Queued));
    }
    site.answer(0, &run, OrderOutcome::Stopped);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Queued));
    site.wait(1_000);
    let run = order_start(&mut site);
    site.scheduler
        .handle_order_outcome(&run, OrderOutcome::Started, None, site.now);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Running));
    let events = site.scheduler.take_events();
    let started = Event::JobStarted { job };
    assert_eq!(events.iter().filter(|event| **event == started).count(), 1);
}

/// Guards against a started job that falls back to queued, when its run is lost or another
/// scheduler takes over.
#[test]
fn a_started_job_stays_running() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    site.end_job(&job, RunOutcome::Lapsed);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Running));
    let interval = limits().progress_write_interval;
    site.now = site.now + interval;
    let changes = site.scheduler.take_changes(site.now);
    assert!(changes.jobs.contains(&job), "the start is made durable");
    let record = site.scheduler.job_record(&job).expect("a job");
    let next = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    assert_eq!(next.job_state(&job), Some(JobState::Running));
}

/// Guards against a scheduler that takes over and doesn't learn from the targets which jobs have
/// started, if that wasn't durable yet.
#[test]
fn the_next_scheduler_learns_of_starts_from_reports() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.scheduler.place_tasks(site.now, site.now);
    let record = site.scheduler.job_record(&job).expect("a job");
    site.step();
    let running = site.report_mut(0).clone();
    site.end_job(&job, RunOutcome::Failed);
    let ended = site.report_mut(0).clone();
    for report in [running, ended] {
        let records = [record.clone()];
        let mut next = Scheduler::restore(limits(), site.rules.clone(), records, site.now);
        assert_eq!(next.job_state(&job), Some(JobState::Queued));
        next.handle_report(&report, site.now + Duration::from_millis(100));
        assert_eq!(next.job_state(&job), Some(JobState::Running));
    }
}

/// Guards against jobs of a scheduler of before that fall back to queued: its records don't state
/// whether a task has started, but what the tasks have achieved.
#[test]
fn a_record_with_ended_tasks_is_of_a_started_job() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(2, 1)]);
    let started = site.step();
    site.end(&started[0].1.run, RunOutcome::Done);
    let (accepted, mut progress) = site.scheduler.job_record(&job).expect("a job");
    progress.started = false;
    let records = [(accepted, progress)];
    let next = Scheduler::restore(limits(), site.rules.clone(), records, site.now);
    assert_eq!(next.job_state(&job), Some(JobState::Running));
}
