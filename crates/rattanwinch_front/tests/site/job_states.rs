//! States of jobs, and counts of waiting ones, as callers get them.

use std::time::Duration;

use reqwest::Method;
use serde_json::json;

use crate::harness::Site;

const JOB_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which a scheduler makes first starts durable.
const PROGRESS_WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Guards against jobs that nobody counts as waiting though none of their tasks has started: they
/// were placed on a target that had fallen silent just before.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_on_a_silent_target_is_pending() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000a0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000a0", "completed", JOB_TIMEOUT)
        .await;
    let executor = &site.workers[0].executor;
    executor.set_partitioned(true);
    for id in ["00000000000000a1", "00000000000000a2"] {
        assert_eq!(site.submit(0, id, 10, 1).await, 200);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for front in 0..2 {
        let (status, body) = site.call(front, Method::GET, "/checks/", None).await;
        assert_eq!((status, body), (200, json!({ "pending": 2 })));
        assert_eq!(site.state(front, "00000000000000a1").await, "queued");
    }
    executor.set_partitioned(false);
    for id in ["00000000000000a1", "00000000000000a2"] {
        site.wait_for(0, id, "completed", JOB_TIMEOUT).await;
    }
    let (_, body) = site.call(1, Method::GET, "/checks/", None).await;
    assert_eq!(body, json!({ "pending": 0 }));
}

/// Guards against a running job that is shown as queued after a change of scheduler, if its target
/// is lost as well and can't tell that the job has started.
#[tokio::test(flavor = "multi_thread")]
async fn a_running_job_is_not_shown_as_queued_by_the_next_scheduler() {
    let mut site = Site::start(2, 1).await;
    let id = "00000000000000b1";
    site.submit_until_accepted(0, id, 60_000, 1).await;
    site.wait_for(0, id, "running", JOB_TIMEOUT).await;
    tokio::time::sleep(PROGRESS_WRITE_INTERVAL + Duration::from_millis(500)).await;
    site.lose_worker(0).await;
    let front = site.fronts.remove(site.leader_index());
    front.stop().await;
    site.wait_for(0, id, "running", JOB_TIMEOUT).await;
    let (_, body) = site.call(0, Method::GET, "/checks/", None).await;
    assert_eq!(body, json!({ "pending": 0 }));
}
