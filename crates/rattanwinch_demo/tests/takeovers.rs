//! Tests that jobs survive the loss of their zone's decider and move out of closed zones.

mod job_calls;

use std::time::Duration;
use std::time::Instant;

use job_calls::READY_BOUND;
use job_calls::get;
use job_calls::job_body;
use job_calls::site;
use job_calls::submit;
use job_calls::wait_until;
use rattanwinch_demo::Site;
use rattanwinch_types::Exception;
use rattanwinch_types::ExceptionEffect;
use rattanwinch_types::ExceptionId;
use rattanwinch_types::FleetConfig;
use rattanwinch_types::Organisation;
use rattanwinch_types::OrganisationConfig;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use serde_json::json;

/// The time limit for urgent work to start, also after the loss of its decider.
const URGENT_BOUND: Duration = Duration::from_millis(2800);

/// Waits until the job runs, and returns the time from `since`; fails after `bound`.
async fn wait_until_running(site: &Site, id: &str, since: Instant, bound: Duration) -> Duration {
    loop {
        let body = get(site, 0, id).await;
        let waited = since.elapsed();
        if body["state"] == json!("running") {
            return waited;
        }
        assert!(waited < bound, "not running after {waited:?}: {body}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the index of the entry that is the decider of a zone.
fn decider_index(site: &Site, zone: &str) -> Option<usize> {
    site.entries.iter().position(|entry| {
        let zones = entry.decided_zones();
        zones.iter().any(|known| known.as_str() == zone)
    })
}

/// Guards against a takeover that is too slow for urgent work, that loses a recorded job, or that
/// ends or repeats a running gang.
#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_job_starts_in_time_after_the_loss_of_its_decider() {
    let mut site = site(3, 1).await;
    let running = job_body("runs-on", 2, "work_ms=4000");
    assert_eq!(submit(&site, 0, &running).await.0, 202);
    wait_until_running(&site, "runs-on", Instant::now(), READY_BOUND).await;
    let decider = decider_index(&site, "az-1").expect("one entry decides");
    let killed_at = Instant::now();
    site.entries.remove(decider).stop_abruptly().await;
    let mut urgent = job_body("urgent", 2, "work_ms=1000");
    urgent["urgency"] = json!("urgent");
    let (status, answer) = submit(&site, 0, &urgent).await;
    assert_eq!(status, 202, "{answer}");
    let elapsed = wait_until_running(&site, "urgent", killed_at, URGENT_BOUND).await;
    println!(
        "ran {} ms after the decider was stopped",
        elapsed.as_millis()
    );
    for id in ["urgent", "runs-on"] {
        let done = get(&site, 1, &format!("{id}?wait_ms=20000")).await;
        assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
        assert_eq!(done["attempt"], json!(1), "{done}");
    }
}

/// Guards against a graceful shutdown that interrupts a job, or a hand-over that waits until the
/// decider is suspected to have failed.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_hands_its_zone_over() {
    let mut site = site(2, 1).await;
    assert_eq!(
        submit(&site, 0, &job_body("goes-on", 2, "work_ms=2000"))
            .await
            .0,
        202
    );
    wait_until_running(&site, "goes-on", Instant::now(), READY_BOUND).await;
    let decider = decider_index(&site, "az-1").expect("one entry decides");
    let draining = site.entries.remove(decider).drain();
    let bound = Duration::from_secs(2);
    let elapsed = wait_until("the other entry decides", bound, || {
        decider_index(&site, "az-1").is_some()
    });
    println!("handed over in {} ms", elapsed.await.as_millis());
    draining.finish().await;
    let done = get(&site, 0, "goes-on?wait_ms=20000").await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
    assert_eq!(done["attempt"], json!(1), "{done}");
}

fn config(closed: &str) -> FleetConfig {
    let zone = |name: &str| ZoneName::new(name).expect("valid");
    let exception = Exception {
        id: ExceptionId::new("maintenance").expect("valid"),
        effect: ExceptionEffect::CloseZone(zone(closed)),
        reason: "power work".into(),
        author: "operator".into(),
        at: Timestamp::ZERO,
    };
    FleetConfig {
        zones: vec![zone("az-1"), zone("az-2")],
        organisations: vec![OrganisationConfig {
            name: Organisation::new("letrafa").expect("valid"),
            quota_accelerators: None,
        }],
        exceptions: vec![exception],
        ..FleetConfig::default()
    }
}

/// Guards against queued jobs of a closed zone that stay queued, are lost, or run there.
#[tokio::test(flavor = "multi_thread")]
async fn queued_jobs_move_out_of_a_closed_zone() {
    let site = site(2, 2).await;
    // Each job fills a zone, so the third one is queued.
    for (id, work) in [("fill-1", 2500), ("fill-2", 2500), ("waits", 100)] {
        let body = job_body(id, 6, &format!("work_ms={work}"));
        let (status, answer) = submit(&site, 0, &body).await;
        assert_eq!(status, 202, "{answer}");
        if id != "waits" {
            wait_until_running(&site, id, Instant::now(), READY_BOUND).await;
        }
    }
    let waits = get(&site, 0, "waits").await;
    assert_eq!(waits["state"], json!("queued"), "{waits}");
    let closed = waits["zone"].as_str().expect("a zone").to_owned();
    site.write_config(&config(&closed)).await.expect("written");
    let done = get(&site, 1, "waits?wait_ms=30000").await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(6), "{done}");
    assert_ne!(done["zone"], json!(closed), "{done}");
}
