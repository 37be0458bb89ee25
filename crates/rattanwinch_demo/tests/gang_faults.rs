//! Tests that no gang runs partially while agents and entries are killed, suspended and replaced;
//! the executors' records show what ran.

use std::time::Duration;
use std::time::Instant;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rattanwinch_demo::SiteSize;
use rattanwinch_demo::testing::AttemptLog;
use rattanwinch_demo::testing::ProcessSite;
use rattanwinch_demo::testing::Signal;
use rattanwinch_demo::testing::gang_body;
use rattanwinch_demo::testing::wait_until;
use rattanwinch_standins::StoreFaults;
use rattanwinch_types::AcceleratorSet;
use serde_json::json;

/// The time limit for a job that fits to start on an idle site.
const START_BOUND: Duration = Duration::from_secs(5);

/// The time limit for survivors of a gang to stop: a member is considered lost after 3 s without
/// heartbeats, with checks every 50 ms, and the survivors stop within 1 s of that.
const SURVIVOR_BOUND: Duration = Duration::from_millis(4100);

/// The time limit for an isolated member to end: its task lease of 30 s.
const LEASE_BOUND: Duration = Duration::from_secs(30);

/// The duration of a gang's holds.
const HOLD_BOUND: Duration = Duration::from_secs(5);

async fn site(name: &str, entries: usize) -> ProcessSite {
    let size = SiteSize {
        zones: 1,
        targets: 6,
        slots: 2,
        entries,
    };
    let site = ProcessSite::start(name, size).await.expect("site starts");
    site.run_first_job().await;
    site
}

trait RunFirstJob {
    async fn run_first_job(&self);
}

impl RunFirstJob for ProcessSite {
    /// Runs a gang on all workers, so that the zone has a decider that has adopted every worker.
    async fn run_first_job(&self) {
        let body = gang_body("first", 6, "work_ms=1");
        let accepted = self.submit_job(0, &body).await;
        assert_eq!(accepted.status, 202, "{accepted:?}");
        self.wait_for_job(0, "first", START_BOUND * 4).await;
    }
}

/// Returns the indices of the workers on which an attempt has started tasks, in task order.
fn started_workers(site: &ProcessSite, id: &str, attempt: u32) -> Vec<usize> {
    let mut found = Vec::new();
    for (index, executor) in site.executors.iter().enumerate() {
        for run in executor.task_runs() {
            let key = &run.member.attempt;
            if key.key.id.as_str() == id && key.attempt == attempt {
                found.push((run.member.index, index));
            }
        }
    }
    found.sort_unstable();
    found.into_iter().map(|(_, worker)| worker).collect()
}

async fn wait_until_all_run(site: &ProcessSite, id: &str, tasks: usize) {
    let started = || AttemptLog::read(&site.executors).start_count(id) == tasks;
    wait_until(START_BOUND, "the gang runs", started).await;
}

