//! The sentence that a trace ends with.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::LogLine;
use crate::Trace;
use crate::TraceLine;
use crate::trace::DONE_COMMIT;
use crate::trace::UNANSWERED_COMMIT;
use crate::trace::commit;

/// A shorter wait isn't worth a word: it is below the objective of the users' quickest queue, for
/// which 250 ms and half of its run time are allowed.
const WORTH_TELLING_MS: f64 = 300.0;

pub(crate) fn cause(trace: &Trace) -> String {
    let job = &trace.job;
    let own: Vec<&TraceLine> = trace
        .lines
        .iter()
        .filter(|line| line.line.names(job))
        .collect();
    let taken = own.iter().find(|line| line.line.event == "job taken");
    let ended = own.iter().rev().find(|line| line.line.event == "job ended");
    let state = ended.and_then(|line| line.line.text("state"));
    match (taken, state.as_deref()) {
        (None, None) => refused(trace, &own),
        (_, Some("Failed")) => failed(trace, &own),
        (taken, Some("Cancelled")) => cancelled(trace, taken.copied()),
        (taken, Some(_)) => {
            let took = taken
                .zip(ended)
                .map(|(taken, ended)| ended.at_ms - taken.at_ms);
            let took = took.map_or_else(String::new, |took| format!(" after {}", seconds(took)));
            format!("job {job} was completed{took}{}", delays(trace, &own))
        }
        (Some(_), None) => {
            format!(
                "job {job} hasn't ended in these logs{}",
                delays(trace, &own)
            )
        }
    }
}

fn seconds(millis: f64) -> String {
    format!("{:.1} s", millis / 1000.0)
}

fn events<'t>(trace: &'t Trace, event: &'static str) -> impl Iterator<Item = &'t TraceLine> {
    trace
        .lines
        .iter()
        .filter(move |line| line.line.event == event)
}

fn refused(trace: &Trace, own: &[&TraceLine]) -> String {
    let job = &trace.job;
    let Some(last) = own
        .iter()
        .rev()
        .find(|line| line.line.event == "call refused")
    else {
        return format!("job {job} is named in these logs, but they don't tell that it was taken");
    };
    let reason = last.line.text("reason").unwrap_or_default();
    let action = last.line.text("action").unwrap_or_default();
    let why = if reason.contains("key") {
        change_of_orders(trace, last)
    } else if reason.contains("run") {
        without_scheduler(trace)
    } else {
        String::new()
    };
    format!("the call ({action}) for job {job} was refused: {reason}{why}")
}

/// The operators' orders that came into force before a refusal.
fn change_of_orders(trace: &Trace, refusal: &TraceLine) -> String {
    let before = events(trace, "operators' orders taken over");
    let before = before.filter(|line| line.at_ms <= refusal.at_ms).last();
    let version = before.and_then(|line| line.line.text("version"));
    version.map_or_else(String::new, |version| {
        format!("; version {version} of the operators' orders was in force")
    })
}

/// Why nobody scheduled, as far as the logs tell.
fn without_scheduler(trace: &Trace) -> String {
    for (event, why) in [
        (
            "lease not renewed",
            "the store didn't renew the scheduler's lease",
        ),
        ("lease ended", "the scheduler's lease had ended"),
        (
            "commit unanswered, sent again",
            "the store didn't answer the scheduler's writes",
        ),
        ("scheduler lost", "no scheduler could be reached"),
        ("no longer scheduling", "the scheduler had stopped"),
    ] {
        if let Some(line) = events(trace, event).next() {
            let error = line.line.text("error");
            let error = error.map_or_else(String::new, |error| format!(" ({error})"));
            return format!("; {why}{error}");
        }
    }
    String::new()
}

/// The targets on which runs of the job ended in some way, with how many did.
fn ends(own: &[&TraceLine], reason: &str) -> BTreeMap<String, usize> {
    let mut targets = BTreeMap::new();
    for line in own {
        let matches =
            line.line.event == "run ended" && line.line.text("reason").as_deref() == Some(reason);
        if matches && let Some(target) = line.line.text("target") {
            *targets.entry(target).or_default() += 1;
        }
    }
    targets
}

fn failed(trace: &Trace, own: &[&TraceLine]) -> String {
    let job = &trace.job;
    let failures = ends(own, "Failed");
    let runs: usize = failures.values().sum();
    let quarantined = quarantined(trace);
    let bad: Vec<_> = failures
        .keys()
        .filter(|target| quarantined.contains(*target))
        .collect();
    let why = match (failures.len(), bad.as_slice()) {
        (_, [bad]) if failures.len() == 1 => {
            format!("all on target {bad}, which also failed the runs of other jobs")
        }
        (1, _) => "all on one target".to_owned(),
        (targets, _) => format!("on {targets} different targets, so the fault is the job's own"),
    };
    format!("job {job} failed: {runs} of its runs ended as failed, {why}")
}

fn quarantined(trace: &Trace) -> BTreeSet<String> {
    let lines = events(trace, "target quarantined");
    lines.filter_map(|line| line.line.text("target")).collect()
}

fn cancelled(trace: &Trace, taken: Option<&TraceLine>) -> String {
    let job = &trace.job;
    let cancelled = events(trace, "job cancelled").find(|line| line.line.is_of(job));
    let after = taken
        .zip(cancelled)
        .map(|(taken, at)| at.at_ms - taken.at_ms);
    let after = after.map_or_else(String::new, |after| {
        format!(" {} after it was taken", seconds(after))
    });
    format!("job {job} was cancelled by its caller{after}")
}

