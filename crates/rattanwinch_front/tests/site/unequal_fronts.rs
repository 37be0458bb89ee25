//! Sites whose fronts have different shares of a core.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;

use crate::harness::Site;
use crate::harness::SiteOptions;

const JOB_TIMEOUT: Duration = Duration::from_secs(15);

/// Within this time a larger front takes over: a check a second, and an election.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

async fn wait_for_leader(site: &Site, expected: impl Fn(usize) -> bool) -> usize {
    let poll_started = Instant::now();
    loop {
        if site.store.value("rattanwinch/leader").is_some() && expected(site.leader_index()) {
            return site.leader_index();
        }
        assert!(
            poll_started.elapsed() < HANDOVER_TIMEOUT,
            "no such leader in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn start_unequal_site() -> Site {
    Site::start_with(SiteOptions {
        fronts: 3,
        workers: 2,
        small_fronts: 2,
        ..SiteOptions::default()
    })
    .await
}

/// Guards against a front with little processor time that keeps scheduling: it renews its lease late
/// under load, and leadership went through several such fronts within seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_front_hands_over_to_a_larger_one() {
    let site = start_unequal_site().await;
    site.submit_until_accepted(0, "00000000000000e1", 3_000, 4)
        .await;
    wait_for_leader(&site, |leader| leader == 2).await;
    site.submit_until_accepted(0, "00000000000000e2", 10, 1)
        .await;
    for id in ["00000000000000e1", "00000000000000e2"] {
        site.wait_for(0, id, "completed", JOB_TIMEOUT).await;
    }
    assert_eq!(site.started("00000000000000e1").len(), 4);
}

/// Guards against small fronts that hand over, one after the other, to a larger one that the store
/// rejects or doesn't answer, also right after the larger one has lost its leadership by that.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_front_keeps_leading_while_the_larger_one_cannot() {
    for mode in [FaultMode::Refuse, FaultMode::Silent] {
        let site = start_unequal_site().await;
        assert_small_front_keeps_leading(&site, mode).await;
    }
}

async fn assert_small_front_keeps_leading(site: &Site, mode: FaultMode) {
    wait_for_leader(site, |leader| leader == 2).await;
    site.fronts[2].store_endpoint.set_mode(mode);
    let small = wait_for_leader(site, |leader| leader != 2).await;
    let kept_until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < kept_until {
        assert_eq!(site.leader_index(), small, "leadership changed again");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.submit_until_accepted(2, "00000000000000f1", 10, 1)
        .await;
    site.wait_for(2, "00000000000000f1", "completed", JOB_TIMEOUT)
        .await;
    site.fronts[2].store_endpoint.set_mode(FaultMode::Serve);
    wait_for_leader(site, |leader| leader == 2).await;
}
