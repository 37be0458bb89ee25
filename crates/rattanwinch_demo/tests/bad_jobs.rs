//! Tests of workers where every task fails, jobs that can never run, and bulk cancellations.

use std::time::Duration;

use futures::future::join_all;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_standins::StoreFaults;
use rattanwinch_types::AcceleratorSet;
use serde_json::json;

/// The time limit for the short jobs of these tests to finish.
const END_BOUND: Duration = Duration::from_secs(30);

/// The time limit for every accelerator to be released after the cancellations.
const RELEASE_BOUND: Duration = Duration::from_secs(10);

/// The number of different jobs that fail on a worker before it is quarantined.
const QUARANTINE_FAILURES: usize = 3;

/// The default number of attempts of an idempotent job.
const MAX_ATTEMPTS: usize = 3;

async fn site(name: &str, targets: usize) -> ProcessSite {
    let size = SiteSize {
        zones: 1,
        targets,
        slots: 2,
        entries: 2,
    };
    ProcessSite::start(name, size).await.expect("site starts")
}

/// Guards against a worker where every task fails and that gets all jobs because it is always free.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_where_every_task_fails_is_quarantined() {
    let site = site("failing-worker", 4).await;
    site.executors[0].set_fail_all(true);
    let ids: Vec<String> = (0..16).map(|n| format!("job-{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        let body = gang_body(id, 1, "work_ms=100");
        let accepted = site.submit_job(n % 2, &body);
        assert_eq!(accepted.await.status, 202);
    }
    for id in &ids {
        let done = site.wait_for_job(1, id, END_BOUND).await;
        let answers = done["answers"].as_array().map(Vec::len);
        assert_eq!(answers, Some(1), "{done}");
    }
    let failed = site.executors[0].task_runs().len();
    println!(
        "the failing worker started {failed} tasks of {} jobs",
        ids.len()
    );
    assert!(failed <= QUARANTINE_FAILURES, "{failed} starts");
    site.assert_no_faults();
}

/// Guards against a job that always fails and is retried without limit or causes the quarantine of
/// healthy workers, and against a job that is too large and stays queued forever.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_can_never_run_fail_with_a_reason() {
    let site = site("bad-jobs", 4).await;
    for n in 0..4 {
        let id = format!("bad-{n}");
        let body = gang_body(&id, 2, "work_ms=50 fail");
        let accepted = site.submit_job(0, &body);
        assert_eq!(accepted.await.status, 202);
    }
    for n in 0..4 {
        let id = format!("bad-{n}");
        let done = site.wait_for_job(1, &id, END_BOUND).await;
        assert_eq!(done["error"]["verdict"], json!("ran"), "{done}");
        assert_eq!(done["error"]["kind"], json!("failed"), "{done}");
        let log = AttemptLog::read(&site.executors);
        log.check(&id, 2, Duration::ZERO);
        assert!(
            log.start_count(&id) <= 2 * MAX_ATTEMPTS,
            "{}",
            log.start_count(&id)
        );
    }
    let large = site
        .submit_job(0, &gang_body("large", 5, "work_ms=1"))
        .await;
    let done = match large.status {
        202 => site.wait_for_job(1, "large", END_BOUND).await,
        _ => large.body.clone(),
    };
    println!("too large: {done}");
    assert_eq!(done["error"]["verdict"], json!("not_run"), "{done}");
    assert_eq!(AttemptLog::read(&site.executors).start_count("large"), 0);
    // A worker on which three of the jobs failed is quarantined, but never a majority of workers.
    let good = site.submit_job(0, &gang_body("good", 2, "work_ms=1")).await;
    assert_eq!(good.status, 202, "{good:?}");
    let done = site.wait_for_job(1, "good", END_BOUND).await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(2), "{done}");
    site.assert_no_faults();
}

/// Guards against accelerators that stay held or in use by jobs that were cancelled while they were
/// queued, held or running.
#[tokio::test(flavor = "multi_thread")]
async fn many_cancellations_release_every_accelerator() {
    let site = site("cancellations", 4).await;
    let ids: Vec<String> = (0..24).map(|n| format!("job-{n}")).collect();
    let submit = |range: std::ops::Range<usize>| {
        join_all(range.map(|n| {
            let body = gang_body(&ids[n], 1, "work_ms=120000");
            let site = &site;
            async move { site.submit_job(n % 2, &body).await.status }
        }))
    };
    assert!(submit(0..2).await.iter().all(|status| *status == 202));
    let running = || {
        let log = AttemptLog::read(&site.executors);
        ids[..2].iter().all(|id| log.start_count(id) == 1)
    };
    wait_until(END_BOUND, "the first jobs run", running).await;
    // With slow commits, the next jobs are still held when they are cancelled.
    site.store.set_faults(StoreFaults {
        delay_ms: 400,
        ..StoreFaults::default()
    });
    assert!(submit(2..24).await.iter().all(|status| *status == 202));
    let cancelled = ids.iter().enumerate();
    let cancelled = cancelled.map(|(n, id)| site.cancel_job(n % 2, id));
    let accepted = join_all(cancelled).await;
    assert!(accepted.iter().all(|accepted| *accepted), "{accepted:?}");
    let uses_accelerators = |executor: &rattanwinch_standins::StandinExecutor| {
        executor.used_accelerators() != AcceleratorSet::EMPTY
    };
    let free = || !site.executors.iter().any(uses_accelerators);
    wait_until(RELEASE_BOUND, "every accelerator is free", free).await;
    site.store.set_faults(StoreFaults::default());
    for id in &ids {
        let done = site.wait_for_job(0, id, END_BOUND).await;
        assert_eq!(done["error"]["kind"], json!("cancelled"), "{done}");
        let starts = AttemptLog::read(&site.executors).start_count(id);
        let not_run = done["error"]["verdict"] == json!("not_run");
        assert!(!(not_run && starts > 0), "{starts} starts: {done}");
    }
    // The decider also considers all accelerators free.
    let whole = site
        .submit_job(1, &gang_body("whole", 4, "work_ms=1"))
        .await;
    assert_eq!(whole.status, 202, "{whole:?}");
    let done = site.wait_for_job(0, "whole", RELEASE_BOUND).await;
    assert_eq!(done["answers"].as_array().map(Vec::len), Some(4), "{done}");
    site.assert_no_faults();
}
