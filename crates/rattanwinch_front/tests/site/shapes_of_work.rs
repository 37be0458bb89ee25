use std::time::Duration;

use serde_json::json;

use crate::harness::Site;
use crate::harness::SiteOptions;
use crate::harness::single_step_job;

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// A gang with a late member must work with all members or be restarted as a whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_with_a_late_member_is_done_once() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000a0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000a0", "completed", JOB_TIMEOUT)
        .await;
    site.workers[1]
        .executor
        .delay_orders(2, Duration::from_millis(1_200));
    let gang = single_step_job(
        "work_ms=300 gang=12",
        12,
        &json!({ "gang_scheduled": true }),
    );
    site.submit_body_until_accepted(0, "00000000000000a1", &gang)
        .await;
    site.wait_for(0, "00000000000000a1", "completed", JOB_TIMEOUT)
        .await;
    let runs = site.runs("00000000000000a1");
    let done: Vec<_> = runs
        .iter()
        .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
        .collect();
    assert_eq!(done.len(), 12, "{runs:?}");
    assert!(done.iter().all(|run| run.run == done[0].run), "{done:?}");
    site.assert_no_task_ran_twice("00000000000000a1");
}

/// Work saved in a checkpoint before its target was lost must not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_resumes_from_its_checkpoint() {
    let mut site = Site::start(1, 1).await;
    let task = single_step_job("work_ms=8000 save=1", 1, &json!({ "checkpointing": true }));
    site.submit_body_until_accepted(0, "00000000000000b1", &task)
        .await;
    site.wait_for(0, "00000000000000b1", "running", JOB_TIMEOUT)
        .await;
    // Checkpoints become durable every 2 s.
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    site.replace_executor(0).await;
    site.wait_for(0, "00000000000000b1", "completed", JOB_TIMEOUT)
        .await;
    let runs = site.runs("00000000000000b1");
    assert_eq!(runs.len(), 2, "{runs:?}");
    let saved = runs[1].checkpoint.as_deref().expect("a checkpoint");
    let saved = u64::from_str_radix(saved, 16).expect("milliseconds");
    assert!(saved >= 1_500, "only {saved} ms were saved");
}

/// Executors that enforce their capacity must never have to refuse a start beyond it.
#[tokio::test(flavor = "multi_thread")]
async fn executors_that_enforce_capacity_refuse_no_start() {
    let site = Site::start_with(SiteOptions {
        fronts: 1,
        workers: 2,
        enforces_capacity: true,
        ..SiteOptions::default()
    })
    .await;
    for (number, accelerators) in [4, 2, 4, 8].into_iter().enumerate() {
        let id = format!("00000000000000c{number}");
        let step = json!({ "gpu": accelerators });
        let body = single_step_job(&format!("work_ms=300 gpu={accelerators}"), 2, &step);
        site.submit_body_until_accepted(0, &id, &body).await;
    }
    for number in 0..4 {
        let id = format!("00000000000000c{number}");
        site.wait_for(0, &id, "completed", JOB_TIMEOUT).await;
        assert_eq!(site.runs(&id).len(), 2);
    }
    let refused = site.workers.iter().map(|worker| worker.executor.refused());
    assert_eq!(refused.sum::<usize>(), 0);
}

/// A task that always fails must fail its job after the attempts that its queue allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_always_fails_fails_its_job() {
    let site = Site::start(1, 2).await;
    let body = single_step_job("work_ms=50 fail_runs=9", 1, &json!({}));
    site.submit_body_until_accepted(0, "00000000000000d1", &body)
        .await;
    site.wait_for(0, "00000000000000d1", "failed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.runs("00000000000000d1").len(), 3);
    let body = single_step_job("work_ms=50 fail_runs=2", 1, &json!({}));
    site.submit_body_until_accepted(0, "00000000000000d2", &body)
        .await;
    site.wait_for(0, "00000000000000d2", "completed", JOB_TIMEOUT)
        .await;
    assert_eq!(site.runs("00000000000000d2").len(), 3);
}
