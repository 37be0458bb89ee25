//! Plays one case of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod executor;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use record::Record;
use site::Site;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("expected: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let broken = match case.as_str() {
        "reborn" => reborn(&record, trouble),
        "late-leave" => late_leave(&record, trouble),
        "crashed" => crashed(&record, trouble),
        "pending" => pending(&record, trouble),
        "evacuated" => evacuated(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match broken {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.line(&format!("BROKEN {line}"));
            }
            println!(
                "{case}: BROKEN in {} places, first: {}",
                broken.len(),
                broken[0]
            );
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            eprintln!("{case}: couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

type Result<T> = std::result::Result<T, String>;

fn ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Submits one job each `gap_ms` for `for_ms`, at the fronts in turn.
fn load(site: &Site, first: u32, for_ms: u64, gap_ms: u64, work_ms: u32) -> u32 {
    let until = Instant::now() + Duration::from_millis(for_ms);
    let mut number = first;
    while Instant::now() < until {
        let id = format!("{number:016x}");
        site.submit(number as usize % site.callers.len(), &id, 1, 1, work_ms);
        number += 1;
        ms(gap_ms);
    }
    number
}

/// Waits until all accepted jobs have completed, or 40 s.
fn wait_for_ends(site: &Site) {
    let until = Instant::now() + Duration::from_secs(40);
    let accepted = site.accepted.lock().unwrap().clone();
    for id in accepted {
        while site.state(0, &id).as_deref() != Some("completed") {
            if Instant::now() > until {
                site.record.line(&format!("{id} has not ended"));
                return;
            }
            ms(100);
        }
    }
}

/// An executor is cut off from its agent for 5.5 s, and crashes and starts again meanwhile, under
/// the id that it had. A start that was meant for the former instance is carried out by the next.
fn reborn(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    let site = Site::start(Arc::clone(record), 3, 6)?;
    let next = load(&site, 1, 3000, 150, 1200);
    let busiest = site
        .executors
        .iter()
        .max_by_key(|executor| executor.running());
    let victim = Arc::clone(busiest.ok_or("no executors")?);
    if trouble {
        victim.set_cut(true);
        let cut_off = Arc::clone(&victim);
        thread::spawn(move || {
            ms(2500);
            cut_off.end("crashed");
            ms(1000);
            cut_off.restart();
            ms(2000);
            cut_off.set_cut(false);
        });
    }
    load(&site, next, 9000, 150, 1200);
    wait_for_ends(&site);
    Ok(site.doubled())
}

/// An executor leaves while its agent is frozen for 4 s, and ends 4 s after its unconfirmed Leave.
fn late_leave(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    let site = Site::start(Arc::clone(record), 3, 6)?;
    load(&site, 1, 3000, 300, 9000);
    let index = (0..site.executors.len()).max_by_key(|&index| site.executors[index].running());
    let index = index.ok_or("no executors")?;
    let victim = &site.executors[index];
    victim.drain();
    ms(2500);
    if trouble {
        record.line(&format!("{} is frozen", site.sides[index].name));
        site.sides[index].signal("STOP");
        ms(100);
    }
    let frozen_at = Instant::now();
    let confirmed = victim.leave();
    if confirmed {
        victim.end("left");
    } else {
        let leaving = Arc::clone(victim);
        thread::spawn(move || {
            ms(4000);
            leaving.end("left");
        });
    }
    if trouble {
        thread::sleep(Duration::from_millis(3900).saturating_sub(frozen_at.elapsed()));
        site.sides[index].signal("CONT");
        record.line(&format!("{} runs again", site.sides[index].name));
    }
    wait_for_ends(&site);
    Ok(site.doubled())
}

/// A machine is lost for good, together with its executor; jobs that are handed in just then are
/// placed on it.
fn pending(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    const JOBS: u32 = 6;
    let mut site = Site::start(Arc::clone(record), 3, 6)?;
    // Shows where the next job is placed.
    let probe = "00000000000000fe";
    if site.submit(0, probe, 1, 1, 100) != Some(200) {
        return Err("the first job was not accepted".to_owned());
    }
    ms(1000);
    let used = site
        .logs
        .lock()
        .unwrap()
        .last()
        .map(|log| log.executor.clone());
    let index = site
        .executors
        .iter()
        .position(|executor| Some(&executor.id) == used.as_ref());
    let index = index.ok_or("no executor has run the first job")?;
    if trouble {
        record.line(&format!(
            "{} and its executor are lost for good",
            site.sides[index].name
        ));
        site.sides[index].kill();
        site.executors[index].end("power lost");
        ms(200);
    }
    for number in 1..=JOBS {
        let id = format!("{number:016x}");
        if site.submit(number as usize % 3, &id, 1, 1, 20_000) != Some(200) {
            return Err(format!("{id} was not accepted"));
        }
    }
    let accepted_at = Instant::now();
    let mut broken = Vec::new();
    while accepted_at.elapsed() < Duration::from_secs(13) {
        ms(500);
        // Counts jobs that were accepted over visible_ms (3 s) and 2 s before.
        if accepted_at.elapsed() < Duration::from_millis(5500) {
            continue;
        }
        for front in 0..site.callers.len() {
            let pending = site.pending(front);
            let waiting = (1..=JOBS).filter(|&number| !site.has_begun(number)).count() as u64;
            record.line(&format!(
                "GET {} at front-{}: pending {pending:?}; {waiting} of {JOBS} jobs have not begun",
                site::PREFIX,
                front + 1
            ));
            if pending.is_some_and(|pending| pending * 2 < waiting) {
                broken.push(format!(
                    "front-{} gives pending {}, {:.1} s after the last of {JOBS} jobs was accepted; {waiting} have not begun",
                    front + 1,
                    pending.unwrap_or(0),
                    accepted_at.elapsed().as_secs_f64()
                ));
            }
        }
    }
    Ok(broken)
}

/// An executor resets all requests for 6.5 s; its zone is evacuated 1 s after that has begun.
fn evacuated(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    let site = Site::start(Arc::clone(record), 3, 6)?;
    // Leaves room on the executor, and no run ends there soon, which would make its agent look.
    let mut next = load(&site, 1, 3000, 600, 9000);
    let busiest = site
        .executors
        .iter()
        .max_by_key(|executor| executor.running());
    let victim = Arc::clone(busiest.ok_or("no executors")?);
    if trouble {
        victim.set_resetting(true);
    }
    // Some of these are placed on the executor before its agent has noticed the failures.
    next = load(&site, next, 1000, 30, 1200);
    let confirmed = site.evacuate(&victim.zone);
    next = load(&site, next, 5500, 150, 1200);
    if trouble {
        victim.set_resetting(false);
    }
    load(&site, next, 3000, 150, 1200);
    wait_for_ends(&site);
    let late = confirmed + Duration::from_millis(5000);
    let logs = site.logs.lock().unwrap();
    let starts = logs
        .iter()
        .filter(|log| log.zone == victim.zone && log.from > late);
    let broken = starts.map(|log| {
        format!(
            "{} run {} starts on {} in {}, {:.3} s after its evacuation was confirmed",
            log.task,
            log.run,
            log.executor,
            log.zone,
            (log.from - confirmed).as_secs_f64()
        )
    });
    Ok(broken.collect())
}

/// An executor crashes while it runs tasks, and no other one is started on its machine for 40 s;
/// the machine and its agent work on.
fn crashed(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>> {
    const JOBS: u32 = 6;
    let site = Site::start(Arc::clone(record), 3, 6)?;
    for number in 1..=JOBS {
        let id = format!("{number:016x}");
        if site.submit(number as usize % 3, &id, 1, 1, 5000) != Some(200) {
            return Err(format!("{id} was not accepted"));
        }
    }
    ms(2000);
    let busiest = site
        .executors
        .iter()
        .max_by_key(|executor| executor.running());
    let victim = Arc::clone(busiest.ok_or("no executors")?);
    if trouble {
        victim.end("crashed");
    }
    // The traffic ends here; from finish_s (14 s) after that, no open job may have nothing running
    // for 3 s.
    let traffic_ended_at = Instant::now();
    ms(14_000);
    let mut idle: Vec<u32> = (1..=JOBS).collect();
    while traffic_ended_at.elapsed() < Duration::from_millis(17_200) {
        idle.retain(|&number| !site.is_running(number));
        ms(50);
    }
    let mut broken = Vec::new();
    for number in idle {
        let id = format!("{number:016x}");
        let state = site.state(number as usize % 3, &id);
        record.line(&format!("GET {id}: {state:?}; nothing of it runs"));
        if state.as_deref() != Some("completed") {
            broken.push(format!(
                "{id} ({}) has had nothing running from 14 s to 17 s after the end of the traffic; 5 of 6 executors are idle",
                state.unwrap_or_else(|| "no answer".to_owned())
            ));
        }
    }
    if trouble {
        thread::sleep(Duration::from_secs(40).saturating_sub(traffic_ended_at.elapsed()));
        victim.restart();
        victim.beat();
    }
    wait_for_ends(&site);
    record.line(&format!(
        "all jobs have ended, or were waited for, {:.1} s after the end of the traffic",
        traffic_ended_at.elapsed().as_secs_f64()
    ));
    Ok(broken)
}
