use rattanwinch_runtime::OUTCOME;
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
            stage("waiting", *waited_ms);
            info!(log, "step placed"; "job" => %step.job, "occurrence" => step.occurrence,
                "step" => step.step, "run" => number, "targets" => ?targets,
                "waited_ms" => waited_ms);
        }
        Event::Preempted { step, victims } => {
            count("reclaimed");
            info!(log, #OUTCOME, "guarantee reclaimed"; "job" => %step.job, "step" => step.step,
                "victims" => victims.iter().map(full_name).collect::<Vec<_>>().join(","));
        }
        Event::Started { run, after_ms } => {
            count("started");
            stage("starting", *after_ms);
            info!(log, "run started"; "job" => %run.task.step.job, "run" => run.within_job(),
                "after_ms" => after_ms);
        }
        Event::Refused {
            run,
            target,
            refusal,
        } => {
            count("start_refused");
            let reason = refusal.as_str();
            metrics::counter!("rattanwinch_start_refusals_total", "reason" => reason).increment(1);
            warn!(log, "start refused"; "job" => %run.task.step.job, "run" => run.within_job(),
                "target" => %target, "reason" => ?refusal);
        }
        Event::Ended {
            run,
            target,
            outcome,
            run_time_ms,
        } => {
            count("ended");
            if let Some(run_time_ms) = run_time_ms {
                stage("working", *run_time_ms);
            }
            metrics::counter!("rattanwinch_run_ends_total", "end" => outcome.as_str()).increment(1);
            on_target(log, "run ended", run, target, &format!("{outcome:?}"));
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
        Event::UnknownRun { run, target } => {
            count("stranger");
            metrics::counter!("rattanwinch_invariant_violations_total", "what" => "unknown_run")
                .increment(1);
            on_target(log, "unknown run stopped", run, target, "not placed there");
        }
        Event::Stalled { run, target } => {
            count("stalled");
            on_target(log, "run stopped", run, target, "no progress");
        }
        Event::TargetRemoved { instance, cause } => {
            count("target_gone");
            warn!(log, "target gone"; "target" => %instance.target, "cause" => ?cause);
        }
        Event::Quarantined { target, for_ms } => {
            count("quarantined");
            warn!(log, "target quarantined"; "target" => %target, "for_ms" => for_ms);
        }
        Event::Finished { job, state } => {
            count("finished");
            info!(log, #OUTCOME, "job ended"; "job" => %job, "state" => ?state);
        }
    }
}

fn count(decision: &'static str) {
    metrics::counter!("rattanwinch_decisions_total", "decision" => decision).increment(1);
}

/// Notes how long a stage of a job's life took.
pub(crate) fn stage(stage: &'static str, millis: u64) {
    let seconds = std::time::Duration::from_millis(millis).as_secs_f64();
    metrics::histogram!("rattanwinch_stage_seconds", "stage" => stage).record(seconds);
}

fn on_target(log: &Logger, what: &'static str, run: &RunId, target: &TargetName, reason: &str) {
    info!(log, #OUTCOME, "{}", what; "job" => %run.task.step.job, "run" => run.within_job(),
        "target" => %target, "reason" => reason);
}

/// The name of a run of another job than the line's own.
fn full_name(run: &RunId) -> String {
    format!("{}.{}", run.task.step.job, run.within_job())
}
