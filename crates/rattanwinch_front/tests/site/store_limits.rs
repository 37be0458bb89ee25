use std::time::Duration;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// A store with low rate limits may slow a site down but must not lose its jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_with_low_rates_loses_no_job() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000a0", 10, 1)
        .await;
    site.store.limit_rates(4, 12);
    for number in 1..5 {
        let id = format!("00000000000000a{number}");
        site.submit_until_accepted(number % 2, &id, 100, 4).await;
    }
    for number in 1..5 {
        let id = format!("00000000000000a{number}");
        site.wait_for(0, &id, "completed", JOB_TIMEOUT).await;
        assert_eq!(site.runs(&id).len(), 4);
    }
}

/// A delayed write of a former leader may arrive seconds later and must change nothing.
#[tokio::test(flavor = "multi_thread")]
async fn late_writes_of_a_replaced_scheduler_change_nothing() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000b1", 4_000, 4)
        .await;
    site.wait_for(0, "00000000000000b1", "running", JOB_TIMEOUT)
        .await;
    let first = site.leader_index();
    site.fronts[first]
        .store_endpoint
        .set_mode(FaultMode::LateWrites(Duration::from_secs(3)));
    for number in 2..6 {
        let id = format!("00000000000000b{number}");
        site.submit_until_accepted(1 - first, &id, 200, 3).await;
    }
    for number in 1..6 {
        let id = format!("00000000000000b{number}");
        site.wait_for(1 - first, &id, "completed", JOB_TIMEOUT)
            .await;
    }
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    for number in 1..6 {
        let id = format!("00000000000000b{number}");
        assert_eq!(site.state(1 - first, &id).await, "completed");
        site.assert_no_task_ran_twice(&id);
    }
    assert_ne!(site.leader_index(), first);
}
