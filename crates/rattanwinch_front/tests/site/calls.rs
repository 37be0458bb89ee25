use std::time::Duration;
use std::time::Instant;

use rattanwinch_site_standins::FaultMode;
use reqwest::Method;
use serde_json::Value;
use serde_json::json;

use crate::harness::KEY;
use crate::harness::Site;
use crate::harness::SiteOptions;
use crate::harness::job;

const JOB_TIMEOUT: Duration = Duration::from_secs(10);

/// A job submitted twice, at two fronts, must run once, or it would be billed twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_submitted_twice_runs_once() {
    let site = Site::start(2, 2).await;
    site.submit_until_accepted(0, "00000000000000a1", 100, 4)
        .await;
    assert_eq!(site.submit(1, "00000000000000a1", 100, 4).await, 200);
    site.wait_for(1, "00000000000000a1", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.submit(0, "00000000000000a1", 100, 4).await, 200);
    let tasks: Vec<_> = (0..4)
        .map(|index| format!("00000000000000a1.0.0.{index}"))
        .collect();
    assert_eq!(site.started("00000000000000a1"), tasks);
}

/// Each invalid call gets its documented status, and nothing runs.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_calls_are_refused_and_run_nothing() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000b0", 10, 1)
        .await;
    let id = "/checks/00000000000000b1";
    for front in 0..2 {
        let unknown_key = site.call_with_key(front, Method::POST, id, Some(job(1, 1)), "none");
        assert_eq!(unknown_key.await.0, 401);
        let unknown_path = site.call(front, Method::POST, "/other/1", Some(job(1, 1)));
        assert_eq!(unknown_path.await.0, 404);
        let no_job = site.call(front, Method::POST, id, Some(json!({ "spec": "x" })));
        assert_eq!(no_job.await.0, 400);
        let empty = json!({ "spec": "x", "phases": [{ "count": 0 }] });
        assert_eq!(site.call(front, Method::POST, id, Some(empty)).await.0, 400);
        let large = json!({ "spec": "x".repeat(300_000), "phases": [] });
        assert_eq!(site.call(front, Method::POST, id, Some(large)).await.0, 413);
        assert_eq!(site.call(front, Method::GET, id, None).await.0, 410);
        assert_eq!(site.call(front, Method::DELETE, id, None).await.0, 410);
        assert_eq!(site.call(front, Method::PUT, id, None).await.0, 405);
    }
    let others = site.call_with_key(
        0,
        Method::GET,
        "/checks/00000000000000b0",
        None,
        "key-of-gait",
    );
    assert_eq!(others.await.0, 403);
    assert!(site.started("00000000000000b1").is_empty());
}

/// A cancelled job must stop and stay cancelled; if it kept running, it would hold capacity that
/// others need.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let site = Site::start(1, 1).await;
    site.submit_until_accepted(0, "00000000000000c1", 60_000, 2)
        .await;
    site.wait_for(0, "00000000000000c1", "running", JOB_TIMEOUT)
        .await;
    let path = "/checks/00000000000000c1";
    assert_eq!(site.call(0, Method::DELETE, path, None).await.0, 200);
    assert_eq!(site.state(0, "00000000000000c1").await, "cancelled");
    // The capacity is free again: eight tasks fill the worker.
    site.submit_until_accepted(0, "00000000000000c2", 50, 8)
        .await;
    site.wait_for(0, "00000000000000c2", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.submit(0, "00000000000000c1", 60_000, 2).await, 200);
    assert_eq!(site.state(0, "00000000000000c1").await, "cancelled");
    assert_eq!(site.started("00000000000000c1").len(), 2);
}

/// A revoked API key must stop working within 5 s, without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000d1", 10, 1)
        .await;
    site.revoke_api_keys();
    tokio::time::sleep(Duration::from_secs(2)).await;
    for front in 0..2 {
        assert_eq!(site.submit(front, "00000000000000d2", 10, 1).await, 401);
    }
    assert!(site.started("00000000000000d2").is_empty());
}

/// A query of a queue returns the number of its jobs of which no task has started.
#[tokio::test(flavor = "multi_thread")]
async fn pending_counts_jobs_that_have_not_begun() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000e1", 60_000, 8)
        .await;
    site.wait_for(0, "00000000000000e1", "running", JOB_TIMEOUT)
        .await;
    for id in ["00000000000000e2", "00000000000000e3"] {
        site.submit_until_accepted(1, id, 10, 8).await;
    }
    let (status, body) = site.call(1, Method::GET, "/checks/", None).await;
    assert_eq!((status, &body["pending"]), (200, &json!(2)));
}

/// Has a job stored by a leader that is killed before it can answer, and revokes the caller's key;
/// returns the status of the call. `None` if another front took over before the job was stored, as
/// it may while the leader gets no answers from the store.
async fn submit_to_a_leader_that_is_killed(site: &Site, id: &str) -> Option<u16> {
    let leader = site.leader_index();
    let lose_answers = FaultMode::LoseAnswers;
    site.fronts[leader].store_endpoint.set_mode(lose_answers);
    let submitted = site.submit(1 - leader, id, 10, 1);
    let revoked = async {
        let key = format!("rattanwinch/job/{id}");
        while site.store.value(&key).is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // Each of the leader's writes names it.
        let is_stored_by_leader = site.leader_index() == leader;
        site.revoke_api_keys();
        site.fronts[leader].signal("-KILL");
        is_stored_by_leader
    };
    let (status, is_stored_by_leader) = tokio::join!(submitted, revoked);
    is_stored_by_leader.then_some(status)
}

