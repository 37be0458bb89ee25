//! Tests that a store restored from an older copy is rejected, and that the recovery procedure of
//! the operators' page leads to a working site.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::plain_body;
use rattanwinch_demo::testing::post;
use rattanwinch_demo::testing::read_metric;
use rattanwinch_demo::testing::wait_until;
use serde_json::json;

/// Target 0 is in `az-1` and target 1 in `az-2`.
const SIZE: SiteSize = SiteSize {
    zones: 2,
    targets: 2,
    slots: 4,
    entries: 2,
};

/// The time limit for a configuration change to take effect, or for a store regression to be
/// detected.
const IN_EFFECT_BOUND: Duration = Duration::from_secs(5);

/// The time limit for a daemon to shut down.
const STOP_BOUND: Duration = Duration::from_secs(15);

/// The time limit for a job with 12 s of work that is not restarted.
const JOB_BOUND: Duration = Duration::from_secs(40);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the metric has the value at each entry.
async fn wait_for_metric(site: &ProcessSite, name: &str, value: f64) {
    let since = Instant::now();
    for entry in 0..site.entries.len() {
        while read_metric(site.url(entry, "/metrics"), name).await != Some(value) {
            assert!(
                since.elapsed() < IN_EFFECT_BOUND,
                "{name} of entry {entry} is not {value}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Sends idempotent requests to each entry and checks that they run, and that none runs at the
/// target `closed`.
async fn check_closed(site: &ProcessSite, closed: usize, name: &str) {
    let before = site.executors[closed].started();
    for n in 0..20 {
        let body = plain_body(&format!("{name}-{n}"), "work_ms=1", true);
        let answer = post(site.url(n % SIZE.entries, "/v1/requests"), body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let after = site.executors[closed].started();
    assert_eq!(after, before, "{name}: requests ran in the closed zone");
}

async fn stop_all(site: &mut ProcessSite) {
    for process in site.entries.iter().chain(&site.agents) {
        process.signal(Signal::Terminate).expect("it runs");
    }
    for process in site.entries.iter_mut().chain(&mut site.agents) {
        let ended = || matches!(process.exit_success(), Ok(Some(true)));
        wait_until(STOP_BOUND, "a daemon stops", ended).await;
    }
}

/// Guards against entries that use a restored store without a recent closing, against a restarted
/// entry that trusts it, and against a recovery procedure that loses running work.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_is_rejected_until_all_processes_are_restarted() {
    let mut site = ProcessSite::start("restored", SIZE)
        .await
        .expect("site starts");
    let running_job = gang_body("kept", 1, "work_ms=12000");
    assert_eq!(site.submit_job(0, &running_job).await.status, 202);
    let job_runs = || AttemptLog::read(&site.executors).start_count("kept") == 1;
    wait_until(IN_EFFECT_BOUND, "the job runs", job_runs).await;

    // Closes the zone in which the job does not run; the copy of the store lacks the closing.
    let closed = usize::from(AttemptLog::read(&site.executors[1..]).start_count("kept") == 0);
    let zone = format!("az-{}", closed + 1);
    let copy = site.store.snapshot();
    let operator = Operator::new(site.store.address(), "lead");
    operator
        .close_zone("closing", &zone)
        .await
        .expect("the change is accepted");
    let revision = operator.revision().await.expect("the store answers").0 as f64;
    wait_for_metric(&site, "config_revision", revision).await;
    wait_for_metric(&site, "targets_config_revision_lowest", revision).await;
    check_closed(&site, closed, "closed").await;

    assert!(site.store.restore(copy));
    wait_for_metric(&site, "store_regressed", 1.0).await;
    check_closed(&site, closed, "restored").await;
    let refused = gang_body("refused", 1, "work_ms=1");
    assert_eq!(site.submit_job(0, &refused).await.verdict(), "not_run");

    site.entries[0].signal(Signal::Kill).expect("it runs");
    site.entries[0] = site.start_entry(0).expect("the entry starts again");
    wait_for_metric(&site, "store_regressed", 1.0).await;

    stop_all(&mut site).await;
    for index in 0..SIZE.entries {
        site.entries[index] = site.start_entry(index).expect("the entry starts");
    }
    for index in 0..SIZE.targets {
        site.agents[index] = site.start_agent(index).expect("the agent starts");
    }
    site.wait_until_ready().await.expect("the site is ready");
    let operator = Operator::new(site.store.address(), "lead");
    let repeated = operator.close_zone("closing", &zone).await;
    let revision = repeated.expect("the change is accepted").revision.0 as f64;
    wait_for_metric(&site, "config_revision", revision).await;
    wait_for_metric(&site, "targets_config_revision_lowest", revision).await;
    check_closed(&site, closed, "repeated").await;

    let done = site.wait_for_job(0, "kept", JOB_BOUND).await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(1), "{done}");
    let starts = AttemptLog::read(&site.executors).start_count("kept");
    assert_eq!(starts, 1, "its task continued during the restarts");
    let next = gang_body("next", 1, "work_ms=1");
    assert_eq!(site.submit_job(1, &next).await.status, 202);
    let done = site.wait_for_job(1, "next", JOB_BOUND).await;
    assert_eq!(done["state"], json!("finished"), "{done}");
    assert_eq!(
        AttemptLog::read(&site.executors[closed..=closed]).start_count("next"),
        0
    );
    site.assert_no_faults();
}
