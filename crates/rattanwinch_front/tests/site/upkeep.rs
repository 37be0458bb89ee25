use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::harness::Site;
use crate::harness::SiteOptions;

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

async fn site(fronts: u8) -> Site {
    Site::start_with(SiteOptions {
        fronts,
        workers: 3,
        upkeep_duration: Some(Duration::from_millis(600)),
        ..SiteOptions::default()
    })
    .await
}

fn order_wave(site: &Site, deadline_s: u64) {
    let machines = ["m0", "m1", "m2"];
    let machine_service = site.machines.as_ref().expect("a service");
    machine_service.set_wave(7, &machines);
    let wave = json!({ "wave": 7, "machines": machines, "deadline_s": deadline_s, "max_count": 1 });
    site.store.put("op/wave/7", &wave);
}

fn wave_state(site: &Site) -> Option<String> {
    let status = site.store.value("status/wave/7")?;
    let status: Value = serde_json::from_slice(&status).expect("JSON");
    status["state"].as_str().map(str::to_owned)
}

async fn wait_for_wave(site: &Site, limit: Duration) {
    let poll_started = Instant::now();
    while wave_state(site).as_deref() != Some("completed") {
        assert!(
            poll_started.elapsed() < limit,
            "the wave is {:?}",
            wave_state(site)
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against upkeeps that end running work, and against two machines down at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_takes_one_idle_machine_after_the_other() {
    let site = site(1).await;
    site.submit_until_accepted(0, "00000000000000a1", 2_000, 4)
        .await;
    site.wait_for(0, "00000000000000a1", "running", JOB_TIMEOUT)
        .await;
    let machine_service = site.machines.as_ref().expect("a service");
    machine_service.delay_orders(1, Duration::from_millis(2_200));
    order_wave(&site, 60);
    wait_for_wave(&site, JOB_TIMEOUT).await;
    assert_eq!(machine_service.begun(7), ["m0", "m1", "m2"]);
    assert_eq!(machine_service.max_down(), 1);
    assert_eq!(machine_service.ended_runs(), 0);
    site.wait_for(0, "00000000000000a1", "completed", JOB_TIMEOUT)
        .await;
    site.assert_no_task_ran_twice("00000000000000a1");
}

/// Long-running work must not delay a wave beyond its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_is_in_time_although_all_machines_are_busy() {
    let site = site(1).await;
    site.submit_until_accepted(0, "00000000000000b1", 60_000, 24)
        .await;
    site.wait_for(0, "00000000000000b1", "running", JOB_TIMEOUT)
        .await;
    order_wave(&site, 15);
    wait_for_wave(&site, Duration::from_secs(18)).await;
    let machine_service = site.machines.as_ref().expect("a service");
    assert_eq!(machine_service.begun(7), ["m0", "m1", "m2"]);
    assert_eq!(machine_service.max_down(), 1);
    site.assert_no_task_ran_twice("00000000000000b1");
}

/// A new leader must continue a wave; if it restarted the wave, it would take a second machine
/// down beside the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_goes_on_under_another_scheduler() {
    let mut site = site(2).await;
    site.submit_until_accepted(0, "00000000000000c1", 10, 1)
        .await;
    order_wave(&site, 60);
    let poll_started = Instant::now();
    while site
        .machines
        .as_ref()
        .is_none_or(|machine_service| machine_service.begun(7).is_empty())
    {
        assert!(poll_started.elapsed() < JOB_TIMEOUT, "no upkeep has begun");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let leader_index = site.leader_index();
    let stopped = site.fronts.remove(leader_index);
    let stopping = tokio::spawn(stopped.stop());
    wait_for_wave(&site, JOB_TIMEOUT).await;
    let machine_service = site.machines.as_ref().expect("a service");
    assert_eq!(machine_service.begun(7), ["m0", "m1", "m2"]);
    assert_eq!(machine_service.max_down(), 1);
    stopping.await.expect("the front stops");
}