/// Guards against a caller that is told that its key is unknown, though the job was stored before
/// the leader was killed and runs: the key was revoked between two attempts of the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_stored_job_is_not_refused_after_its_key_was_revoked() {
    const TRIALS: usize = 5;
    let id = "00000000000000f2";
    for _ in 0..TRIALS {
        let site = Site::start_with(SiteOptions {
            fronts: 2,
            workers: 1,
            front_processes: true,
            ..SiteOptions::default()
        })
        .await;
        // Both fronts know the leader then.
        for front in 0..2 {
            site.submit_until_accepted(front, "00000000000000f1", 10, 1)
                .await;
        }
        let Some(status) = submit_to_a_leader_that_is_killed(&site, id).await else {
            continue;
        };
        assert_eq!(
            status, 504,
            "the caller can't know yet whether the job runs"
        );
        let submitted_at = Instant::now();
        while site.started(id).is_empty() {
            assert!(submitted_at.elapsed() < JOB_TIMEOUT, "the job was stored");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        return;
    }
    panic!("another front took over too early in {TRIALS} trials");
}

/// Guards against a site that stops for one name in the configuration: the orders grew too old to
/// serve calls or to start tasks by.
#[tokio::test(flavor = "multi_thread")]
async fn a_tenant_with_any_name_is_served() {
    let site = Site::start(2, 1).await;
    site.submit_until_accepted(0, "00000000000000c7", 10, 1)
        .await;
    site.change_config(|config| {
        let tenant = json!({ "name": "Létrafa Kft.", "api_keys": ["key-of-kft"] });
        config["tenants"]
            .as_array_mut()
            .expect("tenants")
            .push(tenant);
    });
    // Longer than any orders are used after the last ones that could be read.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for (id, key) in [
        ("00000000000000c8", KEY),
        ("00000000000000c9", "key-of-kft"),
    ] {
        let path = format!("/checks/{id}");
        let submitted = site.call_with_key(1, Method::POST, &path, Some(job(10, 1)), key);
        assert_eq!(submitted.await.0, 200, "{key}");
        let submitted_at = Instant::now();
        while site.started(id).is_empty() {
            assert!(submitted_at.elapsed() < JOB_TIMEOUT, "{key}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against a site that stops for a configuration that can't be read, and against keys that
/// go on working then although that configuration may revoke them.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_configuration_stops_keys_alone() {
    let mut site = Site::start(2, 1).await;
    site.change_config(|config| {
        let mut open = config["routes"][0].clone();
        open["name"] = json!("open");
        open["prefix"] = json!("/open/");
        open["public"] = json!(true);
        config["routes"].as_array_mut().expect("routes").push(open);
    });
    // Until the queue is in force.
    let open = "/open/00000000000000a6";
    while site.call_public(0, Method::POST, open, job(10, 1)).await.0 != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut steps = job(6_000, 1);
    let mut second = steps["phases"][0].clone();
    second["after"] = json!([0]);
    steps["phases"].as_array_mut().expect("phases").push(second);
    let id = "00000000000000a7";
    let path = format!("/checks/{id}");
    while site
        .call(0, Method::POST, &path, Some(steps.clone()))
        .await
        .0
        != 200
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let config = site.store.value("op/config").expect("a configuration");
    site.store.put("op/config", &json!("not a configuration"));
    tokio::time::sleep(Duration::from_secs(5)).await;
    let keyed = site.call(1, Method::GET, &path, None).await;
    assert_eq!(keyed.0, 503, "its key may have been revoked");
    let open = site.call_public(1, Method::POST, "/open/00000000000000a8", job(10, 1));
    assert_eq!(open.await.0, 200);

    let leader = site.leader_index();
    site.fronts.remove(leader).stop().await;
    let stopped_at = Instant::now();
    while site.started(id).len() < 2 {
        let waited = stopped_at.elapsed();
        assert!(
            waited < JOB_TIMEOUT,
            "the next leader starts the second step"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let unknown = site.call_public(0, Method::POST, "/open/00000000000000a9", job(10, 1));
    assert_eq!(unknown.await.0, 503, "the next leader knows no queue");

    let config: Value = serde_json::from_slice(&config).expect("JSON");
    site.store.put("op/config", &config);
    site.wait_for(0, id, "completed", JOB_TIMEOUT).await;
}

/// Guards against an organisation that cancels another one's job, or is told that a job of the same
/// id is accepted as its own, while that job isn't durable yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_belongs_to_its_organisation_before_it_is_durable() {
    let site = Site::start(1, 1).await;
    site.submit_until_accepted(0, "00000000000000e7", 10, 1)
        .await;
    let slow = FaultMode::Slow(Duration::from_millis(300));
    site.fronts[0].store_endpoint.set_mode(slow);
    let path = "/checks/00000000000000e8";
    let others = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let submit = site.call_with_key(0, Method::POST, path, Some(job(10, 1)), "key-of-gait");
        let cancel = site.call_with_key(0, Method::DELETE, path, None, "key-of-gait");
        tokio::join!(submit, cancel)
    };
    let own = site.submit(0, "00000000000000e8", 10, 1);
    let (own, (submitted, cancelled)) = tokio::join!(own, others);
    assert_eq!((own, submitted.0, cancelled.0), (200, 403, 403));
    site.wait_for(0, "00000000000000e8", "completed", JOB_TIMEOUT)
        .await;
}
