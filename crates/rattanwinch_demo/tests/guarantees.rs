//! Tests that a guaranteed shape is reclaimed from borrowers in time, also under failures.

use std::time::Duration;
use std::time::Instant;

use rattanwinch_decisions::ConfigChange;
use rattanwinch_decisions::DefaultKey;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::Operator;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_standins::StandinExecutor;
use rattanwinch_types::Guarantee;
use rattanwinch_types::Organisation;
use rattanwinch_types::ZoneName;
use serde_json::Value;
use serde_json::json;

/// The configured time limits of a checkpoint and of a stop in these tests.
const CHECKPOINT_LIMIT: Duration = Duration::from_secs(2);
const STOP_LIMIT: Duration = Duration::from_secs(1);

/// The time limit for a start, including a takeover (section 1.4 of the design page, urgent work).
const START_BOUND: Duration = Duration::from_millis(2800);

/// The time without heartbeats after which an agent is considered lost (section 4.7 of the design
/// page).
const AGENT_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of workers in the availability zone, all in one rack.
const WORKERS: u32 = 3;

/// The number of accelerators of a worker.
const BLOCK_ACCELERATORS: u32 = 8;

/// The additional time of a wait after its bound, so that late starts are measured.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limit for evicted work to finish after the owner's job has ended.
const FINISH_BOUND: Duration = Duration::from_secs(60);

/// Starts a site in which `gait` has a guarantee of two workers and `letrafa` borrows all three.
async fn borrowed_site(name: &str, payload: &str) -> ProcessSite {
    let size = SiteSize {
        zones: 1,
        targets: WORKERS as usize,
        slots: 2,
        entries: 3,
    };
    let site = ProcessSite::start(name, size).await.expect("site starts");
    let operator = Operator::new(site.store.address(), "lead");
    let guarantee = Guarantee {
        organisation: Organisation::new("gait").expect("a name"),
        zone: ZoneName::new("az-1").expect("a name"),
        blocks: 2,
        accelerators: BLOCK_ACCELERATORS,
    };
    let default = |key, limit: Duration| ConfigChange::SetDefault {
        key,
        value: u64::try_from(limit.as_millis()).expect("a short time"),
    };
    let changes = [
        default(DefaultKey::CheckpointLimitMs, CHECKPOINT_LIMIT),
        default(DefaultKey::StopLimitMs, STOP_LIMIT),
        ConfigChange::AddGuarantee(guarantee),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let revision = operator.revision().await.expect("the store answers");
        let id = format!("set-up-{number}");
        let applied = operator.apply(&id, revision, change).await;
        applied.expect("the change is accepted");
    }
    wait_for_guarantee(&site).await;
    for number in 0..WORKERS {
        let body = gang_body(&format!("loan-{number}"), 1, payload);
        assert_eq!(site.submit_job(0, &body).await.status, 202);
    }
    wait_for_starts(&site, "loan-", WORKERS as usize, WAIT_TIMEOUT).await;
    site
}

