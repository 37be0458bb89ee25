//! The summary sentence at the end of a trace.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::LogLine;
use crate::Trace;
use crate::TraceLine;
use crate::trace::COMMIT_DONE;
use crate::trace::COMMIT_UNANSWERED;
use crate::trace::commit_id;

/// Shorter delays are not reported: they are below the latency objective of the users' fastest
/// queue, which allows 250 ms plus half of the run time.
const MIN_REPORTED_DELAY_MS: f64 = 300.0;

pub(crate) fn cause(trace: &Trace) -> String {
    let job = &trace.job;
    let job_lines: Vec<&TraceLine> = trace
        .lines
        .iter()
        .filter(|line| line.line.mentions(job))
        .collect();
    let taken = job_lines.iter().find(|line| line.line.event == "job taken");
    let ended = job_lines
        .iter()
        .rev()
        .find(|line| line.line.event == "job ended");
    let state = ended.and_then(|line| line.line.text("state"));
    match (taken, state.as_deref()) {
        (None, None) => describe_refusal(trace, &job_lines),
        (_, Some("Failed")) => describe_failure(trace, &job_lines),
        (taken, Some("Cancelled")) => describe_cancellation(trace, taken.copied()),
        (taken, Some(_)) => {
            let took = taken
                .zip(ended)
                .map(|(taken, ended)| ended.at_ms - taken.at_ms);
            let took = took.map_or_else(String::new, |took| format!(" after {}", seconds(took)));
            format!(
                "job {job} was completed{took}{}",
                describe_delays(trace, &job_lines)
            )
        }
        (Some(_), None) => {
            format!(
                "job {job} has not ended in these logs{}",
                describe_delays(trace, &job_lines)
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

fn describe_refusal(trace: &Trace, job_lines: &[&TraceLine]) -> String {
    let job = &trace.job;
    let Some(last) = job_lines
        .iter()
        .rev()
        .find(|line| line.line.event == "call refused")
    else {
        return format!("job {job} is mentioned in these logs, but its acceptance is not");
    };
    let reason = last.line.text("reason").unwrap_or_default();
    let action = last.line.text("action").unwrap_or_default();
    let why = if reason.contains("key") {
        orders_in_force(trace, last)
    } else if reason.contains("run") {
        scheduler_absence_reason(trace)
    } else {
        String::new()
    };
    format!("the call ({action}) for job {job} was refused: {reason}{why}")
}

/// Describes the operators' orders in force at a refusal.
fn orders_in_force(trace: &Trace, refusal: &TraceLine) -> String {
    let before = events(trace, "operators' orders taken over");
    let before = before.filter(|line| line.at_ms <= refusal.at_ms).last();
    let version = before.and_then(|line| line.line.text("version"));
    version.map_or_else(String::new, |version| {
        format!("; version {version} of the operators' orders was in force")
    })
}

/// Describes why no scheduler was active, as far as the logs show.
fn scheduler_absence_reason(trace: &Trace) -> String {
    for (event, why) in [
        (
            "lease not renewed",
            "the store did not renew the scheduler's lease",
        ),
        ("lease ended", "the scheduler's lease had ended"),
        (
            "commit unanswered, sent again",
            "the store did not answer the scheduler's writes",
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

/// Counts the runs of the job that ended for the given reason, by target.
fn ended_runs_by_target(job_lines: &[&TraceLine], reason: &str) -> BTreeMap<String, usize> {
    let mut targets = BTreeMap::new();
    for line in job_lines {
        let matches =
            line.line.event == "run ended" && line.line.text("reason").as_deref() == Some(reason);
        if matches && let Some(target) = line.line.text("target") {
            *targets.entry(target).or_default() += 1;
        }
    }
    targets
}

fn describe_failure(trace: &Trace, job_lines: &[&TraceLine]) -> String {
    let job = &trace.job;
    let failures = ended_runs_by_target(job_lines, "Failed");
    let runs: usize = failures.values().sum();
    let quarantined = quarantined(trace);
    let faulty: Vec<_> = failures
        .keys()
        .filter(|target| quarantined.contains(*target))
        .collect();
    let why = match (failures.len(), faulty.as_slice()) {
        (_, [faulty]) if failures.len() == 1 => {
            format!("all on target {faulty}, which also failed the runs of other jobs")
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

fn describe_cancellation(trace: &Trace, taken: Option<&TraceLine>) -> String {
    let job = &trace.job;
    let cancelled = events(trace, "job cancelled").find(|line| line.line.is_about(job));
    let after = taken
        .zip(cancelled)
        .map(|(taken, at)| at.at_ms - taken.at_ms);
    let after = after.map_or_else(String::new, |after| {
        format!(" {} after it was taken", seconds(after))
    });
    format!("job {job} was cancelled by its caller{after}")
}

/// Describes what delayed a job: scheduler changes, lost runs, then waits.
fn describe_delays(trace: &Trace, job_lines: &[&TraceLine]) -> String {
    let mut delays = Vec::new();
    delays.extend(scheduler_change(trace, job_lines));
    delays.extend(lost_runs(trace, job_lines));
    delays.extend(advisor_failure(job_lines));
    delays.extend(unanswered_orders(trace));
    delays.extend(longest_wait(trace, job_lines));
    delays.extend(late_commit(trace, job_lines));
    if delays.is_empty() {
        return "; no delays found".to_owned();
    }
    format!("; {}", delays.join("; "))
}

/// Describes an end that was reported late because it was not durable yet. Commits are sequential,
/// so it does not matter which of them contains the end.
fn late_commit(trace: &Trace, job_lines: &[&TraceLine]) -> Option<String> {
    let ended = job_lines
        .iter()
        .find(|line| line.line.event == "job ended")?;
    let mut unanswered = events(trace, COMMIT_UNANSWERED);
    unanswered.find_map(|sent| {
        let done = events(trace, COMMIT_DONE).find(|done| commit_id(done) == commit_id(sent))?;
        let late = done.at_ms - ended.at_ms;
        let is_delay =
            sent.at_ms <= ended.at_ms + MIN_REPORTED_DELAY_MS && late >= MIN_REPORTED_DELAY_MS;
        is_delay.then(|| {
            let error = sent.line.text("error").unwrap_or_default();
            format!(
                "its end was reported only {} later, because the store did not answer ({error})",
                seconds(late)
            )
        })
    })
}

fn longest_wait(trace: &Trace, job_lines: &[&TraceLine]) -> Option<String> {
    let job = &trace.job;
    let placed = job_lines
        .iter()
        .filter(|line| line.line.event == "step placed" && line.line.is_about(job));
    let longest = placed.max_by(|a, b| waited_ms(&a.line).total_cmp(&waited_ms(&b.line)))?;
    let wait = waited_ms(&longest.line);
    let advisor_failed = job_lines.iter().any(|line| line.line.event == "no advice");
    if wait < MIN_REPORTED_DELAY_MS || advisor_failed {
        return None;
    }
    let step = longest.line.text("step").unwrap_or_default();
    Some(format!(
        "step {step} waited {} for free resources",
        seconds(wait)
    ))
}

fn waited_ms(line: &LogLine) -> f64 {
    line.number("waited_ms").unwrap_or(0.0)
}

fn scheduler_change(trace: &Trace, job_lines: &[&TraceLine]) -> Option<String> {
    let begin = job_lines.first()?.at_ms;
    let elected = events(trace, "elected").find(|line| line.at_ms > begin)?;
    let epoch = elected.line.text("epoch").unwrap_or_default();
    let why = scheduler_absence_reason(trace);
    let front = &elected.file;
    Some(format!(
        "the scheduler changed: {front} was elected with epoch {epoch}{why}"
    ))
}

fn lost_runs(trace: &Trace, job_lines: &[&TraceLine]) -> Vec<String> {
    let mut descriptions = Vec::new();
    for (reason, what) in [
        ("Lapsed", "lost with"),
        ("Broken", "stopped with the gang on"),
        ("Alone", "given up while waiting for the gang on"),
    ] {
        for (target, runs) in ended_runs_by_target(job_lines, reason) {
            let gone = events(trace, "target gone");
            let cause = gone
                .filter(|line| line.line.text("target").as_deref() == Some(target.as_str()))
                .find_map(|line| line.line.text("cause"));
            let cause = cause.map_or_else(String::new, |cause| format!(" (gone: {cause})"));
            descriptions.push(format!("{} {what} target {target}{cause}", runs_were(runs)));
        }
    }
    let quarantined = quarantined(trace);
    for (target, runs) in ended_runs_by_target(job_lines, "Failed") {
        let faulty = quarantined.contains(&target);
        let why = if faulty {
            ", which was quarantined"
        } else {
            ""
        };
        let runs = run_count(runs);
        descriptions.push(format!("{runs} ended as failed on target {target}{why}"));
    }
    let victims = trace
        .lines
        .iter()
        .filter(|line| line.line.event == "guarantee reclaimed" && !line.line.is_about(&trace.job));
    let preempting: BTreeSet<_> = victims.filter_map(|line| line.line.text("job")).collect();
    if !preempting.is_empty() {
        let jobs: Vec<_> = preempting.into_iter().collect();
        descriptions.push(format!("runs were preempted for job {}", jobs.join(", ")));
    }
    descriptions
}

fn run_count(runs: usize) -> String {
    if runs == 1 {
        "a run".to_owned()
    } else {
        format!("{runs} runs")
    }
}

fn runs_were(runs: usize) -> String {
    let verb = if runs == 1 { "was" } else { "were" };
    format!("{} {verb}", run_count(runs))
}

fn advisor_failure(job_lines: &[&TraceLine]) -> Option<String> {
    let first = job_lines
        .iter()
        .find(|line| line.line.event == "no advice")?;
    let error = first.line.text("error").unwrap_or_default();
    Some(format!("the advisor gave no answer ({error})"))
}

/// Describes orders that an agent, or a target behind its agent, did not answer.
fn unanswered_orders(trace: &Trace) -> Option<String> {
    let by_agent = events(trace, "orders unanswered").next();
    if let Some(line) = by_agent {
        let target = line.line.text("target").unwrap_or_default();
        return Some(format!(
            "the agent of target {target} did not answer orders"
        ));
    }
    let mut carried_out = events(trace, "order carried out");
    let unknown = carried_out.find(|line| {
        line.line.is_about(&trace.job) && line.line.text("outcome").as_deref() == Some("Unknown")
    })?;
    let target = unknown.line.text("target").unwrap_or_default();
    Some(format!("target {target} did not answer orders"))
}
