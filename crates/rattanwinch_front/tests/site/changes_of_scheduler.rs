use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;

const JOB_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs have to continue through a change of leader; starting a run again would repeat its effects,
/// such as cutting timber.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_scheduler_hands_over_without_a_second_start() {
    let mut site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000a1", 2_500, 6)
        .await;
    site.wait_for(0, "00000000000000a1", "running", JOB_TIMEOUT)
        .await;
    let leader_index = site.leader_index();
    let stopped = site.fronts.remove(leader_index);
    let stopping = tokio::spawn(stopped.stop());
    site.submit_until_accepted(0, "00000000000000a2", 100, 2)
        .await;
    site.wait_for(0, "00000000000000a2", "completed", JOB_TIMEOUT)
        .await;
    site.wait_for(0, "00000000000000a1", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.started("00000000000000a1").len(), 6);
    stopping.await.expect("the front stops");
}

/// Guards against a former leader without access to the store that kept its callers waiting instead
/// of forwarding their calls to the new leader.
#[tokio::test(flavor = "multi_thread")]
async fn a_scheduler_rejected_by_the_store_follows_the_next() {
    for mode in [FaultMode::Refuse, FaultMode::Silent] {
        let site = Site::start(2, 2).await;
        site.submit_until_accepted(0, "00000000000000b1", 3_000, 4)
            .await;
        let first = site.leader_index();
        site.fronts[first].store_endpoint.set_mode(mode);
        let fault_set_at = Instant::now();
        site.submit_until_accepted(1 - first, "00000000000000b2", 100, 2)
            .await;
        site.submit_until_accepted(first, "00000000000000b3", 100, 2)
            .await;
        assert!(
            fault_set_at.elapsed() < Duration::from_secs(5),
            "{mode:?}: served after {:?}",
            fault_set_at.elapsed()
        );
        assert_ne!(site.leader_index(), first);
        for id in ["00000000000000b1", "00000000000000b2", "00000000000000b3"] {
            site.wait_for(first, id, "completed", JOB_TIMEOUT).await;
        }
        assert_eq!(site.started("00000000000000b1").len(), 4);
    }
}

/// While answers to writes are lost, it is unknown what was written; each job must still run
/// exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answers_neither_lose_nor_duplicate_jobs() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000c0", 10, 1)
        .await;
    for front in &site.fronts {
        front.store_endpoint.set_mode(FaultMode::LoseAnswers);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for front in &site.fronts {
        front.store_endpoint.set_mode(FaultMode::Serve);
    }
    for id in ["00000000000000c1", "00000000000000c2"] {
        site.submit_until_accepted(1, id, 100, 3).await;
    }
    for id in ["00000000000000c1", "00000000000000c2"] {
        site.wait_for(0, id, "completed", JOB_TIMEOUT).await;
        assert_eq!(site.started(id).len(), 3);
    }
}

/// During an outage of the store no job can be accepted, but running tasks continue.
#[tokio::test(flavor = "multi_thread")]
async fn running_work_continues_while_the_store_is_down() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000d1", 3_000, 4)
        .await;
    site.wait_for(0, "00000000000000d1", "running", JOB_TIMEOUT)
        .await;
    let store_endpoints = || {
        let fronts = site.fronts.iter().map(|front| &front.store_endpoint);
        fronts.chain(site.workers.iter().map(|worker| &worker.store_endpoint))
    };
    store_endpoints().for_each(|store_endpoint| store_endpoint.set_mode(FaultMode::Refuse));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(site.submit(0, "00000000000000d2", 10, 1).await, 503);
    store_endpoints().for_each(|store_endpoint| store_endpoint.set_mode(FaultMode::Serve));
    site.wait_for(0, "00000000000000d1", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.started("00000000000000d1").len(), 4);
    assert!(site.started("00000000000000d2").is_empty());
}
