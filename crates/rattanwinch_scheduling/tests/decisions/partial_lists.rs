//! Lists of a target that do not name all of its ended runs.

use rattanwinch_scheduling::EndedTask;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunOutcome;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::StartRefusal;
use rattanwinch_scheduling::TargetOrders;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;
use crate::fixture::target;

/// Ends all runs on the target as done, in lists that name the first `listed` ends only.
fn end_all(site: &mut Fixture, listed: usize) -> Vec<EndedTask> {
    let lists = &mut site.report_mut(0).lists;
    let ended = std::mem::take(&mut lists.running).into_iter();
    let ended: Vec<_> = (1..)
        .zip(ended)
        .map(|(sequence, running)| EndedTask {
            sequence,
            run: running.run,
            outcome: RunOutcome::Done,
            checkpoint: None,
        })
        .collect();
    lists.ended = ended[..listed].to_vec();
    lists.extent = ListExtent::Partial;
    ended
}

fn order(site: &mut Fixture) -> Vec<TargetOrders> {
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    site.scheduler.take_due_orders(site.now)
}

fn started(orders: &[TargetOrders]) -> Vec<RunId> {
    let starts = orders.iter().flat_map(|orders| &orders.starts);
    starts.map(|start| start.run.clone()).collect()
}

/// Guards against tasks that run again after their end: a new scheduler reads lists that name the
/// first ends only, its starts of the other runs are refused as old, and it took their absence from
/// the lists for proof that they were gone.
#[test]
fn a_run_whose_end_is_not_listed_yet_is_not_placed_again() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(4, 1)]);
    assert_eq!(site.step().len(), 4);
    let record = site.scheduler.job_record(&job).expect("a job");
    site.scheduler = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    let ended = end_all(&mut site, 3);
    let hidden = ended[3].run.clone();
    site.wait(100);

    let orders = order(&mut site);
    assert_eq!(started(&orders), std::slice::from_ref(&hidden));
    let old = OrderOutcome::Refused(StartRefusal::Old);
    site.answer(0, &hidden, old);
    let orders = order(&mut site);
    assert_eq!(orders[0].stops, std::slice::from_ref(&hidden));
    site.answer(0, &hidden, OrderOutcome::Stopped);
    for _ in 0..5 {
        site.wait(1_000);
        let orders = order(&mut site);
        assert_eq!(started(&orders), [], "the run may be done");
        for run in orders.into_iter().flat_map(|orders| orders.stops) {
            site.answer(0, &run, OrderOutcome::Stopped);
        }
    }

    let lists = &mut site.report_mut(0).lists;
    lists.ended = ended[3..].to_vec();
    lists.extent = ListExtent::Complete;
    site.wait(100);
    assert_eq!(started(&order(&mut site)), []);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Completed));
}

/// Guards against a task that waits without an end once complete lists show that its run is gone.
#[test]
fn a_refused_run_is_placed_again_once_complete_lists_lack_it() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    let run = started(&order(&mut site)).remove(0);
    site.report_mut(0).lists.extent = ListExtent::Partial;
    site.answer(0, &run, OrderOutcome::Refused(StartRefusal::Old));
    order(&mut site);
    site.answer(0, &run, OrderOutcome::Stopped);
    assert_eq!(started(&order(&mut site)), []);
    site.report_mut(0).lists.extent = ListExtent::Complete;
    site.wait(2_000);
    order(&mut site);
    site.answer(0, &run, OrderOutcome::Stopped);
    assert_eq!(site.step().len(), 1);
    assert_eq!(site.running(&job), [target(0)]);
}

/// Guards against a stop of a run that has vanished from partial lists: it has ended, and its end
/// is listed later.
#[test]
fn a_started_run_is_not_missing_in_partial_lists() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(2, 1)]);
    site.step();
    let ended = end_all(&mut site, 1);
    for _ in 0..5 {
        site.wait(1_000);
        assert!(order(&mut site).is_empty());
    }
    site.report_mut(0).lists.ended = ended;
    site.wait(1_000);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Completed));
}

/// Guards against a second run of a task beside an end that is not listed yet: a run of it that
/// the scheduler no longer expects on the target vanishes from partial lists.
#[test]
fn a_task_waits_for_the_end_of_an_unexpected_run_that_partial_lists_hide() {
    let mut site = Fixture::new(1);
    let job = site.submit(1, "a", &[step(1, 1)]);
    site.step();
    let running = site.report_mut(0).lists.running.clone();
    site.report_mut(0).lists.running.clear();
    // The run is given up after a stop, and then listed again.
    site.wait(3_000);
    site.wait(3_000);
    for run in order(&mut site).into_iter().flat_map(|orders| orders.stops) {
        site.answer(0, &run, OrderOutcome::Stopped);
    }
    site.report_mut(0).lists.running = running;
    site.wait(100);
    let ended = end_all(&mut site, 0);
    for _ in 0..3 {
        site.wait(1_000);
        assert_eq!(started(&order(&mut site)), [], "the run may be done");
    }
    let lists = &mut site.report_mut(0).lists;
    lists.ended = ended;
    lists.extent = ListExtent::Complete;
    site.wait(1_000);
    assert_eq!(started(&order(&mut site)), []);
    assert_eq!(site.scheduler.job_state(&job), Some(JobState::Completed));
}
