use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::RunId;
use rattanwinch_types::TargetName;
use slog::Logger;
use slog::info;
use slog::warn;

/// Writes the log line of a decision and counts it.
pub(crate) fn explain(log: &Logger, event: &Event) {
    match event {
        Event::Placed {
            step,
            number,
            targets,
            waited_ms,
        } => {
            count("placed");
            info!(log, "step placed"; "job" => %step.job, "occurrence" => step.occurrence,
                "step" => step.step, "run" => number, "targets" => ?targets,
                "waited_ms" => waited_ms);
        }
        Event::Reclaimed { step, victims } => {
            count("reclaimed");
            info!(log, "guarantee reclaimed"; "job" => %step.job, "step" => step.step,
                "victims" => victims.iter().map(full_name).collect::<Vec<_>>().join(","));
        }
        Event::Started(run) => {
            count("started");
            info!(log, "run started"; "job" => %run.task.step.job, "run" => run_name(run));
        }
        Event::Refused {
            run,
            target,
            refusal,
        } => {
            count("start_refused");
            warn!(log, "start refused"; "job" => %run.task.step.job, "run" => run_name(run),
                "target" => %target, "reason" => ?refusal);
        }
        Event::Ended { run, target, end } => {
            count("ended");
            on_target(log, "run ended", run, target, &format!("{end:?}"));
        }
        Event::Abandoned { run, target } => {
            count("abandoned");
            on_target(
                log,
                "run given up",
                run,
                target,
                "not there and can't start",
            );
        }
        Event::Stranger { run, target } => {
            count("stranger");
            on_target(log, "unknown run stopped", run, target, "not placed there");
        }
        Event::Stalled { run, target } => {
            count("stalled");
            on_target(log, "run stopped", run, target, "no progress");
        }
        Event::TargetGone { life, cause } => {
            count("target_gone");
            warn!(log, "target gone"; "target" => %life.target, "cause" => ?cause);
        }
        Event::Quarantined { target, for_ms } => {
            count("quarantined");
            warn!(log, "target quarantined"; "target" => %target, "for_ms" => for_ms);
        }
        Event::Finished { job, state } => {
            count("finished");
            info!(log, "job ended"; "job" => %job, "state" => ?state);
        }
    }
}

fn count(decision: &'static str) {
    metrics::counter!("rattanwinch_decisions_total", "decision" => decision).increment(1);
}

fn on_target(log: &Logger, what: &'static str, run: &RunId, target: &TargetName, reason: &str) {
    info!(log, "{}", what; "job" => %run.task.step.job, "run" => run_name(run),
        "target" => %target, "reason" => reason);
}

/// The name of a run of another job than the line's own.
fn full_name(run: &RunId) -> String {
    format!("{}.{}", run.task.step.job, run_name(run))
}

/// Occurrence, step, index and run number; the job stands in a field of its own.
fn run_name(run: &RunId) -> String {
    let step = &run.task.step;
    format!(
        "{}.{}.{}#{}",
        step.occurrence, step.step, run.task.index, run.number
    )
}
