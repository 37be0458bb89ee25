//! Targets that operators close while starts on them are open.

use std::collections::BTreeSet;

use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::RunningTask;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::TargetClosure;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_types::TargetName;
use rattanwinch_types::ZoneName;

use crate::fixture::Fixture;
use crate::fixture::limits;
use crate::fixture::step;
use crate::fixture::target;

/// Targets 0 and 1 are in this zone, 2 and 3 in the other.
const ZONE: &str = "az-0";

impl Fixture {
    fn close_zone(&mut self) {
        let zone = ZoneName::new(ZONE).expect("a name");
        self.rules.closed_zones.insert(zone);
        self.set_rules();
    }

    fn order(&mut self) -> Vec<TargetOrders> {
        self.scheduler.place_tasks(self.now, self.now);
        self.commit();
        self.scheduler.take_due_orders(self.now)
    }

    /// Lets all orders go unanswered.
    fn leave_unanswered(&mut self, orders: &[TargetOrders]) {
        for run in started(orders) {
            self.scheduler
                .handle_order_outcome(&run, OrderOutcome::Unknown, None, self.now);
        }
        self.wait(400);
    }
}

fn started(orders: &[TargetOrders]) -> Vec<RunId> {
    let starts = orders.iter().flat_map(|orders| &orders.starts);
    starts.map(|start| start.run.clone()).collect()
}

fn stopped(orders: &[TargetOrders]) -> Vec<RunId> {
    let stops = orders.iter().flat_map(|orders| &orders.stops);
    stops.cloned().collect()
}

fn cordoned() -> BTreeSet<TargetName> {
    [target(0), target(1)].into()
}

/// Guards against a start that is sent again until its target answers, however long ago operators
/// have closed the target's zone, or have ordered the upkeep of its machine.
#[test]
fn an_unanswered_start_is_withdrawn_when_its_target_is_closed() {
    for closure in [TargetClosure::Zone, TargetClosure::Upkeep] {
        let mut site = Fixture::new(4);
        let job = site.submit(1, "a", &[step(1, 8)]);
        let orders = site.order();
        assert_eq!(orders[0].instance.target, target(0));
        let run = started(&orders)[0].clone();
        site.leave_unanswered(&orders);
        match closure {
            TargetClosure::Zone => site.close_zone(),
            TargetClosure::Upkeep => site.scheduler.cordon(cordoned()),
        }
        let orders = site.order();
        assert!(started(&orders).is_empty(), "{orders:?}");
        // An earlier copy of the start may still be carried out.
        assert_eq!(stopped(&orders), std::slice::from_ref(&run));
        let withdrawn = Event::StartWithdrawn {
            run: run.clone(),
            target: target(0),
            closure,
        };
        assert!(site.scheduler.take_events().contains(&withdrawn));
        site.answer(0, &run, OrderOutcome::Stopped);
        site.step();
        assert_eq!(site.running(&job), [target(2)], "{closure:?}");
    }
}

/// Guards against starts by a scheduler that has lost sight of the rules; stops still go out.
#[test]
fn no_start_is_ordered_while_starts_are_held() {
    let mut site = Fixture::new(2);
    let running = site.submit(1, "a", &[step(1, 8)]);
    site.step();
    site.submit(1, "a", &[step(1, 8)]);
    site.scheduler.cancel(&running);
    site.scheduler.hold_starts(true);
    let orders = site.order();
    assert!(started(&orders).is_empty(), "{orders:?}");
    assert_eq!(stopped(&orders).len(), 1);
    site.scheduler.hold_starts(false);
    assert_eq!(started(&site.scheduler.take_due_orders(site.now)).len(), 1);
}

/// Guards against a start whose zone is closed between its placement and its first order.
#[test]
fn a_start_that_was_not_sent_is_withdrawn_without_a_stop() {
    let mut site = Fixture::new(4);
    let job = site.submit(1, "a", &[step(1, 8)]);
    site.scheduler.place_tasks(site.now, site.now);
    site.commit();
    site.close_zone();
    assert!(site.scheduler.take_due_orders(site.now).is_empty());
    site.step();
    assert_eq!(site.running(&job), [target(2)]);
}

/// Guards against a gang of which only a part is withdrawn: its other members would wait for it in
/// vain.
#[test]
fn a_gang_is_withdrawn_as_a_whole() {
    let mut site = Fixture::new(4);
    let mut gang = step(3, 8);
    gang.gang = true;
    site.submit(1, "a", &[gang]);
    let orders = site.order();
    let runs = started(&orders);
    assert_eq!(runs.len(), 3);
    site.leave_unanswered(&orders);
    site.close_zone();
    let orders = site.order();
    assert!(started(&orders).is_empty(), "{orders:?}");
    assert_eq!(stopped(&orders), runs);
}

/// Guards against stopping work that began before its zone was closed.
#[test]
fn a_started_run_goes_on_in_a_closed_zone() {
    let mut site = Fixture::new(4);
    let job = site.submit(1, "a", &[step(1, 8)]);
    site.step();
    site.close_zone();
    site.play(2_000);
    assert_eq!(site.running(&job), [target(0)]);
}

/// Guards against a scheduler that takes over and sends starts of its predecessor to a closed zone,
/// or stops what runs there before the targets have told it.
#[test]
fn the_next_scheduler_withdraws_only_what_has_not_started() {
    let mut site = Fixture::new(4);
    let job = site.submit(1, "a", &[step(2, 8)]);
    let orders = site.order();
    let runs = started(&orders);
    let record = site.scheduler.job_record(&job).expect("a job");
    site.close_zone();
    let mut next = Scheduler::restore(limits(), site.rules.clone(), [record], site.now);
    next.place_tasks(site.now, site.now);
    assert!(next.take_due_orders(site.now).is_empty());
    // The first start was carried out, the second wasn't.
    let mut report = site.report_mut(0).clone();
    report.lists.running.push(RunningTask {
        run: runs[0].clone(),
        checkpoint: None,
        percent: 1,
    });
    next.handle_report(&report, site.now);
    let empty = site.report_mut(1).clone();
    next.handle_report(&empty, site.now);
    let orders = next.take_due_orders(site.now);
    assert!(started(&orders).is_empty(), "{orders:?}");
    assert_eq!(stopped(&orders), [runs[1].clone()]);
}
