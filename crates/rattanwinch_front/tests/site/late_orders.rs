use std::time::Duration;

use crate::harness::Site;

const SOON: Duration = Duration::from_secs(20);

/// An order without an answer may still be carried out. A task that is started elsewhere
/// meanwhile would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_is_carried_out_late_does_not_run_beside_another() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000a0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000a0", "completed", SOON)
        .await;
    for worker in &site.workers {
        // The first attempts, and some of the stops that follow.
        worker.executor.delay_orders(8, Duration::from_secs(2));
    }
    site.submit_until_accepted(0, "00000000000000a1", 600, 6)
        .await;
    site.wait_for(0, "00000000000000a1", "completed", SOON)
        .await;
    // Late copies of the orders arrive up to 2 s after they were sent.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.assert_nothing_runs_twice("00000000000000a1");
}

/// A target that drains takes nothing new, also if the start was sent before and not answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_on_a_draining_target_is_stopped_and_runs_elsewhere() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000b0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000b0", "completed", SOON)
        .await;
    let draining = &site.workers[0];
    draining.executor.delay_orders(3, Duration::from_secs(3));
    site.submit_until_accepted(0, "00000000000000b1", 300, 12)
        .await;
    draining.executor.drain();
    site.wait_for(0, "00000000000000b1", "completed", SOON)
        .await;
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    site.assert_nothing_runs_twice("00000000000000b1");
}

/// A target that refuses starts for a while must not keep its tasks from running elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_go_round_an_unhealthy_target() {
    let site = Site::start(1, 2).await;
    site.workers[0].executor.set_unhealthy(true);
    site.submit_until_accepted(0, "00000000000000c1", 200, 8)
        .await;
    site.wait_for(0, "00000000000000c1", "completed", SOON)
        .await;
    assert!(site.workers[0].executor.runs().is_empty());
    site.assert_nothing_runs_twice("00000000000000c1");
}