/// Guards against survivors that keep running without a lost member, an isolated member that
/// outlives its lease, an attempt that overlaps the previous one, and a suspended agent that starts
/// or renews a task after it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn a_running_gang_that_loses_a_member_ends_as_a_whole() {
    let site = site("lost-member", 1).await;
    let mut non_idempotent = gang_body("frozen", 2, "work_ms=60000");
    non_idempotent["idempotent"] = json!(false);
    for body in [gang_body("killed", 2, "work_ms=60000"), non_idempotent] {
        assert_eq!(site.submit_job(0, &body).await.status, 202);
    }
    wait_until_all_run(&site, "killed", 2).await;
    wait_until_all_run(&site, "frozen", 2).await;
    let lost = started_workers(&site, "killed", 1)[0];
    let suspended = started_workers(&site, "frozen", 1)[0];
    let fault_at = Instant::now();
    site.agents[lost].signal(Signal::Kill).expect("it runs");
    site.agents[suspended]
        .signal(Signal::Stop)
        .expect("it runs");
    let ended = |id: &str, index: usize| {
        let attempts = AttemptLog::read(&site.executors).attempts(id);
        let mut runs = attempts[&1].iter();
        let run = runs.find(|run| usize::from(run.member.index) == index);
        run.and_then(|run| run.ended_at)
    };
    for id in ["killed", "frozen"] {
        wait_until(SURVIVOR_BOUND, "the survivor stopped", || {
            ended(id, 1).is_some()
        })
        .await;
        println!(
            "{id}: survivor stopped after {:?}",
            ended(id, 1).map(|at| at - fault_at)
        );
    }
    let isolated = || ended("killed", 0).is_some() && ended("frozen", 0).is_some();
    wait_until(LEASE_BOUND, "the isolated members ended", isolated).await;
    for id in ["killed", "frozen"] {
        println!(
            "{id}: isolated member ended after {:?}",
            ended(id, 0).map(|at| at - fault_at)
        );
    }
    site.agents[suspended]
        .signal(Signal::Continue)
        .expect("it is suspended");
    let retried = || AttemptLog::read(&site.executors).attempts("killed").len() == 2;
    // The lease may begin as late as the end of the holds, the latest time of a release.
    let next_bound = HOLD_BOUND + START_BOUND;
    wait_until(next_bound, "the next attempt runs", retried).await;
    let answer = site.wait_for_job(0, "frozen", START_BOUND).await;
    assert_eq!(
        answer["error"]["verdict"],
        json!("may_have_run"),
        "{answer}"
    );
    let log = AttemptLog::read(&site.executors);
    log.check("killed", 2, Duration::ZERO);
    log.check("frozen", 2, Duration::ZERO);
    assert_eq!(log.start_count("frozen"), 2, "one attempt");
    site.assert_no_faults();
}

/// Guards against an attempt that is considered ended while a slow executor still runs one of its
/// tasks, so that the next attempt would overlap it.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_ends_only_when_its_executor_has_stopped_it() {
    let site = site("slow-stop", 1).await;
    let body = gang_body("slow", 1, "work_ms=60000");
    assert_eq!(site.submit_job(0, &body).await.status, 202);
    wait_until_all_run(&site, "slow", 1).await;
    let worker = started_workers(&site, "slow", 1)[0];
    site.executors[worker].set_task_delay(Duration::from_millis(1500));
    assert!(site.cancel_job(0, "slow").await);
    site.wait_for_job(0, "slow", START_BOUND * 2).await;
    let attempts = AttemptLog::read(&site.executors).attempts("slow");
    let ended = attempts[&1].iter().all(|run| run.ended_at.is_some());
    assert!(ended, "the job is finished but its task still runs");
    site.assert_no_faults();
}

/// Guards against a gang that runs partially for longer than its holds last, and against a release
/// that starts a task after its agent was suspended beyond the hold.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_is_lost_between_hold_and_release_never_starts_late() {
    let site = site("held-member", 1).await;
    for (round, signal) in [Signal::Stop, Signal::Kill].into_iter().enumerate() {
        let id = format!("held-{round}");
        // A slow commit makes the holds observable before the release.
        site.store.set_faults(StoreFaults {
            delay_ms: 600,
            ..StoreFaults::default()
        });
        let mut body = gang_body(&id, 4, "work_ms=60000");
        body["idempotent"] = json!(false);
        let accepted = site.submit_job(0, &body).await;
        assert_eq!(accepted.status, 202, "{accepted:?}");
        let held = || -> Vec<usize> {
            let uses_accelerators =
                |index: &usize| site.executors[*index].used_accelerators() != AcceleratorSet::EMPTY;
            (0..site.executors.len())
                .filter(uses_accelerators)
                .collect()
        };
        wait_until(START_BOUND, "the gang is held", || held().len() == 4).await;
        let lost = held()[0];
        site.agents[lost].signal(signal).expect("it runs");
        assert_eq!(
            AttemptLog::read(&site.executors).start_count(&id),
            0,
            "too late"
        );
        site.store.set_faults(StoreFaults::default());
        let answer = site
            .wait_for_job(0, &id, LEASE_BOUND + START_BOUND * 2)
            .await;
        println!("{id}: {answer}");
        if signal == Signal::Stop {
            site.agents[lost]
                .signal(Signal::Continue)
                .expect("it is suspended");
        }
        let free = || held().is_empty();
        wait_until(START_BOUND, "all accelerators are free", free).await;
        let log = AttemptLog::read(&site.executors);
        // The release is abandoned when 2 s of the holds remain; survivors stop 1 s later.
        log.check(&id, 4, HOLD_BOUND);
        assert!(log.attempts(&id).len() <= 1, "a second attempt: {log:?}");
        let verdict = answer["error"]["verdict"].as_str();
        let not_run = verdict == Some("not_run");
        assert!(
            verdict.is_some() && !(not_run && log.start_count(&id) > 0),
            "{answer}"
        );
    }
    site.assert_no_faults();
}

