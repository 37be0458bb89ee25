//! The agent's side of a gang's start, over real connections.

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
use crate::support::Rig;
use crate::support::eventually;
use crate::support::hold_order;
use crate::support::member;
use crate::support::start_agent;

const SUCCEEDED: MemberPhase = MemberPhase::Ended(MemberOutcome::Succeeded);
const STOPPED: MemberPhase = MemberPhase::Ended(MemberOutcome::Stopped);
const LAPSED: MemberPhase = MemberPhase::Ended(MemberOutcome::Lapsed);

/// Work that outlasts every test.
const LONG: &str = "work_ms=600000";

fn assert_refused(result: Result<(), RequestError>, kind: ErrorKind, verdict: Verdict) {
    let error = result.expect_err("it has to be refused");
    assert_eq!((error.kind, error.verdict), (kind, verdict), "{error}");
}

/// Guards against a member that doesn't start, isn't reported, or whose output is lost or cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_is_held_released_reported_and_collected() {
    let rig = Rig::start().await;
    let key = member("ladder-1", 1, 0);
    let order = hold_order(&key, 0b1111, "work_ms=100 answer_bytes=70000");
    rig.hold(order.clone()).await.expect("held");
    rig.hold(order)
        .await
        .expect("a repeated hold is answered as the first");
    rig.entry.wait_phase(&key, &MemberPhase::Held).await;
    assert!(rig.executor.task_starts().is_empty(), "a held task runs");

    rig.release(&key, EPOCH).await.expect("released");
    rig.release(&key, EPOCH)
        .await
        .expect("a repeated release changes nothing");
    rig.entry.wait_phase(&key, &SUCCEEDED).await;
    assert_eq!(rig.executor.task_starts(), ["letrafa/ladder-1#1.0"]);

    let wire = rig.decider.collect(key.clone().into()).await;
    let answer = Answer::try_from(wire.expect("collected")).expect("the output is whole");
    assert_eq!(answer.text().len(), 70_000);

    rig.entry.respond(|it| it.forget.push(key.clone()));
    rig.entry.wait_unreported(&key).await;
    let error = rig.decider.collect(key.clone().into()).await;
    let error = request_error(&error.expect_err("it was forgotten"));
    assert_eq!(error.kind, ErrorKind::NotFound);
    let late = hold_order(&key, 0b1111, LONG);
    assert_refused(rig.hold(late).await, ErrorKind::Cancelled, Verdict::Ran);
}

/// Guards against a start after the hold, and against accelerators that stay taken by it.
#[tokio::test(flavor = "multi_thread")]
async fn an_expired_hold_is_not_released() {
    let rig = Rig::start().await;
    let key = member("ladder-1", 1, 0);
    let mut order = hold_order(&key, 0xff, LONG);
    order.hold_for = Duration::from_millis(300);
    rig.hold(order).await.expect("held");
    rig.entry.wait_phase(&key, &LAPSED).await;
    let released = rig.release(&key, EPOCH).await;
    assert_refused(released, ErrorKind::Cancelled, Verdict::NotRun);

    let next = hold_order(&member("ladder-2", 1, 0), 0xff, LONG);
    eventually("free accelerators", async || {
        rig.hold(next.clone()).await.ok()
    })
    .await;
    assert!(rig.executor.task_starts().is_empty(), "an expired hold ran");
}

/// Guards against a start by a decider that was replaced, and against an epoch that goes back.
#[tokio::test(flavor = "multi_thread")]
async fn a_fenced_decider_starts_nothing() {
    let rig = Rig::start().await;
    let key = member("ladder-1", 1, 0);
    rig.hold(hold_order(&key, 1, LONG)).await.expect("held");
    let reports = rig.decider.adopt(EPOCH + 1).await.expect("adopted");
    assert_eq!(reports.len(), 1, "the new decider learns of the member");

    let fenced = rig.release(&key, EPOCH).await;
    assert_refused(fenced, ErrorKind::Fenced, Verdict::NotRun);
    let other = hold_order(&member("ladder-2", 1, 0), 2, LONG);
    assert_refused(rig.hold(other).await, ErrorKind::Fenced, Verdict::NotRun);
    let aborted = rig.abort(&key, EPOCH).await;
    assert_refused(aborted, ErrorKind::Fenced, Verdict::NotRun);
    assert!(rig.decider.adopt(EPOCH).await.is_err());
    assert!(rig.executor.task_starts().is_empty());

    rig.release(&key, EPOCH + 1)
        .await
        .expect("the new decider goes on");
    let fenced = rig.release(&key, EPOCH).await;
    assert_refused(fenced, ErrorKind::Fenced, Verdict::Ran);
}

/// Guards against a gang that runs in part because a hold arrives after its abort.
#[tokio::test(flavor = "multi_thread")]
async fn a_hold_that_comes_after_its_abort_is_refused() {
    let rig = Rig::start().await;
    let late = member("ladder-1", 1, 0);
    rig.abort(&late, EPOCH).await.expect("recorded");
    let held = rig.hold(hold_order(&late, 1, LONG)).await;
    assert_refused(held, ErrorKind::Cancelled, Verdict::NotRun);

    let running = member("ladder-2", 1, 0);
    rig.hold(hold_order(&running, 2, LONG)).await.expect("held");
    rig.release(&running, EPOCH).await.expect("released");
    rig.abort(&running, EPOCH).await.expect("aborted");
    rig.entry.wait_phase(&running, &STOPPED).await;
    let again = rig.release(&running, EPOCH).await;
    assert_refused(again, ErrorKind::Cancelled, Verdict::Ran);
    assert_eq!(rig.executor.task_starts(), ["letrafa/ladder-2#1.0"]);
}

