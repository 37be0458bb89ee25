use std::time::Duration;

use crate::harness::Site;

/// After a power cut executors come back under other ids. Their VM tells which one is gone;
/// without that, its work waited 16 s for leases that had long ended.
#[tokio::test(flavor = "multi_thread")]
async fn work_of_a_replaced_executor_starts_again_at_once() {
    let mut site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000a1", 1_500, 2)
        .await;
    site.wait_for(0, "00000000000000a1", "running", Duration::from_secs(10))
        .await;
    let scheduling = site.scheduling();
    let front = site.fronts.remove(scheduling);
    let stopping = tokio::spawn(front.stop());
    site.replace_executor(0).await;
    let took = site
        .wait_for(0, "00000000000000a1", "completed", Duration::from_secs(10))
        .await;
    assert!(took < Duration::from_secs(6), "completed after {took:?}");
    stopping.await.expect("the front stops");
}

/// A target that leaves gets nothing new from the moment that its agent knows.
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

/// Nothing starts in an availability zone that operators have closed.
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
