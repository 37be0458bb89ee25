//! Cases that random runs seldom reach or that the model's executor hides.

use std::time::Duration;

use rattanwinch_decisions::Action;
use rattanwinch_decisions::Actions;
use rattanwinch_decisions::AdmissionGate;
use rattanwinch_decisions::HoldOutcome;
use rattanwinch_decisions::MAX_ENDED_MEMBERS;
use rattanwinch_decisions::MAX_TOMBSTONES;
use rattanwinch_decisions::MemberTable;
use rattanwinch_decisions::ObservedState;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_decisions::ReleaseOutcome;
use rattanwinch_decisions::TASK_LEASE;
use rattanwinch_decisions::TOMBSTONE_RETENTION;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use crate::support::hold_order;
use crate::support::member;
use crate::support::response;

const EPOCH: Epoch = Epoch(5);
const START: Timestamp = Timestamp::from_millis(1_000_000);
const MILLISECOND: Duration = Duration::from_millis(1);

fn open_gate() -> AdmissionGate {
    let mut response = response(Some(EPOCH));
    response.freshness = Duration::from_secs(1_000_000);
    AdmissionGate::default().after_heartbeat(START, &response)
}

fn table() -> MemberTable {
    MemberTable::new(AcceleratorSet::ALL)
}

fn hold(
    table: &mut MemberTable,
    key: &MemberKey,
    now: Timestamp,
) -> Result<HoldOutcome, ErrorKind> {
    let order = hold_order(key, EPOCH, AcceleratorSet::block(0, 4));
    let held = table.hold(order, &open_gate(), now);
    held.map_err(|error| {
        assert!(error.is_not_run(), "{error}");
        error.kind
    })
}

/// Holds, loads, releases and runs a member.
fn run(table: &mut MemberTable, key: &MemberKey, now: Timestamp) {
    assert!(matches!(hold(table, key, now), Ok(HoldOutcome::Load(_))));
    table.handle_load_result(key, &Ok(()), now);
    let released = table.release(key, EPOCH, &open_gate(), now);
    assert!(
        matches!(released, Ok(ReleaseOutcome::Run(_))),
        "{released:?}"
    );
    table.handle_run_result(key, &Ok(()), now);
}

fn stops(actions: &Actions, key: &MemberKey) -> bool {
    let stop = Action::Stop {
        member: key.clone(),
        mode: StopMode::Stop,
    };
    actions.contains(&stop)
}

/// Guards against a grant of accelerators that a task in the executor still has.
#[test]
fn accelerators_stay_taken_until_the_executor_has_dropped_the_task() {
    let mut table = table();
    let (first, second) = (member("a", 1, 0), member("b", 1, 0));
    assert!(matches!(
        hold(&mut table, &first, START),
        Ok(HoldOutcome::Load(_))
    ));
    assert!(
        table
            .abort(&first, EPOCH, START)
            .expect("aborted")
            .is_empty()
    );
    assert_eq!(
        hold(&mut table, &second, START),
        Err(ErrorKind::Busy),
        "while it is loaded"
    );
    assert!(stops(
        &table.handle_load_result(&first, &Ok(()), START),
        &first
    ));
    assert_eq!(
        hold(&mut table, &second, START),
        Err(ErrorKind::Busy),
        "while it is dropped"
    );
    table.handle_stop_result(&first, StopMode::Stop, &Ok(()));
    assert!(matches!(
        hold(&mut table, &second, START),
        Ok(HoldOutcome::Load(_))
    ));
}

/// Guards against a lease that is counted from a response's arrival, that an old decider renews,
/// or that never ends.
#[test]
fn a_task_lease_runs_from_the_sending_of_an_answered_heartbeat() {
    let mut table = table();
    let key = member("a", 1, 0);
    run(&mut table, &key, START);
    let sent_at = START + Duration::from_secs(10);
    let arrived = sent_at + Duration::from_secs(9);
    table.handle_heartbeat_response(sent_at, &response(Some(EPOCH)), arrived);
    let later = sent_at + Duration::from_secs(5);
    table.handle_heartbeat_response(later, &response(Some(Epoch(4))), arrived);
    table.handle_heartbeat_response(later, &response(None), arrived);

    let end = sent_at + TASK_LEASE;
    let before = Timestamp::from_millis(end.as_millis() - 1);
    assert!(!stops(&table.tick(before), &key), "the lease still lasts");
    assert!(stops(&table.tick(end), &key), "the lease has ended");
    assert!(
        !stops(&table.tick(end + MILLISECOND), &key),
        "the order is on its way"
    );
    assert!(
        stops(&table.tick(end + Duration::from_secs(1)), &key),
        "it wasn't accepted"
    );
}

/// Guards against a start by an agent that was frozen between a release and the executor's call.
#[test]
fn a_run_is_due_only_while_the_hold_and_the_freshness_last() {
    let mut table = table();
    let key = member("a", 1, 0);
    assert!(matches!(
        hold(&mut table, &key, START),
        Ok(HoldOutcome::Load(_))
    ));
    table.handle_load_result(&key, &Ok(()), START);
    let gate = open_gate();
    let Ok(ReleaseOutcome::Run(action)) = table.release(&key, EPOCH, &gate, START) else {
        panic!("the release has to be granted");
    };
    let expires_at = START + Duration::from_secs(5);
    let before = Timestamp::from_millis(expires_at.as_millis() - 1);
    assert_eq!(action.check_still_allowed(&gate, before), Ok(()));
    let late = action
        .check_still_allowed(&gate, expires_at)
        .expect_err("too late");
    assert_eq!(
        (late.kind, late.verdict),
        (ErrorKind::Deadline, Verdict::NotRun)
    );
    let leaving = gate.with_leaving();
    assert!(action.check_still_allowed(&leaving, before).is_err());
}

