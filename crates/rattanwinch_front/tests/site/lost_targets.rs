use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;
use crate::harness::Worker;

/// Silence of a target after which its leases have expired, with leases of 6 s.
const TARGET_SILENCE_TIMEOUT: Duration = Duration::from_millis(16_120);

/// Time from the last answer of an executor to the end of the work that was moved: renewals for 2.5 s,
/// a lease of 6 s on a slow clock, two polls and reports, and the work itself.
const GONE_EXECUTOR_TIMEOUT: Duration = Duration::from_millis(14_000);

/// Time from the confirmation of a closed zone to the last start there.
const EVACUATION_TIME: Duration = Duration::from_secs(5);

/// Interval at which the silence of targets is recorded in the store.
const SILENCE_RECORD_INTERVAL: Duration = Duration::from_secs(4);

/// After a power cut, executors restart under other ids. Guards against replaced executors that
/// aren't recognised by their VM: their work waited 16 s for leases that had ended long before.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_replaced_executor_starts_again_at_once() {
    let mut site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000a1", 1_500, 2)
        .await;
    site.wait_for(0, "00000000000000a1", "running", Duration::from_secs(10))
        .await;
    let leader_index = site.leader_index();
    let front = site.fronts.remove(leader_index);
    let stopping = tokio::spawn(front.stop());
    site.replace_executor(0).await;
    let took = site
        .wait_for(0, "00000000000000a1", "completed", Duration::from_secs(10))
        .await;
    assert!(took < Duration::from_secs(6), "completed after {took:?}");
    stopping.await.expect("the front stops");
}

/// Guards against a departure announcement that arrives after its sender has crashed and started
/// again under its id: the tasks of the new instance were started elsewhere while it ran them.
#[tokio::test(flavor = "multi_thread")]
async fn a_departure_of_a_former_instance_is_ignored() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000b8", 10, 1)
        .await;
    site.wait_for(0, "00000000000000b8", "completed", Duration::from_secs(10))
        .await;
    let worker = &site.workers[0];
    let former = worker.executor.started_at_ms();
    worker.executor.restart();
    // Until the agent has met the new instance.
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.submit_until_accepted(0, "00000000000000b9", 1_500, 16)
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    worker.announce_departure(former).await;
    site.wait_for(0, "00000000000000b9", "completed", Duration::from_secs(10))
        .await;
    site.assert_no_task_ran_twice("00000000000000b9");
    assert_eq!(site.runs("00000000000000b9").len(), 16, "a task ran again");
}

/// Guards against an executor that is gone for good beside a live agent: its jobs hung for as long as the agent went on to report the last lists.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_an_executor_that_never_answers_again_starts_elsewhere() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000d8", 1_500, 8)
        .await;
    site.wait_for(0, "00000000000000d8", "running", Duration::from_secs(10))
        .await;
    site.workers[0].executor.shut_down();
    let took = site
        .wait_for(0, "00000000000000d8", "completed", Duration::from_secs(30))
        .await;
    assert!(took < GONE_EXECUTOR_TIMEOUT, "completed after {took:?}");
    site.assert_no_task_ran_twice("00000000000000d8");
}

/// A draining target must get no new runs once its agent has received the heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_target_gets_nothing_new() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000b0", 10, 1)
        .await;
    site.workers[0].executor.drain();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let before = site.workers[0].executor.runs().len();
    site.submit_until_accepted(0, "00000000000000b1", 50, 8)
        .await;
    site.wait_for(0, "00000000000000b1", "completed", Duration::from_secs(10))
        .await;
    assert_eq!(site.workers[0].executor.runs().len(), before);
}

/// No task may start in an availability zone that operators have closed.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_a_closed_zone() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000c0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000c0", "completed", Duration::from_secs(10))
        .await;
    site.store.put("op/evacuate/az-1", &serde_json::json!({}));
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.submit_until_accepted(1, "00000000000000c1", 10, 1)
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(site.started("00000000000000c1").is_empty());
    site.store.delete("op/evacuate/az-1");
    site.wait_for(0, "00000000000000c1", "completed", Duration::from_secs(10))
        .await;
}

/// Guards against a start that is repeated until its target answers: operators had closed the
/// target's zone seconds before.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_waits_for_its_target_is_withdrawn_from_a_closed_zone() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000c8", 10, 1)
        .await;
    site.wait_for(0, "00000000000000c8", "completed", Duration::from_secs(10))
        .await;
    let executor = &site.workers[0].executor;
    executor.set_partitioned(true);
    assert_eq!(site.submit(0, "00000000000000c9", 10, 3).await, 200);
    site.store.put("op/evacuate/az-1", &serde_json::json!({}));
    tokio::time::sleep(EVACUATION_TIME).await;
    executor.set_partitioned(false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(site.started("00000000000000c9").is_empty());
    site.store.delete("op/evacuate/az-1");
    site.wait_for(0, "00000000000000c9", "completed", Duration::from_secs(10))
        .await;
}

/// Guards against a scheduler that can't read the store, or can't reach it, and goes on to start
/// tasks: it doesn't learn which zones operators have closed meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_scheduler_that_cannot_read_operators_orders_starts_nothing() {
    for mode in [FaultMode::RefuseReads, FaultMode::Refuse] {
        let site = Site::start(1, 1).await;
        site.submit_until_accepted(0, "00000000000000e8", 10, 1)
            .await;
        site.wait_for(0, "00000000000000e8", "completed", Duration::from_secs(10))
            .await;
        let executor = &site.workers[0].executor;
        executor.set_partitioned(true);
        assert_eq!(site.submit(0, "00000000000000e9", 10, 1).await, 200);
        let store = &site.fronts[0].store_endpoint;
        store.set_mode(mode);
        site.store.put("op/evacuate/az-1", &serde_json::json!({}));
        tokio::time::sleep(EVACUATION_TIME).await;
        executor.set_partitioned(false);
        tokio::time::sleep(Duration::from_secs(3)).await;
        assert!(site.started("00000000000000e9").is_empty(), "{mode:?}");
        site.store.delete("op/evacuate/az-1");
        store.set_mode(FaultMode::Serve);
        site.wait_for(0, "00000000000000e9", "completed", Duration::from_secs(10))
            .await;
    }
}

/// Guards against a wait for a lost target's leases that restarted with each change of leader,
/// which delayed its work for as long as the leader kept changing.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_scheduler_does_not_prolong_the_wait_for_a_lost_target() {
    let mut site = Site::start(2, 2).await;
    let id = "00000000000000d0";
    let work = Duration::from_secs(2);
    site.submit_until_accepted(0, id, 2_000, 1).await;
    let runs_job = |worker: &Worker| {
        let runs = worker.executor.runs();
        runs.iter().any(|run| run.task.starts_with(id))
    };
    let poll_started_at = Instant::now();
    let lost = loop {
        if let Some(worker) = site.workers.iter().position(runs_job) {
            break worker;
        }
        assert!(poll_started_at.elapsed() < work, "the task was not started");
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    site.lose_worker(lost).await;
    let lost_at = Instant::now();
    tokio::time::sleep(TARGET_SILENCE_TIMEOUT * 3 / 5).await;
    let front = site.fronts.remove(site.leader_index());
    front.stop().await;
    site.wait_for(0, id, "completed", Duration::from_secs(40))
        .await;
    let took = lost_at.elapsed();
    site.assert_no_task_ran_twice(id);
    // The change of leader may take a second, and the report of the start another.
    let bound = TARGET_SILENCE_TIMEOUT + SILENCE_RECORD_INTERVAL + work + Duration::from_secs(2);
    assert!(took < bound, "completed {took:?} after the loss");
}
