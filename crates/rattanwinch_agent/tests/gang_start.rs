//! The agent's side of a gang's start, over real connections.

mod support;

use std::time::Duration;

use rattanwinch_peers::GangRpcClient as _;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberEnd;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::Verdict;
use support::EPOCH;
use support::Rig;
use support::hold_order;
use support::member;

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
    rig.entry
        .wait_phase(&key, |it| *it == MemberPhase::Held)
        .await;
    assert!(rig.executor.task_starts().is_empty(), "a held task runs");

    rig.release(&key, EPOCH).await.expect("released");
    rig.release(&key, EPOCH)
        .await
        .expect("a repeated release changes nothing");
    let succeeded = MemberPhase::Ended(MemberEnd::Succeeded);
    rig.entry.wait_phase(&key, |it| *it == succeeded).await;
    assert_eq!(rig.executor.task_starts(), ["letrafa/ladder-1#1.0"]);

    let wire = rig
        .decider
        .collect(key.clone().into())
        .await
        .expect("collected");
    let answer = Answer::try_from(wire).expect("the output is whole");
    assert_eq!(answer.text().len(), 70_000);
}