/// What held a job up: who scheduled, what was lost, then what it waited for.
fn delays(trace: &Trace, own: &[&TraceLine]) -> String {
    let mut delays = Vec::new();
    delays.extend(change_of_scheduler(trace, own));
    delays.extend(lost_runs(trace, own));
    delays.extend(without_advice(own));
    delays.extend(unanswered_orders(trace));
    delays.extend(longest_wait(trace, own));
    delays.extend(late_commit(trace, own));
    if delays.is_empty() {
        return "; nothing held it up".to_owned();
    }
    format!("; {}", delays.join("; "))
}

/// An end that was known and couldn't be shown, since it wasn't durable yet. Writes follow each
/// other, so it doesn't matter which of them holds the end.
fn late_commit(trace: &Trace, own: &[&TraceLine]) -> Option<String> {
    let ended = own.iter().find(|line| line.line.event == "job ended")?;
    let mut unanswered = events(trace, UNANSWERED_COMMIT);
    unanswered.find_map(|sent| {
        let done = events(trace, DONE_COMMIT).find(|done| commit(done) == commit(sent))?;
        let late = done.at_ms - ended.at_ms;
        let held_up = sent.at_ms <= ended.at_ms + WORTH_TELLING_MS && late >= WORTH_TELLING_MS;
        held_up.then(|| {
            let error = sent.line.text("error").unwrap_or_default();
            format!(
                "its end could be shown only {} later, since the store didn't answer ({error})",
                seconds(late)
            )
        })
    })
}

fn longest_wait(trace: &Trace, own: &[&TraceLine]) -> Option<String> {
    let job = &trace.job;
    let placed = own
        .iter()
        .filter(|line| line.line.event == "step placed" && line.line.is_of(job));
    let longest = placed.max_by(|a, b| waited(&a.line).total_cmp(&waited(&b.line)))?;
    let wait = waited(&longest.line);
    let advised = own.iter().any(|line| line.line.event == "no advice");
    if wait < WORTH_TELLING_MS || advised {
        return None;
    }
    let step = longest.line.text("step").unwrap_or_default();
    Some(format!("step {step} waited {} for room", seconds(wait)))
}

fn waited(line: &LogLine) -> f64 {
    line.number("waited_ms").unwrap_or(0.0)
}

fn change_of_scheduler(trace: &Trace, own: &[&TraceLine]) -> Option<String> {
    let begin = own.first()?.at_ms;
    let elected = events(trace, "elected").find(|line| line.at_ms > begin)?;
    let epoch = elected.line.text("epoch").unwrap_or_default();
    let why = without_scheduler(trace);
    let front = &elected.file;
    Some(format!(
        "the scheduler changed: {front} was elected with epoch {epoch}{why}"
    ))
}

fn lost_runs(trace: &Trace, own: &[&TraceLine]) -> Vec<String> {
    let mut told = Vec::new();
    for (reason, what) in [
        ("Lapsed", "lost with"),
        ("Broken", "broken with the gang on"),
        ("Alone", "left alone by the gang on"),
    ] {
        for (target, runs) in ends(own, reason) {
            let gone = events(trace, "target gone");
            let cause = gone
                .filter(|line| line.line.text("target").as_deref() == Some(target.as_str()))
                .find_map(|line| line.line.text("cause"));
            let cause = cause.map_or_else(String::new, |cause| format!(" (gone: {cause})"));
            told.push(format!("{} {what} target {target}{cause}", were(runs)));
        }
    }
    let quarantined = quarantined(trace);
    for (target, runs) in ends(own, "Failed") {
        let bad = quarantined.contains(&target);
        let why = if bad { ", which was set aside" } else { "" };
        let runs = count(runs);
        told.push(format!("{runs} ended as failed on target {target}{why}"));
    }
    let victims = trace
        .lines
        .iter()
        .filter(|line| line.line.event == "guarantee reclaimed" && !line.line.is_of(&trace.job));
    let displaced: BTreeSet<_> = victims.filter_map(|line| line.line.text("job")).collect();
    if !displaced.is_empty() {
        let jobs: Vec<_> = displaced.into_iter().collect();
        told.push(format!("runs gave way to job {}", jobs.join(", ")));
    }
    told
}

fn count(runs: usize) -> String {
    if runs == 1 {
        "a run".to_owned()
    } else {
        format!("{runs} runs")
    }
}

fn were(runs: usize) -> String {
    let verb = if runs == 1 { "was" } else { "were" };
    format!("{} {verb}", count(runs))
}

fn without_advice(own: &[&TraceLine]) -> Option<String> {
    let first = own.iter().find(|line| line.line.event == "no advice")?;
    let error = first.line.text("error").unwrap_or_default();
    Some(format!("the advisor gave no answer ({error})"))
}

/// An agent that gave no answer to the scheduler, or a target that gave none to its agent.
fn unanswered_orders(trace: &Trace) -> Option<String> {
    let by_agent = events(trace, "orders unanswered").next();
    if let Some(line) = by_agent {
        let target = line.line.text("target").unwrap_or_default();
        return Some(format!(
            "the agent beside target {target} left orders without an answer"
        ));
    }
    let mut carried_out = events(trace, "order carried out");
    let unknown = carried_out.find(|line| {
        line.line.is_of(&trace.job) && line.line.text("outcome").as_deref() == Some("Unknown")
    })?;
    let target = unknown.line.text("target").unwrap_or_default();
    Some(format!("target {target} left orders without an answer"))
}
