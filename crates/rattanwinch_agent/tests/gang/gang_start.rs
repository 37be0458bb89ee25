//! The agent's part in starting a gang, over real connections.

use std::time::Duration;

use rattanwinch_peers::GangRpcClient as _;
use rattanwinch_peers::request_error;
use rattanwinch_types::Answer;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Verdict;

use crate::support::EPOCH;
use crate::support::TestSetup;
use crate::support::eventually;
use crate::support::hold_order;
use crate::support::member;
use crate::support::start_agent;

const SUCCEEDED: MemberPhase = MemberPhase::Ended(MemberOutcome::Succeeded);
const STOPPED: MemberPhase = MemberPhase::Ended(MemberOutcome::Stopped);
const LAPSED: MemberPhase = MemberPhase::Ended(MemberOutcome::Lapsed);

/// A payload whose work runs longer than every test.
const LONG_WORK: &str = "work_ms=600000";

fn assert_refused(result: Result<(), RequestError>, kind: ErrorKind, verdict: Verdict) {
    let error = result.expect_err("the call has to be refused");
    assert_eq!((error.kind, error.verdict), (kind, verdict), "{error}");
}

/// Guards against a member that does not start, is not reported, or whose output is lost or
/// truncated.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_is_held_released_reported_and_collected() {
    let setup = TestSetup::start().await;
    let key = member("ladder-1", 1, 0);
    let order = hold_order(&key, 0b1111, "work_ms=100 answer_bytes=70000");
    setup.hold(order.clone()).await.expect("held");
    setup
        .hold(order)
        .await
        .expect("a repeated hold has the same result");
    setup.entry.wait_phase(&key, &MemberPhase::Held).await;
    assert!(
        setup.executor.task_starts().is_empty(),
        "a held task is running"
    );

    setup.release(&key, EPOCH).await.expect("released");
    setup
        .release(&key, EPOCH)
        .await
        .expect("a repeated release changes nothing");
    setup.entry.wait_phase(&key, &SUCCEEDED).await;
    assert_eq!(setup.executor.task_starts(), ["letrafa/ladder-1#1.0"]);

    let wire = setup.decider.collect(key.clone().into()).await;
    let answer = Answer::try_from(wire.expect("collected")).expect("the output matches its digest");
    assert_eq!(answer.text().len(), 70_000);

    setup
        .entry
        .change_response(|it| it.forget.push(key.clone()));
    setup.entry.wait_not_reported(&key).await;
    let error = setup.decider.collect(key.clone().into()).await;
    let error = request_error(&error.expect_err("the member was forgotten"));
    assert_eq!(error.kind, ErrorKind::NotFound);
    let late = hold_order(&key, 0b1111, LONG_WORK);
    assert_refused(setup.hold(late).await, ErrorKind::Cancelled, Verdict::Ran);
}

/// Guards against a start after the hold has expired, and against accelerators that the expired
/// hold keeps.
#[tokio::test(flavor = "multi_thread")]
async fn an_expired_hold_is_not_released() {
    let setup = TestSetup::start().await;
    let key = member("ladder-1", 1, 0);
    let mut order = hold_order(&key, 0xff, LONG_WORK);
    order.hold_for = Duration::from_millis(300);
    setup.hold(order).await.expect("held");
    setup.entry.wait_phase(&key, &LAPSED).await;
    let released = setup.release(&key, EPOCH).await;
    assert_refused(released, ErrorKind::Cancelled, Verdict::NotRun);

    let next = hold_order(&member("ladder-2", 1, 0), 0xff, LONG_WORK);
    eventually("free accelerators", async || {
        setup.hold(next.clone()).await.ok()
    })
    .await;
    assert!(
        setup.executor.task_starts().is_empty(),
        "an expired hold ran"
    );
}

