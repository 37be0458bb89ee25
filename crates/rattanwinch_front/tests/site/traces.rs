//! Traces must show the cause of a failure from the logs alone.

use std::time::Duration;

use rattanwinch_site_standins::AdvisorTiming;
use rattanwinch_site_standins::FaultMode;
use reqwest::Method;
use serde_json::json;

use crate::harness::KEY;
use crate::harness::Site;
use crate::harness::SiteOptions;
use crate::harness::job;
use crate::harness::single_step_job;

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a site and waits until a first job has ended.
async fn working_site(fronts: u8, workers: u8) -> Site {
    let site = Site::start(fronts, workers).await;
    site.submit_until_accepted(0, "00000000000000a0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000a0", "completed", JOB_TIMEOUT)
        .await;
    site
}

/// Logs must contain neither API keys nor payloads, since more people may read logs than may know
/// keys and payloads.
fn assert_no_secrets(site: &Site) {
    for line in site.log_files().iter().flat_map(|file| &file.lines) {
        let text = serde_json::to_string(&line.fields).expect("JSON");
        for secret in [KEY, "key-of-gait", "work_ms", "ticket-"] {
            assert!(!text.contains(secret), "{secret} was logged: {text}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_the_cause() {
    let site = working_site(1, 1).await;
    site.revoke_api_keys();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(site.submit(0, "00000000000000b1", 10, 1).await, 401);
    site.wait_for_cause("00000000000000b1", &["refused", "key", "version 2"])
        .await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_queue_is_the_cause() {
    let site = working_site(1, 1).await;
    let path = "/nowhere/00000000000000b2";
    let answer = site.call(0, Method::POST, path, Some(job(10, 1))).await;
    assert_eq!(answer.0, 404);
    site.wait_for_cause("00000000000000b2", &["refused", "no queue"])
        .await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unavailable_store_is_the_cause() {
    let site = working_site(2, 1).await;
    for front in &site.fronts {
        front.store_endpoint.set_mode(FaultMode::Refuse);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let status = site.submit(0, "00000000000000b3", 10, 1).await;
    assert!(matches!(status, 503 | 504), "{status}");
    site.wait_for_cause("00000000000000b3", &["refused", "the store"])
        .await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_site_is_the_cause() {
    let site = working_site(1, 1).await;
    site.submit_until_accepted(0, "00000000000000b4", 1_500, 8)
        .await;
    site.submit_until_accepted(0, "00000000000000b5", 100, 8)
        .await;
    site.wait_for(0, "00000000000000b5", "completed", JOB_TIMEOUT)
        .await;
    site.wait_for_cause(
        "00000000000000b5",
        &["completed", "waited", "for free resources"],
    )
    .await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_scheduler_is_the_cause() {
    let mut site = working_site(2, 1).await;
    site.submit_until_accepted(0, "00000000000000b6", 1_000, 2)
        .await;
    site.wait_for(0, "00000000000000b6", "running", JOB_TIMEOUT)
        .await;
    let leader_index = site.leader_index();
    let stopped = site.fronts.remove(leader_index);
    let stopping = tokio::spawn(stopped.stop());
    site.wait_for(0, "00000000000000b6", "completed", JOB_TIMEOUT)
        .await;
    site.wait_for_cause("00000000000000b6", &["completed", "the scheduler changed"])
        .await;
    stopping.await.expect("the front stops");
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_target_is_the_cause() {
    let mut site = working_site(1, 1).await;
    site.submit_until_accepted(0, "00000000000000b7", 1_000, 2)
        .await;
    site.wait_for(0, "00000000000000b7", "running", JOB_TIMEOUT)
        .await;
    let lost = site.workers[0].id().to_owned();
    site.replace_executor(0).await;
    site.wait_for(0, "00000000000000b7", "completed", JOB_TIMEOUT)
        .await;
    let words = ["completed", "lost with", &lost, "Replaced"];
    site.wait_for_cause("00000000000000b7", &words).await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_always_fails_is_the_cause() {
    let site = working_site(1, 3).await;
    let body = single_step_job("work_ms=50 fail_runs=9", 1, &json!({}));
    site.submit_body_until_accepted(0, "00000000000000b8", &body)
        .await;
    site.wait_for(0, "00000000000000b8", "failed", JOB_TIMEOUT)
        .await;
    let words = ["failed", "3 of its runs", "the job's own"];
    site.wait_for_cause("00000000000000b8", &words).await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_target_is_the_cause() {
    let site = working_site(1, 2).await;
    let bad = site.workers[0].id().to_owned();
    site.workers[0].executor.set_failing(true);
    for id in ["00000000000000b9", "00000000000000ba", "00000000000000bb"] {
        site.submit_until_accepted(0, id, 100, 8).await;
        site.wait_for(0, id, "completed", JOB_TIMEOUT).await;
    }
    let assert_cause = async |id| {
        site.wait_for_cause(id, &["completed", &bad, "quarantined"])
            .await;
    };
    // Two jobs have to fail on the target before it is quarantined.
    let failed = |id: &str| {
        let runs = site.workers[0].executor.runs();
        runs.iter().any(|run| run.task.starts_with(id))
    };
    let ids = ["00000000000000b9", "00000000000000ba", "00000000000000bb"];
    let last = ids
        .into_iter()
        .rfind(|id| failed(id))
        .expect("a job that failed on the target");
    assert_cause(last).await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelling_caller_is_the_cause() {
    let site = working_site(1, 1).await;
    site.submit_until_accepted(0, "00000000000000bc", 60_000, 1)
        .await;
    site.wait_for(0, "00000000000000bc", "running", JOB_TIMEOUT)
        .await;
    let path = "/checks/00000000000000bc";
    assert_eq!(site.call(0, Method::DELETE, path, None).await.0, 200);
    site.wait_for_cause("00000000000000bc", &["cancelled by its caller"])
        .await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_advisor_that_fails_is_the_cause() {
    let site = Site::start_with(SiteOptions {
        fronts: 1,
        workers: 1,
        advisor: Some(AdvisorTiming {
            base: Duration::from_millis(10),
            per_executor: Duration::from_millis(1),
            validity: Duration::from_secs(3),
        }),
        ..SiteOptions::default()
    })
    .await;
    let advisor = site.advisor.as_ref().expect("an advisor");
    advisor.allow(site.workers[0].id());
    advisor.fail(4);
    site.submit_until_accepted(0, "00000000000000bd", 100, 1)
        .await;
    site.wait_for(0, "00000000000000bd", "completed", JOB_TIMEOUT)
        .await;
    site.wait_for_cause(
        "00000000000000bd",
        &["completed", "the advisor gave no answer"],
    )
    .await;
    assert_no_secrets(&site);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_does_not_answer_orders_is_the_cause() {
    let site = working_site(1, 1).await;
    site.workers[0]
        .executor
        .delay_orders(8, Duration::from_secs(60));
    site.submit_until_accepted(0, "00000000000000be", 100, 1)
        .await;
    site.wait_for(0, "00000000000000be", "completed", JOB_TIMEOUT)
        .await;
    site.wait_for_cause("00000000000000be", &["completed", "did not answer orders"])
        .await;
    assert_no_secrets(&site);
}
