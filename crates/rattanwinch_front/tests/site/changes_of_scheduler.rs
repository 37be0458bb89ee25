use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;

const SOON: Duration = Duration::from_secs(15);

/// Runs go on through a change of scheduler; one that was started again would cut timber twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_scheduler_hands_over_without_a_second_start() {
    let mut site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000a1", 2_500, 6)
        .await;
    site.wait_for(0, "00000000000000a1", "running", SOON).await;
    let scheduling = site.scheduling();
    let stopped = site.fronts.remove(scheduling);
    let stopping = tokio::spawn(stopped.stop());
    site.submit_until_accepted(0, "00000000000000a2", 100, 2)
        .await;
    site.wait_for(0, "00000000000000a2", "completed", SOON)
        .await;
    site.wait_for(0, "00000000000000a1", "completed", SOON)
        .await;
    assert_eq!(site.started("00000000000000a1").len(), 6);
    stopping.await.expect("the front stops");
}

/// A front whose scheduler the store turns away kept its callers waiting instead of following
/// the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_scheduler_that_the_store_turns_away_follows_the_next() {
    for mode in [FaultMode::Refuse, FaultMode::Silent] {
        let site = Site::start(2, 2).await;
        site.submit_until_accepted(0, "00000000000000b1", 3_000, 4)
            .await;
        let first = site.scheduling();
        site.fronts[first].door.set_mode(mode);
        let cut_at = Instant::now();
        site.submit_until_accepted(1 - first, "00000000000000b2", 100, 2)
            .await;
        site.submit_until_accepted(first, "00000000000000b3", 100, 2)
            .await;
        assert!(
            cut_at.elapsed() < Duration::from_secs(5),
            "{mode:?}: served after {:?}",
            cut_at.elapsed()
        );
        assert_ne!(site.scheduling(), first);
        for id in ["00000000000000b1", "00000000000000b2", "00000000000000b3"] {
            site.wait_for(first, id, "completed", SOON).await;
        }
        assert_eq!(site.started("00000000000000b1").len(), 4);
    }
}

/// While answers to writes are lost nobody knows what was written; each job still counts once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_lose_and_double_nothing() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000c0", 10, 1)
        .await;
    for front in &site.fronts {
        front.door.set_mode(FaultMode::LoseAnswers);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for front in &site.fronts {
        front.door.set_mode(FaultMode::Serve);
    }
    for id in ["00000000000000c1", "00000000000000c2"] {
        site.submit_until_accepted(1, id, 100, 3).await;
    }
    for id in ["00000000000000c1", "00000000000000c2"] {
        site.wait_for(0, id, "completed", SOON).await;
        assert_eq!(site.started(id).len(), 3);
    }
}

/// During an outage of the store nothing can be accepted, but what runs goes on.
#[tokio::test(flavor = "multi_thread")]
async fn work_goes_on_while_the_store_is_down() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000d1", 3_000, 4)
        .await;
    site.wait_for(0, "00000000000000d1", "running", SOON).await;
    let doors = || {
        let fronts = site.fronts.iter().map(|front| &front.door);
        fronts.chain(site.workers.iter().map(|worker| &worker.door))
    };
    doors().for_each(|door| door.set_mode(FaultMode::Refuse));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(site.submit(0, "00000000000000d2", 10, 1).await, 503);
    doors().for_each(|door| door.set_mode(FaultMode::Serve));
    site.wait_for(0, "00000000000000d1", "completed", SOON)
        .await;
    assert_eq!(site.started("00000000000000d1").len(), 4);
    assert!(site.started("00000000000000d2").is_empty());
}