/// Guards against a start by a decider that was replaced, and against an epoch that decreases.
#[tokio::test(flavor = "multi_thread")]
async fn a_fenced_decider_starts_nothing() {
    let setup = TestSetup::start().await;
    let key = member("ladder-1", 1, 0);
    setup
        .hold(hold_order(&key, 1, LONG_WORK))
        .await
        .expect("held");
    let reports = setup.decider.adopt(EPOCH + 1).await.expect("adopted");
    assert_eq!(reports.len(), 1, "the new decider learns of the member");

    let fenced = setup.release(&key, EPOCH).await;
    assert_refused(fenced, ErrorKind::Fenced, Verdict::NotRun);
    let other = hold_order(&member("ladder-2", 1, 0), 2, LONG_WORK);
    assert_refused(setup.hold(other).await, ErrorKind::Fenced, Verdict::NotRun);
    let aborted = setup.abort(&key, EPOCH).await;
    assert_refused(aborted, ErrorKind::Fenced, Verdict::NotRun);
    assert!(setup.decider.adopt(EPOCH).await.is_err());
    assert!(setup.executor.task_starts().is_empty());

    setup
        .release(&key, EPOCH + 1)
        .await
        .expect("the new decider releases the member");
    let fenced = setup.release(&key, EPOCH).await;
    assert_refused(fenced, ErrorKind::Fenced, Verdict::Ran);
}

/// Guards against a gang that runs in part because a hold arrives after its abort.
#[tokio::test(flavor = "multi_thread")]
async fn a_hold_that_comes_after_its_abort_is_refused() {
    let setup = TestSetup::start().await;
    let late = member("ladder-1", 1, 0);
    setup.abort(&late, EPOCH).await.expect("recorded");
    let held = setup.hold(hold_order(&late, 1, LONG_WORK)).await;
    assert_refused(held, ErrorKind::Cancelled, Verdict::NotRun);

    let running = member("ladder-2", 1, 0);
    setup
        .hold(hold_order(&running, 2, LONG_WORK))
        .await
        .expect("held");
    setup.release(&running, EPOCH).await.expect("released");
    setup.abort(&running, EPOCH).await.expect("aborted");
    setup.entry.wait_phase(&running, &STOPPED).await;
    let again = setup.release(&running, EPOCH).await;
    assert_refused(again, ErrorKind::Cancelled, Verdict::Ran);
    assert_eq!(setup.executor.task_starts(), ["letrafa/ladder-2#1.0"]);
}

/// Guards against a start in a closed zone, and against a start based on an outdated view of closed
/// zones.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_a_closed_zone_or_without_a_fresh_view() {
    for closed in [true, false] {
        let setup = TestSetup::start_with(Duration::from_secs(1), start_agent).await;
        let key = member("ladder-1", 1, 0);
        setup
            .hold(hold_order(&key, 1, LONG_WORK))
            .await
            .expect("held");
        setup.entry.change_response(|it| {
            it.zone_closed = closed;
            it.config_revision.0 += 1;
            it.freshness = Duration::from_secs(if closed { 60 } else { 0 });
        });
        let kind = if closed {
            ErrorKind::Closed
        } else {
            ErrorKind::Unavailable
        };
        setup.wait_gate_refuses(kind).await;
        let released = setup.release(&key, EPOCH).await;
        assert_refused(released, kind, Verdict::NotRun);
        assert!(setup.executor.task_starts().is_empty());
    }
}

/// Guards against a decider's orders in a heartbeat response that are not executed, and against
/// executing those of an entry that does not decide the zone.
#[tokio::test(flavor = "multi_thread")]
async fn the_deciders_response_stops_a_member() {
    let setup = TestSetup::start().await;
    let key = member("ladder-1", 1, 0);
    setup
        .hold(hold_order(&key, 1, LONG_WORK))
        .await
        .expect("held");
    setup.release(&key, EPOCH).await.expect("released");
    let stop = |mode| StopOrder {
        member: key.clone(),
        mode,
    };
    setup
        .decider
        .stop(stop(StopMode::Throttle).into(), EPOCH)
        .await
        .expect("throttled");
    setup.entry.change_response(|it| {
        it.decider_epoch = Some(Epoch(EPOCH - 1));
        it.stop.push(stop(StopMode::Stop));
    });
    setup.entry.wait_heartbeats(4).await;
    assert_eq!(setup.entry.phase(&key), Some(MemberPhase::Running));
    setup
        .entry
        .change_response(|it| it.decider_epoch = Some(Epoch(EPOCH)));
    setup.entry.wait_phase(&key, &STOPPED).await;
}

