//! Jobs outlive the entry that decides their zone, and leave zones that operators close.

mod job_calls;

use std::time::Duration;
use std::time::Instant;

use job_calls::READY_BOUND;
use job_calls::get;
use job_calls::job;
use job_calls::site;
use job_calls::submit;
use job_calls::until;
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

/// Urgent work starts within this time, also when its decider dies.
const URGENT_BOUND: Duration = Duration::from_millis(2800);

/// Waits until the job runs, at most until `bound` after `since`.
async fn until_running(site: &Site, id: &str, since: Instant, bound: Duration) -> Duration {
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

/// The index of the entry that decides a zone.
fn decider_of(site: &Site, zone: &str) -> Option<usize> {
    site.entries.iter().position(|entry| {
        let zones = entry.decided_zones();
        zones.iter().any(|known| known.as_str() == zone)
    })
}

/// Guards against a takeover that is too slow for urgent work, that loses a recorded job, or that
/// ends or repeats a gang that runs.
#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_job_starts_in_time_when_its_decider_dies() {
    let mut site = site(3, 1).await;
    let running = job("runs-on", 2, "work_ms=4000");
    assert_eq!(submit(&site, 0, &running).await.0, 202);
    until_running(&site, "runs-on", Instant::now(), READY_BOUND).await;
    let dead = decider_of(&site, "az-1").expect("one entry decides");
    let died_at = Instant::now();
    site.entries.remove(dead).stop_abruptly().await;
    let mut urgent = job("urgent", 2, "work_ms=1000");
    urgent["urgency"] = json!("urgent");
    let (status, answer) = submit(&site, 0, &urgent).await;
    assert_eq!(status, 202, "{answer}");
    let took = until_running(&site, "urgent", died_at, URGENT_BOUND).await;
    println!("ran {} ms after the decider was stopped", took.as_millis());
    for id in ["urgent", "runs-on"] {
        let done = get(&site, 1, &format!("{id}?wait_ms=20000")).await;
        assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
        assert_eq!(done["attempt"], json!(1), "{done}");
    }
}

/// Guards against a planned stop that interrupts a job, or that waits for suspicion.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_hands_its_zone_over() {
    let mut site = site(2, 1).await;
    assert_eq!(
        submit(&site, 0, &job("goes-on", 2, "work_ms=2000")).await.0,
        202
    );
    until_running(&site, "goes-on", Instant::now(), READY_BOUND).await;
    let leaving = decider_of(&site, "az-1").expect("one entry decides");
    let draining = site.entries.remove(leaving).drain();
    let bound = Duration::from_secs(2);
    let took = until("the other entry decides", bound, || {
        decider_of(&site, "az-1").is_some()
    });
    println!("handed over in {} ms", took.await.as_millis());
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

/// Guards against jobs that stay queued in a closed zone, or are lost or run there.
#[tokio::test(flavor = "multi_thread")]
async fn queued_jobs_leave_a_closed_zone() {
    let site = site(2, 2).await;
    // Each job takes a whole zone, so that the third one waits.
    for (id, work) in [("fill-1", 2500), ("fill-2", 2500), ("waits", 100)] {
        let body = job(id, 6, &format!("work_ms={work}"));
        let (status, answer) = submit(&site, 0, &body).await;
        assert_eq!(status, 202, "{answer}");
        if id != "waits" {
            until_running(&site, id, Instant::now(), READY_BOUND).await;
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
