//! The cases. Each starts a small site, brings about its disruption and judges what the clients,
//! the executors and the store have seen.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::executor::Executor;
use crate::executor::Run;
use crate::record;
use crate::site;
use crate::site::BATCH_PREFIX;
use crate::site::DEADLINE;
use crate::site::KEY;
use crate::site::SECOND_KEY;
use crate::site::SIGKILL;
use crate::site::Site;
use crate::site::job;
use crate::store::writes_key;

type Result = std::result::Result<Verdict, Box<dyn std::error::Error>>;

/// `finish_s` of the sites.
const FINISH: Duration = Duration::from_secs(14);

/// Time without a run of a job whose task's turn has come that breaks LOST.
const IDLE: Duration = Duration::from_secs(3);

const A: &str = "00000000000000a1";
const B: &str = "00000000000000b2";

pub fn run(case: &str, trouble: bool) -> Result {
    match case {
        "many-ends" => many_ends(trouble),
        "refusal" => refusal(trouble),
        "long-id" => long_id(trouble),
        "failed-once" => failed_once(trouble),
        "long-task" => long_task(trouble),
        "lasting" => lasting(trouble),
        "many-starts" => many_starts(trouble),
        "many-steps" => many_steps(trouble),
        "wide-gang" => wide_gang(trouble),
        "tenant-name" => tenant_name(trouble),
        _ => Err("no such case".into()),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn pause(time: f64) {
    thread::sleep(seconds(time));
}

/// Waits until `condition` holds; an error after `limit`.
fn wait_for(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > limit {
            return Err(format!("timed out: {what}").into());
        }
        thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

fn runs_of(executors: &[&Executor], job: &str) -> Vec<Run> {
    let mut runs: Vec<Run> = executors
        .iter()
        .flat_map(|executor| executor.runs())
        .collect();
    runs.retain(|run| run.task.starts_with(job));
    runs.sort_by_key(|run| run.started);
    runs
}

fn end(run: &Run) -> Instant {
    run.ended.map_or_else(Instant::now, |(at, _)| at)
}

fn record_runs(runs: &[Run]) {
    for run in runs {
        let ended = run.ended.map_or("still runs".to_owned(), |(at, how)| {
            format!("{how} at {:.3}", record::seconds(at))
        });
        record!(
            "run: {} run {} on {} from {:.3}, {ended}",
            run.task,
            run.number,
            run.executor,
            record::seconds(run.started)
        );
    }
}

/// The longest time between `from` and `to` in which none of the runs was running.
fn longest_idle(runs: &[Run], from: Instant, to: Instant) -> Duration {
    let mut runs: Vec<(Instant, Instant)> =
        runs.iter().map(|run| (run.started, end(run))).collect();
    runs.sort();
    let mut idle_since = from;
    let mut longest = Duration::ZERO;
    for (started, ended) in runs.into_iter().chain([(to, to)]) {
        let started = started.clamp(from, to);
        longest = longest.max(started.saturating_duration_since(idle_since));
        idle_since = idle_since.max(ended.min(to));
    }
    record!(
        "longest time with nothing running: {:.3} s",
        longest.as_secs_f64()
    );
    longest
}

/// All fronts are killed, an executor meanwhile ends more runs than one answer lists, and the store
/// loses an answer when they are back.
fn many_ends(trouble: bool) -> Result {
    const TASKS: u64 = 520;
    let site = Site::new(&[0.25, 0.25], 1)?;
    let mut fronts = vec![site.start_front(0)?, site.start_front(1)?];
    let _side = site.start_side(0)?;
    let executor = Executor::start("i-1", site.sides[0].control);
    pause(2.0);
    if !site.submit(0, A, &job("work_ms=6000", TASKS, 100, 0, 6000, "")) {
        return Err("the job was not accepted".into());
    }
    wait_for("all tasks run", seconds(20.0), || {
        executor.runs().len() as u64 >= TASKS
    })?;
    pause(2.0);
    if trouble {
        for front in &fronts {
            front.signal(SIGKILL);
        }
        fronts.clear();
        // Until all tasks have ended and the agent has read the lists again.
        pause(6.5);
        let lost = AtomicBool::new(false);
        site.store.set_lost(move |_, req| {
            let loses = writes_key(req, &format!("rattanwinch/progress/{A}"))
                && !lost.swap(true, Ordering::SeqCst);
            if loses {
                record!("the store loses the answer to a write");
            }
            loses
        });
        fronts.push(site.start_front(0)?);
        fronts.push(site.start_front(1)?);
    }
    pause(4.0);
    wait_for("the job is done", seconds(60.0), || {
        pause(0.2);
        let state = site.call(0, "GET", A, "", DEADLINE);
        state.is_some_and(|(_, body)| body.get("state").text() == "completed")
    })?;
    let runs = runs_of(&[&executor], A);
    record_runs(&runs);
    let noted = executor.acknowledged();
    let again = runs.iter().filter(|run| {
        runs.iter().any(|earlier| {
            let done_before = matches!(earlier.ended, Some((at, "done")) if at < run.started);
            earlier.task == run.task && done_before && earlier.end_sequence <= noted
        })
    });
    let again = again.count();
    // An end isn't taken note of if the lease ran out between it and its acknowledgement.
    let lapsed = executor.has_lapsed();
    record!("starts after an end `done` that is acknowledged: {again}; lease lapsed: {lapsed}");
    Ok(if again > 0 && !lapsed {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// A key is taken away, and right after that the front that schedules is killed. It has stored a
/// job that came with the key, and not answered yet.
fn refusal(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 1)?;
    let mut fronts = [site.start_front(0)?, site.start_front(1)?];
    let _side = site.start_side(0)?;
    let executor = Executor::start("i-1", site.sides[0].control);
    let leader = Arc::new(AtomicUsize::new(usize::MAX));
    let seen = Arc::clone(&leader);
    site.store.set_before(move |address, req| {
        if writes_key(req, "rattanwinch/leader") {
            seen.store(address, Ordering::SeqCst);
        }
    });
    if !site.submit(0, A, &job("work_ms=200", 1, 1000, 1, 200, "")) {
        return Err("the first job was not accepted".into());
    }
    pause(2.0);
    let leader = leader.load(Ordering::SeqCst);
    let stored = Arc::new(AtomicBool::new(false));
    let was_stored = Arc::clone(&stored);
    let store = site.store.clone();
    site.store.set_after(move |_, req| {
        if writes_key(req, &format!("rattanwinch/job/{B}")) && !was_stored.load(Ordering::SeqCst) {
            record!("the store has the job; the operator takes its key away");
            store.put("op/config", &site::config(2, &[KEY]));
            was_stored.store(true, Ordering::SeqCst);
            if trouble {
                // The answer would follow after the process has been killed.
                thread::sleep(Duration::from_millis(60));
            }
        }
    });
    let callers = site.fronts[1 - leader].callers;
    let body = job("work_ms=2000", 1, 1000, 1, 2000, "");
    let submit = move || site::call(callers, "POST", B, SECOND_KEY, &body, DEADLINE);
    let first = thread::spawn(submit.clone());
    wait_for("the job is stored", seconds(3.0), || {
        stored.load(Ordering::SeqCst)
    })?;
    if trouble {
        fronts[leader].signal(SIGKILL);
    }
    let mut answers = vec![first.join().map_err(|_| "the client failed")?];
    pause(1.0);
    if trouble {
        fronts[leader] = site.start_front(leader)?;
    }
    // A consumer tries again unless its job was accepted.
    while answers.len() < 3 && !matches!(answers.last(), Some(Some((200, _)))) {
        answers.push(submit());
        pause(0.5);
    }
    let rejections = [400, 401, 403, 404, 429, 503];
    let is_rejection = |answer: &Option<(u16, _)>| matches!(answer, Some((status, _)) if rejections.contains(status));
    let all_rejected = answers.iter().all(is_rejection);
    let _ = wait_for("the job runs", seconds(15.0), || {
        !runs_of(&[&executor], B).is_empty()
    });
    let runs = runs_of(&[&executor], B);
    record_runs(&runs);
    record!(
        "all attempts rejected: {all_rejected}; runs: {}",
        runs.len()
    );
    let broken = all_rejected && !runs.is_empty();
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// A consumer sends one submission whose id is far too long.
fn long_id(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 1)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _side = site.start_side(0)?;
    let executor = Executor::start("i-1", site.sides[0].control);
    pause(2.0);
    let steps = format!(
        r#"{{"spec":"work_ms=3000","phases":[{},{}]}}"#,
        r#"{"count":1,"cpu":1000,"gpu":1,"estimate_ms":3000}"#,
        r#"{"count":1,"cpu":1000,"gpu":1,"estimate_ms":3000,"after":[0]}"#
    );
    if !site.submit(0, A, &steps) {
        return Err("the first job was not accepted".into());
    }
    wait_for("the first step runs", seconds(10.0), || {
        !executor.runs().is_empty()
    })?;
    if trouble {
        let id = "00000000000000d4".repeat(14);
        site.call(
            0,
            "POST",
            &id,
            &job("work_ms=100", 1, 1000, 1, 100, ""),
            DEADLINE,
        );
    }
    let answer = site.call(
        1,
        "POST",
        B,
        &job("work_ms=1000", 1, 1000, 1, 1000, ""),
        DEADLINE,
    );
    let accepted = matches!(answer, Some((200, _)));
    let from = Instant::now() + FINISH;
    let to = from + seconds(10.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    let state = site.call(1, "GET", A, "", DEADLINE);
    let runs = runs_of(&[&executor], A);
    record_runs(&runs);
    let completed = state.is_some_and(|(_, body)| body.get("state").text() == "completed");
    record!("the later job was accepted: {accepted}; the first one is completed: {completed}");
    let lost = !completed && longest_idle(&runs, from, to) >= IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// A task fails once on one executor, and the other one is busy for long.
fn failed_once(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 2)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _sides = [site.start_side(0)?, site.start_side(1)?];
    let first = Executor::start("i-1", site.sides[0].control);
    let second = Executor::start("i-2", site.sides[1].control);
    pause(3.0);
    if !site.submit(0, A, &job("work_ms=80000", 1, 26_000, 5, 80_000, "")) {
        return Err("the first job was not accepted".into());
    }
    wait_for("the first job runs", seconds(10.0), || {
        !runs_of(&[&first, &second], A).is_empty()
    })?;
    let spec = if trouble {
        "work_ms=2000 fail_runs=1"
    } else {
        "work_ms=2000"
    };
    if !site.submit(0, B, &job(spec, 1, 26_000, 4, 2000, "")) {
        return Err("the second job was not accepted".into());
    }
    let traffic_ended = Instant::now();
    let from = traffic_ended + FINISH;
    let to = from + seconds(10.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    let state = site.call(0, "GET", B, "", DEADLINE);
    let is_final = state.is_some_and(|(_, body)| {
        ["completed", "failed", "cancelled"].contains(&body.get("state").text())
    });
    let runs = runs_of(&[&first, &second], B);
    record_runs(&runs_of(&[&first, &second], A));
    record_runs(&runs);
    let lost = !is_final && longest_idle(&runs, from, to) >= IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// A task that takes ten minutes.
fn long_task(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 2)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _sides = [site.start_side(0)?, site.start_side(1)?];
    let first = Executor::start("i-1", site.sides[0].control);
    let second = Executor::start("i-2", site.sides[1].control);
    pause(3.0);
    let minutes = if trouble { 10 } else { 2 };
    let spec = format!("work_ms={}", minutes * 60_000);
    if !site.submit(0, A, &job(&spec, 1, 26_000, 4, minutes * 60_000, "")) {
        return Err("the job was not accepted".into());
    }
    let from = Instant::now() + FINISH;
    let to = from + seconds(50.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    let runs = runs_of(&[&first, &second], A);
    record_runs(&runs);
    let lost = longest_idle(&runs, from, to) >= IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// Tasks that last fail from time to time.
fn lasting(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 2)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _sides = [site.start_side(0)?, site.start_side(1)?];
    let first = Executor::start("i-1", site.sides[0].control);
    let second = Executor::start("i-2", site.sides[1].control);
    pause(3.0);
    let spec = if trouble {
        "work_ms=5000 fail_runs=1000"
    } else {
        "work_ms=200000"
    };
    for id in [A, B] {
        if !site.submit(0, id, &job(spec, 2, 1000, 1, 0, r#""long_running":true"#)) {
            return Err("the job was not accepted".into());
        }
    }
    pause(80.0);
    let now = Instant::now();
    let all = runs_of(&[&first, &second], "");
    record_runs(&all);
    let mut longest = Duration::ZERO;
    for id in [A, B] {
        for index in 0..2 {
            let task = format!("{id}.0.0.{index}");
            let runs: Vec<Run> = all.iter().filter(|run| run.task == task).cloned().collect();
            let begun = runs.first().map_or(now, |run| run.started);
            longest = longest.max(longest_idle(&runs, begun, now));
        }
    }
    let lost = longest >= seconds(6.0) + IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// A wide job of small tasks with a long specification.
fn many_starts(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 1)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _side = site.start_side(0)?;
    let executor = Executor::start("i-1", site.sides[0].control);
    pause(2.0);
    let spec = format!(
        "work_ms=3000 {}",
        "x".repeat(if trouble { 3980 } else { 100 })
    );
    if !site.submit(0, A, &job(&spec, 300, 100, 0, 3000, "")) {
        return Err("the job was not accepted".into());
    }
    let from = Instant::now() + FINISH;
    let to = from + seconds(10.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    let state = site.call(0, "GET", A, "", DEADLINE);
    let completed = state.is_some_and(|(_, body)| body.get("state").text() == "completed");
    let runs = runs_of(&[&executor], A);
    record!("runs: {}; completed: {completed}", runs.len());
    let lost = !completed && longest_idle(&runs, from, to) >= IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// A job of many small steps that may all start at once.
fn many_steps(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 1)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _side = site.start_side(0)?;
    let executor = Executor::start("i-1", site.sides[0].control);
    pause(2.0);
    if !site.submit(0, A, &job("work_ms=50000", 1, 1000, 1, 50_000, "")) {
        return Err("the first job was not accepted".into());
    }
    wait_for("the first job runs", seconds(10.0), || {
        !executor.runs().is_empty()
    })?;
    let count = if trouble { 4000 } else { 20 };
    let steps = vec![r#"{"count":1,"cpu":100}"#; count].join(",");
    let wide = format!(r#"{{"spec":"work_ms=100","phases":[{steps}]}}"#);
    site.call(1, "POST", B, &wide, DEADLINE);
    let from = Instant::now() + FINISH;
    let to = from + seconds(15.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    let short = job("work_ms=100", 1, 1000, 1, 100, "");
    site.call(0, "POST", "00000000000000c3", &short, DEADLINE);
    for id in [A, B] {
        site.call(0, "GET", id, "", DEADLINE);
    }
    let runs = runs_of(&[&executor], A);
    record_runs(&runs);
    record!(
        "runs of the job of many steps: {}",
        runs_of(&[&executor], B).len()
    );
    let lost = longest_idle(&runs, from, to) >= IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// A gang that needs all executors waits for one that is a little busy.
fn wide_gang(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 3)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _sides = [
        site.start_side(0)?,
        site.start_side(1)?,
        site.start_side(2)?,
    ];
    let executors = [0, 1, 2]
        .map(|index| Executor::start(&format!("i-{}", index + 1), site.sides[index].control));
    let all: Vec<&Executor> = executors.iter().collect();
    pause(3.0);
    let batch = |id: &str| format!("{BATCH_PREFIX}{id}");
    let lasting = job("work_ms=1000000", 1, 1000, 1, 0, r#""long_running":true"#);
    if !site.submit(0, &batch(A), &lasting) {
        return Err("the lasting job was not accepted".into());
    }
    wait_for("the lasting job runs", seconds(10.0), || {
        !runs_of(&all, A).is_empty()
    })?;
    if trouble {
        let gang = job(
            "work_ms=8000",
            3,
            26_000,
            8,
            8000,
            r#""gang_scheduled":true"#,
        );
        if !site.submit(0, "00000000000000c3", &gang) {
            return Err("the gang was not accepted".into());
        }
        pause(2.0);
    }
    if !site.submit(0, &batch(B), &job("work_ms=8000", 1, 5600, 1, 8000, "")) {
        return Err("the small job was not accepted".into());
    }
    let from = Instant::now() + FINISH;
    let to = from + seconds(30.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    // Each executor has 8 accelerators, of which the lasting job uses one.
    let state = site.call(0, "GET", &batch(B), "", DEADLINE);
    let completed = state.is_some_and(|(_, body)| body.get("state").text() == "completed");
    let runs = runs_of(&all, B);
    record_runs(&runs_of(&all, ""));
    let lost = !completed && longest_idle(&runs, from, to) >= IDLE;
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}

/// A version of the manifest adds a tenant whose name isn't plain ASCII.
fn tenant_name(trouble: bool) -> Result {
    let site = Site::new(&[0.25, 0.25], 1)?;
    let _fronts = [site.start_front(0)?, site.start_front(1)?];
    let _side = site.start_side(0)?;
    let executor = Executor::start("i-1", site.sides[0].control);
    pause(2.0);
    let steps = format!(
        r#"{{"spec":"work_ms=6000","phases":[{},{}]}}"#,
        r#"{"count":1,"cpu":1000,"gpu":1,"estimate_ms":6000}"#,
        r#"{"count":1,"cpu":1000,"gpu":1,"estimate_ms":6000,"after":[0]}"#
    );
    if !site.submit(0, A, &steps) {
        return Err("the first job was not accepted".into());
    }
    record!("the operator adds a tenant");
    let name = if trouble {
        "Létrafa Kft."
    } else {
        "letrafa-kft"
    };
    site.store
        .put("op/config", &site::config_with_tenant(2, name));
    pause(5.0);
    let answer = site.call(
        1,
        "POST",
        B,
        &job("work_ms=1000", 1, 1000, 1, 1000, ""),
        DEADLINE,
    );
    let accepted = matches!(answer, Some((200, _)));
    let from = Instant::now() + FINISH;
    let to = from + seconds(10.0);
    thread::sleep(to.saturating_duration_since(Instant::now()));
    let state = site.call(1, "GET", A, "", DEADLINE);
    let completed = state.is_some_and(|(_, body)| body.get("state").text() == "completed");
    let runs = runs_of(&[&executor], A);
    record_runs(&runs);
    let lost = !completed && longest_idle(&runs, from, to) >= IDLE;
    record!("the later job was accepted: {accepted}; the first one is completed: {completed}");
    Ok(if lost { Verdict::Broken } else { Verdict::Held })
}