/// Guards against a restart or a planned shutdown of an agent that ends a running gang, loses an
/// output, or allows a hold of the previous agent to be released.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_agent_adopts_what_the_executor_runs() {
    let setup = TestSetup::start().await;
    let keys = [1, 2, 3].map(|n| member(&format!("ladder-{n}"), 1, 0));
    let [running, done, held] = &keys;
    setup
        .hold(hold_order(running, 1, LONG_WORK))
        .await
        .expect("held");
    setup.hold(hold_order(done, 2, "")).await.expect("held");
    setup
        .hold(hold_order(held, 4, LONG_WORK))
        .await
        .expect("held");
    setup.release(running, EPOCH).await.expect("released");
    setup.release(done, EPOCH).await.expect("released");
    setup.entry.wait_phase(done, &SUCCEEDED).await;

    setup.agent.drain().finish().await;
    setup.entry.change_response(|it| it.decider_epoch = None);
    setup.entry.clear_last_heartbeat();
    let entry = setup.entry_server.address();
    let _agent = start_agent(setup.executor.address(), entry).await;
    let first = eventually("a heartbeat", async || setup.entry.last_heartbeat()).await;
    assert_eq!(
        first.members.len(),
        3,
        "the first heartbeat reports all members"
    );
    assert_eq!(
        first.epoch,
        Epoch(EPOCH),
        "the epoch is known from the tasks"
    );
    let decider = setup.entry.connect_decider().await;
    setup.entry.wait_phase(held, &LAPSED).await;
    let released = decider.release(held.clone().into(), EPOCH).await;
    assert!(
        released.is_err(),
        "a hold of the previous agent was released"
    );
    assert_eq!(setup.entry.phase(running), Some(MemberPhase::Running));
    assert_eq!(setup.entry.phase(done), Some(SUCCEEDED));
    let collected = decider.collect(done.clone().into()).await;
    collected.expect("the output outlives the agent");

    let stop = StopOrder {
        member: running.clone(),
        mode: StopMode::Stop,
    };
    decider.stop(stop.into(), EPOCH).await.expect("stopped");
    setup.entry.wait_phase(running, &STOPPED).await;
    assert_eq!(setup.executor.task_starts().len(), 2, "a task ran twice");
}

/// Guards against failures that are reported without their message, and against a worker that stays
/// unusable after its executor has recovered.
#[tokio::test(flavor = "multi_thread")]
async fn failures_of_an_executor_are_reported() {
    let setup = TestSetup::start().await;
    setup.executor.set_fail_all(true);
    let failing = member("ladder-1", 1, 0);
    setup
        .hold(hold_order(&failing, 0xff, ""))
        .await
        .expect("held");
    setup.release(&failing, EPOCH).await.expect("released");
    let failed = MemberPhase::Ended(MemberOutcome::Failed("the work failed".into()));
    setup.entry.wait_phase(&failing, &failed).await;
    let error = setup.decider.collect(failing.clone().into()).await;
    let error = request_error(&error.expect_err("a failed member has no output"));
    assert_eq!(
        (error.kind, error.verdict),
        (ErrorKind::Failed, Verdict::Ran)
    );

    setup.executor.set_fail_all(false);
    let next = member("ladder-2", 1, 0);
    setup.hold(hold_order(&next, 0xff, "")).await.expect("held");
    setup.release(&next, EPOCH).await.expect("released");
    setup.entry.wait_phase(&next, &SUCCEEDED).await;
}

/// Guards against a release that is reported as "not run" while a slow executor starts the task,
/// and against leaving such a task running.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_whose_start_was_not_answered_is_ended() {
    let setup = TestSetup::start().await;
    let key = member("ladder-1", 1, 0);
    setup
        .hold(hold_order(&key, 1, LONG_WORK))
        .await
        .expect("held");
    setup.executor.set_task_delay(Duration::from_millis(2500));
    let released = setup.release(&key, EPOCH).await;
    assert_refused(released, ErrorKind::Unavailable, Verdict::MayHaveRun);
    setup.executor.set_task_delay(Duration::ZERO);
    setup.entry.wait_phase(&key, &STOPPED).await;
    let late = setup.executor.task_starts();
    assert!(late.len() <= 1, "the task ran twice: {late:?}");
}