/// Guards against a start in a closed zone, and on a view of closed zones that is out of date.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_a_closed_zone_or_without_a_fresh_view() {
    for closed in [true, false] {
        let rig = Rig::start_with(Duration::from_secs(1), start_agent).await;
        let key = member("ladder-1", 1, 0);
        rig.hold(hold_order(&key, 1, LONG)).await.expect("held");
        rig.entry.respond(|it| {
            it.zone_closed = closed;
            it.config_revision.0 += 1;
            it.freshness = Duration::from_secs(if closed { 60 } else { 0 });
        });
        let kind = if closed {
            ErrorKind::Closed
        } else {
            ErrorKind::Unavailable
        };
        rig.gate_closed(kind).await;
        let released = rig.release(&key, EPOCH).await;
        assert_refused(released, kind, Verdict::NotRun);
        assert!(rig.executor.task_starts().is_empty());
    }
}

/// Guards against a decider's orders in a heartbeat's response that aren't carried out, and
/// against those of an entry that doesn't decide.
#[tokio::test(flavor = "multi_thread")]
async fn the_deciders_response_stops_a_member() {
    let rig = Rig::start().await;
    let key = member("ladder-1", 1, 0);
    rig.hold(hold_order(&key, 1, LONG)).await.expect("held");
    rig.release(&key, EPOCH).await.expect("released");
    let stop = |mode| StopOrder {
        member: key.clone(),
        mode,
    };
    rig.decider
        .stop(stop(StopMode::Throttle).into(), EPOCH)
        .await
        .expect("throttled");
    rig.entry.respond(|it| {
        it.decider_epoch = Some(Epoch(EPOCH - 1));
        it.stop.push(stop(StopMode::Stop));
    });
    rig.entry.heartbeats(4).await;
    assert_eq!(rig.entry.phase(&key), Some(MemberPhase::Running));
    rig.entry
        .respond(|it| it.decider_epoch = Some(Epoch(EPOCH)));
    rig.entry.wait_phase(&key, &STOPPED).await;
}

/// Guards against a restart or a planned stop of an agent that ends a running gang, loses an
/// output, or lets a hold of the agent before be released.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_agent_adopts_what_the_executor_runs() {
    let rig = Rig::start().await;
    let keys = [1, 2, 3].map(|n| member(&format!("ladder-{n}"), 1, 0));
    let [running, done, held] = &keys;
    rig.hold(hold_order(running, 1, LONG)).await.expect("held");
    rig.hold(hold_order(done, 2, "")).await.expect("held");
    rig.hold(hold_order(held, 4, LONG)).await.expect("held");
    rig.release(running, EPOCH).await.expect("released");
    rig.release(done, EPOCH).await.expect("released");
    rig.entry.wait_phase(done, &SUCCEEDED).await;

    rig.agent.drain().finish().await;
    rig.entry.respond(|it| it.decider_epoch = None);
    rig.entry.forget_last();
    let entry = rig.entry_server.address();
    let _agent = start_agent(rig.executor.address(), entry).await;
    let first = eventually("a heartbeat", async || rig.entry.last()).await;
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
    let decider = rig.entry.connect_decider().await;
    rig.entry.wait_phase(held, &LAPSED).await;
    let released = decider.release(held.clone().into(), EPOCH).await;
    assert!(released.is_err(), "a hold of the agent before was released");
    assert_eq!(rig.entry.phase(running), Some(MemberPhase::Running));
    assert_eq!(rig.entry.phase(done), Some(SUCCEEDED));
    let collected = decider.collect(done.clone().into()).await;
    collected.expect("the output outlives the agent");

    let stop = StopOrder {
        member: running.clone(),
        mode: StopMode::Stop,
    };
    decider.stop(stop.into(), EPOCH).await.expect("stopped");
    rig.entry.wait_phase(running, &STOPPED).await;
    assert_eq!(rig.executor.task_starts().len(), 2, "something ran twice");
}

/// Guards against failures that aren't reported with their text, and against a worker that can't
/// be used again once it works.
#[tokio::test(flavor = "multi_thread")]
async fn failures_of_an_executor_are_reported() {
    let rig = Rig::start().await;
    rig.executor.set_fail_all(true);
    let failing = member("ladder-1", 1, 0);
    rig.hold(hold_order(&failing, 0xff, ""))
        .await
        .expect("held");
    rig.release(&failing, EPOCH).await.expect("released");
    let failed = MemberPhase::Ended(MemberOutcome::Failed("the work failed".into()));
    rig.entry.wait_phase(&failing, &failed).await;
    let error = rig.decider.collect(failing.clone().into()).await;
    let error = request_error(&error.expect_err("it has no output"));
    assert_eq!(
        (error.kind, error.verdict),
        (ErrorKind::Failed, Verdict::Ran)
    );

    rig.executor.set_fail_all(false);
    let next = member("ladder-2", 1, 0);
    rig.hold(hold_order(&next, 0xff, "")).await.expect("held");
    rig.release(&next, EPOCH).await.expect("released");
    rig.entry.wait_phase(&next, &SUCCEEDED).await;
}

/// Guards against a release that is reported as "not run" while a slow executor starts the task,
/// and against such a task that is left running.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_whose_start_was_not_answered_is_ended() {
    let rig = Rig::start().await;
    let key = member("ladder-1", 1, 0);
    rig.hold(hold_order(&key, 1, LONG)).await.expect("held");
    rig.executor.set_task_delay(Duration::from_millis(2500));
    let released = rig.release(&key, EPOCH).await;
    assert_refused(released, ErrorKind::Unavailable, Verdict::MayHaveRun);
    rig.executor.set_task_delay(Duration::ZERO);
    rig.entry.wait_phase(&key, &STOPPED).await;
    let late = rig.executor.task_starts();
    assert!(late.len() <= 1, "it ran twice: {late:?}");
}