/// Waits until the guarantee has taken effect at each entry.
async fn wait_for_guarantee(site: &ProcessSite) {
    let since = Instant::now();
    for entry in 0..site.entries.len() {
        while guarantee_report(site, entry).await["guaranteed"] != json!(2 * BLOCK_ACCELERATORS) {
            assert!(
                since.elapsed() < WAIT_TIMEOUT,
                "the guarantee has not taken effect"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Returns an entry's report of the guarantee of `gait`.
async fn guarantee_report(site: &ProcessSite, entry: usize) -> Value {
    let Ok(response) = reqwest::get(site.url(entry, "/v1/guarantees")).await else {
        return Value::Null;
    };
    let body: Value = response.json().await.unwrap_or(Value::Null);
    let rows = body.as_array().or_else(|| body["guarantees"].as_array());
    let row = rows.and_then(|rows| rows.iter().find(|row| row["organisation"] == json!("gait")));
    row.cloned().unwrap_or(Value::Null)
}

/// Waits until `tasks` tasks of jobs whose ids begin with `prefix` have started, and returns the
/// time of the last start.
async fn wait_for_starts(
    site: &ProcessSite,
    prefix: &str,
    tasks: usize,
    bound: Duration,
) -> Instant {
    let since = Instant::now();
    loop {
        let runs = site.executors.iter().flat_map(StandinExecutor::task_runs);
        let runs = runs.filter(|run| run.member.attempt.key.id.as_str().starts_with(prefix));
        let starts: Vec<Instant> = runs.map(|run| run.started_at).collect();
        if starts.len() >= tasks {
            return starts.into_iter().max().expect("there are starts");
        }
        assert!(
            since.elapsed() < bound,
            "{prefix}: {} of {tasks} tasks started",
            starts.len()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Submits the owner's job to an entry; it needs the whole guarantee in one rack.
async fn submit_owner_job(site: &ProcessSite, entry: usize, payload: &str) -> Instant {
    let mut body = gang_body("owned", 2, payload);
    body["organisation"] = json!("gait");
    body["adjacency"] = json!("rack");
    let submitted_at = Instant::now();
    let accepted = site.submit_job(entry, &body).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    submitted_at
}

/// Waits until the eviction of a borrower has begun.
async fn wait_for_eviction(site: &ProcessSite, entry: usize) {
    let since = Instant::now();
    loop {
        for number in 0..WORKERS {
            let explained = site.get_job(entry, &format!("loan-{number}/explain")).await;
            if explained.to_string().contains("evict") {
                return;
            }
        }
        assert!(since.elapsed() < WAIT_TIMEOUT, "no borrower is evicted");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Checks that both tasks of the owner's job started together within `bound`.
async fn check_reclaimed(site: &ProcessSite, since: Instant, bound: Duration, what: &str) {
    let started = wait_for_starts(site, "owned", 2, bound + WAIT_TIMEOUT).await;
    let elapsed = started - since;
    println!("{what}: reclaimed in {} ms", elapsed.as_millis());
    assert!(
        elapsed <= bound,
        "{what}: reclaimed in {elapsed:?}, later than {bound:?}"
    );
}

/// Guards against a reclaim that waits for the borrowers to finish, and against evicted work that
/// is lost or has no reason for its eviction.
#[tokio::test(flavor = "multi_thread")]
async fn a_guarantee_is_reclaimed_by_checkpoints_and_the_borrowers_finish_later() {
    let site = borrowed_site("reclaim", "work_ms=8000 checkpoint_ms=500").await;
    let since = submit_owner_job(&site, 1, "work_ms=1000").await;
    let bound = CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, since, bound, "checkpoints of 0.5 s").await;
    let mut explained = 0;
    for number in 0..WORKERS {
        let id = format!("loan-{number}");
        let reasons = site.get_job(2, &format!("{id}/explain")).await.to_string();
        explained += usize::from(reasons.contains("evict") && reasons.contains("gait"));
    }
    assert_eq!(
        explained, 2,
        "each eviction names the organisation that reclaims"
    );
    for number in 0..WORKERS {
        let id = format!("loan-{number}");
        let done = site.wait_for_job(0, &id, FINISH_BOUND).await;
        let answers = done["answers"].as_array().map(Vec::len);
        assert_eq!(answers, Some(1), "{done}");
    }
    site.assert_no_faults();
}

/// Guards against a borrower that ignores the checkpoint request and so blocks the guarantee.
#[tokio::test(flavor = "multi_thread")]
async fn a_borrower_that_makes_no_checkpoint_is_stopped_after_the_limit() {
    let site = borrowed_site("reclaim-stop", "work_ms=60000 no_checkpoint").await;
    let since = submit_owner_job(&site, 1, "work_ms=1000").await;
    let bound = CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, since, bound, "no checkpoints").await;
    site.assert_no_faults();
}

/// Guards against a reclaim that is lost when the decider is killed during it.
#[tokio::test(flavor = "multi_thread")]
async fn a_reclaim_continues_after_the_loss_of_the_decider() {
    let site = borrowed_site("reclaim-decider", "work_ms=60000 no_checkpoint").await;
    let decider = site.decider("az-1").await.expect("a decider");
    let other = (decider + 1) % site.entries.len();
    submit_owner_job(&site, other, "work_ms=1000").await;
    wait_for_eviction(&site, decider).await;
    site.entries[decider].signal(Signal::Kill).expect("it runs");
    let bound = CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, Instant::now(), bound, "decider killed").await;
    site.assert_no_faults();
}

/// Guards against a reclaim that still uses a worker that was lost meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_reclaim_continues_without_a_lost_worker() {
    let site = borrowed_site("reclaim-worker", "work_ms=60000 no_checkpoint").await;
    submit_owner_job(&site, 1, "work_ms=1000").await;
    wait_for_eviction(&site, 1).await;
    site.agents[0].signal(Signal::Kill).expect("it runs");
    let bound = AGENT_TIMEOUT + CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, Instant::now(), bound, "worker lost").await;
    let started: Vec<usize> = (0..site.executors.len())
        .filter(|index| AttemptLog::read(&site.executors[*index..=*index]).start_count("owned") > 0)
        .collect();
    assert_eq!(started, [1, 2], "the job runs on the remaining workers");
    site.assert_no_faults();
}

/// Guards against a guarantee that cannot be met but is reported as met.
#[tokio::test(flavor = "multi_thread")]
async fn a_guarantee_that_cannot_be_met_is_reported_with_its_cause() {
    let site = borrowed_site("reclaim-closed", "work_ms=500").await;
    let operator = Operator::new(site.store.address(), "lead");
    let closed = operator.close_zone("closing", "az-1").await;
    closed.expect("the change is accepted");
    let decider = site.decider("az-1").await.expect("a decider");
    let since = Instant::now();
    let report = loop {
        let report = guarantee_report(&site, decider).await;
        if report["unmet"] == json!(2 * BLOCK_ACCELERATORS) {
            break report;
        }
        assert!(since.elapsed() < WAIT_TIMEOUT, "not reported: {report}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let cause = report["cause"].as_str().unwrap_or_default();
    assert!(cause.contains("closed"), "{report}");
    site.assert_no_faults();
}
