//! A guaranteed shape is reclaimed from borrowers in the stated time, whoever dies meanwhile.

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

/// The limits of a checkpoint and of a stop that operators set in these tests.
const CHECKPOINT_LIMIT: Duration = Duration::from_secs(2);
const STOP_LIMIT: Duration = Duration::from_secs(1);

/// The bound on a start, takeover included (design 1.4, urgent work).
const START_BOUND: Duration = Duration::from_millis(2800);

/// An agent that is silent for so long counts as lost (design 4.7).
const SILENCE: Duration = Duration::from_secs(3);

/// Workers of the availability zone, all in one rack.
const WORKERS: u32 = 3;

/// The accelerators of a worker.
const BLOCK: u32 = 8;

/// How long a wait goes on past its bound, so that a late start is measured too.
const GIVE_UP: Duration = Duration::from_secs(30);

/// The time in which evicted work is done once the owner's job has ended.
const FINISH_BOUND: Duration = Duration::from_secs(60);

/// A site in which `gait` has a guarantee of two workers and `letrafa` has borrowed all three.
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
        accelerators: BLOCK,
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
    wait_starts(&site, "loan-", WORKERS as usize, GIVE_UP).await;
    site
}

/// Waits until each entry has the guarantee in its configuration.
async fn wait_for_guarantee(site: &ProcessSite) {
    let since = Instant::now();
    for entry in 0..site.entries.len() {
        while guarantee_report(site, entry).await["guaranteed"] != json!(2 * BLOCK) {
            assert!(since.elapsed() < GIVE_UP, "the guarantee isn't in force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// What an entry reports of the guarantee of `gait`.
async fn guarantee_report(site: &ProcessSite, entry: usize) -> Value {
    let Ok(response) = reqwest::get(site.url(entry, "/v1/guarantees")).await else {
        return Value::Null;
    };
    let body: Value = response.json().await.unwrap_or(Value::Null);
    let rows = body.as_array().or_else(|| body["guarantees"].as_array());
    let row = rows.and_then(|rows| rows.iter().find(|row| row["organisation"] == json!("gait")));
    row.cloned().unwrap_or(Value::Null)
}

/// Waits until tasks of so many jobs whose ids begin with `prefix` have started, and returns when
/// the last of the newest attempts did.
async fn wait_starts(site: &ProcessSite, prefix: &str, tasks: usize, bound: Duration) -> Instant {
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

/// Submits the owner's job at an entry: its whole guarantee in one rack.
async fn reclaim(site: &ProcessSite, entry: usize, payload: &str) -> Instant {
    let mut body = gang_body("owned", 2, payload);
    body["organisation"] = json!("gait");
    body["adjacency"] = json!("rack");
    let submitted_at = Instant::now();
    let accepted = site.submit_job(entry, &body).await;
    assert_eq!(accepted.status, 202, "{accepted:?}");
    submitted_at
}

/// Waits until a borrower has ended or has been ordered to checkpoint.
async fn wait_eviction(site: &ProcessSite, entry: usize) {
    let since = Instant::now();
    loop {
        for number in 0..WORKERS {
            let explained = site.ask_job(entry, &format!("loan-{number}/explain")).await;
            if explained.to_string().contains("evict") {
                return;
            }
        }
        assert!(since.elapsed() < GIVE_UP, "nobody is evicted");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Checks that both tasks of the owner's job started together within `bound`.
async fn check_reclaimed(site: &ProcessSite, since: Instant, bound: Duration, what: &str) {
    let started = wait_starts(site, "owned", 2, bound + GIVE_UP).await;
    let took = started - since;
    println!("{what}: reclaimed in {} ms", took.as_millis());
    assert!(
        took <= bound,
        "{what}: reclaimed in {took:?}, later than {bound:?}"
    );
}

/// Guards against a reclaim that waits for the borrowers' ends, and against evicted work that is
/// lost or whose eviction has no reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_guarantee_is_reclaimed_by_checkpoints_and_the_borrowers_finish_later() {
    let site = borrowed_site("reclaim", "work_ms=8000 checkpoint_ms=500").await;
    let since = reclaim(&site, 1, "work_ms=1000").await;
    let bound = CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, since, bound, "checkpoints of 0.5 s").await;
    let mut explained = 0;
    for number in 0..WORKERS {
        let id = format!("loan-{number}");
        let reasons = site.ask_job(2, &format!("{id}/explain")).await.to_string();
        explained += usize::from(reasons.contains("evict") && reasons.contains("gait"));
    }
    assert_eq!(
        explained, 2,
        "each eviction names the organisation that reclaims"
    );
    for number in 0..WORKERS {
        let id = format!("loan-{number}");
        let done = site.finished_job(0, &id, FINISH_BOUND).await;
        let answers = done["answers"].as_array().map(Vec::len);
        assert_eq!(answers, Some(1), "{done}");
    }
    site.check_faults();
}

/// Guards against a borrower that ignores its checkpoint and keeps the guarantee from its owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_borrower_that_makes_no_checkpoint_is_stopped_after_the_limit() {
    let site = borrowed_site("reclaim-stop", "work_ms=60000 no_checkpoint").await;
    let since = reclaim(&site, 1, "work_ms=1000").await;
    let bound = CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, since, bound, "no checkpoints").await;
    site.check_faults();
}

/// Guards against a reclaim that is forgotten when the decider dies in the middle of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_reclaim_goes_on_after_the_decider_died() {
    let site = borrowed_site("reclaim-decider", "work_ms=60000 no_checkpoint").await;
    let decider = site.decider("az-1").await.expect("a decider");
    let other = (decider + 1) % site.entries.len();
    reclaim(&site, other, "work_ms=1000").await;
    wait_eviction(&site, decider).await;
    site.entries[decider].signal(Signal::Kill).expect("it runs");
    let bound = CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, Instant::now(), bound, "decider killed").await;
    site.check_faults();
}

/// Guards against a plan that holds on to a worker which was lost during the reclaim.
#[tokio::test(flavor = "multi_thread")]
async fn a_reclaim_goes_on_without_a_worker_that_was_lost() {
    let site = borrowed_site("reclaim-worker", "work_ms=60000 no_checkpoint").await;
    reclaim(&site, 1, "work_ms=1000").await;
    wait_eviction(&site, 1).await;
    site.agents[0].signal(Signal::Kill).expect("it runs");
    let bound = SILENCE + CHECKPOINT_LIMIT + STOP_LIMIT + START_BOUND;
    check_reclaimed(&site, Instant::now(), bound, "worker lost").await;
    let started: Vec<usize> = (0..site.executors.len())
        .filter(|index| AttemptLog::read(&site.executors[*index..=*index]).starts("owned") > 0)
        .collect();
    assert_eq!(started, [1, 2], "on the workers that are left");
    site.check_faults();
}

/// Guards against a guarantee that can't be met and is reported as if it could.
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
        if report["unmet"] == json!(2 * BLOCK) {
            break report;
        }
        assert!(since.elapsed() < GIVE_UP, "not reported: {report}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let cause = report["cause"].as_str().unwrap_or_default();
    assert!(cause.contains("closed"), "{report}");
    site.check_faults();
}
