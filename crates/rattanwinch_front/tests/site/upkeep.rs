use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::harness::Site;
use crate::harness::SiteOptions;

const SOON: Duration = Duration::from_secs(20);

async fn site(fronts: u8) -> Site {
    Site::start_with(SiteOptions {
        fronts,
        workers: 3,
        maintenance: Some(Duration::from_millis(600)),
        ..SiteOptions::default()
    })
    .await
}

fn order_wave(site: &Site, deadline_s: u64) {
    let machines = ["m0", "m1", "m2"];
    let keeper = site.machines.as_ref().expect("a service");
    keeper.set_wave(7, &machines);
    let wave = json!({ "wave": 7, "machines": machines, "deadline_s": deadline_s, "max_count": 1 });
    site.store.put("op/wave/7", &wave);
}

fn wave_state(site: &Site) -> Option<String> {
    let status = site.store.value("status/wave/7")?;
    let status: Value = serde_json::from_slice(&status).expect("JSON");
    status["state"].as_str().map(str::to_owned)
}

async fn wait_completed(site: &Site, limit: Duration) {
    let asked = Instant::now();
    while wave_state(site).as_deref() != Some("completed") {
        assert!(
            asked.elapsed() < limit,
            "the wave is {:?}",
            wave_state(site)
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// An upkeep that ends running work throws it away, and two machines down at once are one too
/// many.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_takes_one_idle_machine_after_the_other() {
    let site = site(1).await;
    site.submit_until_accepted(0, "00000000000000a1", 2_000, 4)
        .await;
    site.wait_for(0, "00000000000000a1", "running", SOON).await;
    let keeper = site.machines.as_ref().expect("a service");
    keeper.delay_orders(1, Duration::from_millis(2_200));
    order_wave(&site, 60);
    wait_completed(&site, SOON).await;
    assert_eq!(keeper.begun(7), ["m0", "m1", "m2"]);
    assert_eq!(keeper.max_down(), 1);
    assert_eq!(keeper.ended_runs(), 0);
    site.wait_for(0, "00000000000000a1", "completed", SOON)
        .await;
    site.assert_nothing_runs_twice("00000000000000a1");
}

/// Long work must not hold up a wave beyond its time.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_is_in_time_although_all_machines_are_busy() {
    let site = site(1).await;
    site.submit_until_accepted(0, "00000000000000b1", 60_000, 24)
        .await;
    site.wait_for(0, "00000000000000b1", "running", SOON).await;
    order_wave(&site, 15);
    wait_completed(&site, Duration::from_secs(18)).await;
    let keeper = site.machines.as_ref().expect("a service");
    assert_eq!(keeper.begun(7), ["m0", "m1", "m2"]);
    assert_eq!(keeper.max_down(), 1);
    site.assert_nothing_runs_twice("00000000000000b1");
}

/// A successor that begins a wave anew would take a second machine down beside the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_goes_on_under_another_scheduler() {
    let mut site = site(2).await;
    site.submit_until_accepted(0, "00000000000000c1", 10, 1)
        .await;
    order_wave(&site, 60);
    let asked = Instant::now();
    while site
        .machines
        .as_ref()
        .is_none_or(|keeper| keeper.begun(7).is_empty())
    {
        assert!(asked.elapsed() < SOON, "no upkeep has begun");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let scheduling = site.scheduling();
    let stopped = site.fronts.remove(scheduling);
    let stopping = tokio::spawn(stopped.stop());
    wait_completed(&site, SOON).await;
    let keeper = site.machines.as_ref().expect("a service");
    assert_eq!(keeper.begun(7), ["m0", "m1", "m2"]);
    assert_eq!(keeper.max_down(), 1);
    stopping.await.expect("the front stops");
}