/// Guards against a release of a task whose hold the agent before had granted.
#[test]
fn a_loaded_task_that_is_adopted_is_stopped_and_never_released() {
    let mut table = table();
    let task = ObservedTask {
        member: member("a", 1, 0),
        epoch: EPOCH,
        accelerators: AcceleratorSet::block(0, 4),
        state: ObservedState::Loaded,
    };
    let key = task.member.clone();
    assert!(stops(&table.adopt(&[task], START), &key));
    assert_eq!(table.epoch(), EPOCH);
    let error = table
        .release(&key, EPOCH, &open_gate(), START)
        .expect_err("refused");
    assert_eq!(
        (error.kind, error.verdict),
        (ErrorKind::Cancelled, Verdict::MayHaveRun)
    );
}

/// Guards against a member that is reported as ended on the answer to a call made before it was
/// held, while its own start is on the way to the executor.
#[test]
fn a_running_member_ends_by_the_list_alone() {
    let mut table = table();
    let key = member("a", 1, 0);
    run(&mut table, &key, START);
    let absent = RequestError::not_run(ErrorKind::NotFound, "no such task");
    table.handle_stop_result(&key, StopMode::Stop, &Err(absent));
    let phase = |table: &MemberTable| table.reports()[0].phase.clone();
    assert_eq!(phase(&table), MemberPhase::Running);
    let request = table.begin_task_list();
    table.handle_task_list(request, &[], START);
    assert!(matches!(
        phase(&table),
        MemberPhase::Ended(MemberOutcome::Failed(_))
    ));
}

/// Guards against a tombstone that is dropped while a late hold may come, and against a table
/// that grows without bound.
#[test]
fn a_full_table_of_tombstones_refuses_rather_than_forgets() {
    let mut table = table();
    for n in 0..MAX_TOMBSTONES {
        let key = member(&format!("job-{n}"), 1, 0);
        table.abort(&key, EPOCH, START).expect("there is room");
    }
    let key = member("new", 1, 0);
    assert_eq!(hold(&mut table, &key, START), Err(ErrorKind::Busy));
    let error = table
        .abort(&key, EPOCH, START)
        .expect_err("there is no room");
    assert_eq!(
        (error.kind, error.verdict),
        (ErrorKind::Busy, Verdict::MayHaveRun)
    );

    let over = START + TOMBSTONE_RETENTION + MILLISECOND;
    table.tick(over);
    assert_eq!(
        hold(&mut table, &key, over),
        Err(ErrorKind::Busy),
        "time alone shows nothing"
    );
    let sent_early = START + TOMBSTONE_RETENTION;
    table.handle_heartbeat_response(sent_early, &response(Some(EPOCH)), over);
    assert_eq!(table.tombstone_count(), MAX_TOMBSTONES);

    let mut fenced = table.clone();
    fenced.accept_epoch(Epoch(6)).expect("a higher epoch");
    let order = hold_order(&key, Epoch(6), AcceleratorSet::block(0, 4));
    let held = fenced.hold(order, &open_gate(), over);
    assert!(
        matches!(held, Ok(HoldOutcome::Load(_))),
        "late copies are fenced: {held:?}"
    );
    assert_eq!(fenced.tombstone_count(), MAX_TOMBSTONES - 1);

    table.handle_heartbeat_response(over, &response(Some(EPOCH)), over);
    assert_eq!(table.tombstone_count(), 0);
    assert!(matches!(
        hold(&mut table, &key, over),
        Ok(HoldOutcome::Load(_))
    ));
}

/// Guards against heartbeats that grow with each aborted hold, and against an agent that refuses
/// holds for good because of them.
#[test]
fn ended_members_that_never_ran_make_room_by_themselves() {
    let mut table = table();
    for n in 0..MAX_ENDED_MEMBERS {
        let key = member(&format!("job-{n}"), 1, 0);
        assert!(matches!(
            hold(&mut table, &key, START),
            Ok(HoldOutcome::Load(_))
        ));
        table.handle_load_result(&key, &Ok(()), START);
        assert!(stops(
            &table.abort(&key, EPOCH, START).expect("aborted"),
            &key
        ));
        table.handle_stop_result(&key, StopMode::Stop, &Ok(()));
    }
    let key = member("new", 1, 0);
    assert_eq!(hold(&mut table, &key, START), Err(ErrorKind::Busy));
    let later = START + Duration::from_secs(2);
    table.tick(later);
    assert!(matches!(
        hold(&mut table, &key, later),
        Ok(HoldOutcome::Load(_))
    ));
    let barred = member("job-0", 1, 0);
    assert_eq!(hold(&mut table, &barred, later), Err(ErrorKind::Cancelled));
}

/// Guards against two orders for one member, and against an attempt that was given up and comes
/// after its successor.
#[test]
fn other_orders_and_lower_attempts_are_refused() {
    let mut table = table();
    let key = member("a", 2, 0);
    assert!(matches!(
        hold(&mut table, &key, START),
        Ok(HoldOutcome::Load(_))
    ));
    assert_eq!(hold(&mut table, &key, START), Ok(HoldOutcome::Loading));
    let other = hold_order(&key, EPOCH, AcceleratorSet::block(4, 4));
    let error = table
        .hold(other, &open_gate(), START)
        .expect_err("another order");
    assert_eq!(error.kind, ErrorKind::Conflict);
    let lower = member("a", 1, 1);
    assert_eq!(hold(&mut table, &lower, START), Err(ErrorKind::Cancelled));
}