/// The number of jobs in the randomised test.
const JOBS: usize = 36;

/// Guards against gangs that run partially, twice at the same time or again although they are not
/// idempotent, and against lost jobs and wrong verdicts, when entries are killed, suspended and
/// replaced between any two messages of a start.
#[tokio::test(flavor = "multi_thread")]
async fn gangs_survive_killed_and_suspended_entries_at_any_time() {
    let seed = 20_261_204;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = site("chaos", 3).await;
    let mut recorded = Vec::new();
    let mut suspended: Option<usize> = None;
    for n in 0..JOBS {
        let id = format!("job-{n}");
        let tasks = rng.random_range(1..=4);
        let mut body = gang_body(
            &id,
            tasks,
            &format!("work_ms={}", rng.random_range(50..600)),
        );
        body["idempotent"] = json!(n % 2 == 0);
        let running_entry = (0..3).find(|index| Some(*index) != suspended).unwrap_or(0);
        let answer = site.submit_job(running_entry, &body).await;
        let verdict = answer.verdict().to_owned();
        if answer.status != 202 {
            println!("{id}: {answer:?}");
        }
        recorded.push((
            id,
            usize::try_from(tasks).expect("small"),
            answer.status,
            verdict,
        ));
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..120))).await;
        if n % 6 != 5 {
            continue;
        }
        if let Some(index) = suspended.take() {
            site.entries[index]
                .signal(Signal::Continue)
                .expect("it is suspended");
        }
        let decider = site.decider("az-1").await.expect("the zone has a decider");
        if rng.random_bool(0.5) {
            site.entries[decider].signal(Signal::Stop).expect("it runs");
            suspended = Some(decider);
        } else {
            site.entries[decider].signal(Signal::Kill).expect("it runs");
            site.entries[decider] = site.start_entry(decider).expect("a new entry starts");
        }
    }
    if let Some(index) = suspended {
        site.entries[index]
            .signal(Signal::Continue)
            .expect("it is suspended");
    }
    for (n, (id, tasks, status, verdict)) in recorded.iter().enumerate() {
        let log = AttemptLog::read(&site.executors);
        if *status != 202 && verdict == "not_run" {
            assert_eq!(log.start_count(id), 0, "{id} was refused as not run");
            continue;
        }
        let answer = site.wait_for_job(n % 3, id, LEASE_BOUND * 2).await;
        let log = AttemptLog::read(&site.executors);
        log.check(id, *tasks, HOLD_BOUND);
        let answers = answer["answers"].as_array().map(Vec::len);
        let idempotent = n % 2 == 0;
        if idempotent || answers.is_some() {
            assert_eq!(answers, Some(*tasks), "{id}: {answer}");
        } else {
            println!("{id}: {answer}");
            let not_run = answer["error"]["verdict"] == json!("not_run");
            assert!(!(not_run && log.start_count(id) > 0), "{id}: {answer}");
        }
        assert!(idempotent || log.attempts(id).len() <= 1, "{id} ran twice");
    }
    site.assert_no_faults();
}
