use rattanwinch_runtime::OUTCOME_TAG;
use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::RunId;
use rattanwinch_types::TargetName;
use slog::Logger;
use slog::info;
use slog::warn;

/// Logs a scheduling event and counts it in the metrics.
pub(crate) fn log_event(log: &Logger, event: &Event) {
    match event {
        Event::Placed {
            step,
            number,
            targets,
            waited_ms,
        } => {
            count_decision("placed");
            record_stage("waiting", *waited_ms);
            info!(log, "step placed"; "job" => %step.job, "occurrence" => step.occurrence,
                "step" => step.step, "run" => number, "targets" => ?targets,
                "waited_ms" => waited_ms);
        }
        Event::Preempted {
            step,
            victims,
            lost_core_ms,
            guaranteed,
        } => {
            count_decision("reclaimed");
            let cause = if *guaranteed { "guarantee" } else { "reclaim" };
            count_lost_work(cause, *lost_core_ms);
            info!(log, #OUTCOME_TAG, "guarantee reclaimed"; "job" => %step.job, "step" => step.step,
                "victims" => full_names(victims),
                "lost_core_ms" => lost_core_ms, "guaranteed" => guaranteed);
        }
        Event::ReclaimGivenUp { step, end } => {
            count_decision("reclaim_given_up");
            info!(log, "reclaimed room released"; "job" => %step.job, "step" => step.step,
                "reason" => end.as_str());
        }
        Event::RoomReserved {
            step,
            targets,
            awaited,
            expected_in_ms,
        } => {
            count_decision("reserved");
            info!(log, "room reserved"; "job" => %step.job, "step" => step.step,
                "targets" => ?targets, "awaited" => full_names(awaited),
                "expected_in_ms" => expected_in_ms);
        }
        Event::ReservationLapsed { step, awaited } => {
            count_decision("reservation_lapsed");
            info!(log, "reservation lapsed"; "job" => %step.job, "step" => step.step,
                "awaited" => full_names(awaited));
        }
        Event::Moved {
            runs,
            target,
            leaves_in_ms,
            lost_core_ms,
        } => {
            count_decision("moved");
            count_lost_work("drain", *lost_core_ms);
            info!(log, #OUTCOME_TAG, "runs moved"; "runs" => full_names(runs),
                "target" => %target, "leaves_in_ms" => leaves_in_ms,
                "lost_core_ms" => lost_core_ms);
        }
        Event::Started { run, after_ms } => {
            count_decision("started");
            record_stage("starting", *after_ms);
            info!(log, "run started"; "job" => %run.task.step.job, "run" => run.within_job(),
                "after_ms" => after_ms);
        }
        Event::JobStarted { job } => {
            count_decision("job_started");
            info!(log, "job started"; "job" => %job);
        }
        Event::Refused {
            run,
            target,
            refusal,
        } => {
            count_decision("start_refused");
            let reason = refusal.as_str();
            metrics::counter!("rattanwinch_start_refusals_total", "reason" => reason).increment(1);
            warn!(log, "start refused"; "job" => %run.task.step.job, "run" => run.within_job(),
                "target" => %target, "reason" => ?refusal);
        }
        Event::StartWithdrawn {
            run,
            target,
            closure,
        } => {
            count_decision("start_withdrawn");
            log_run_event(log, "start withdrawn", run, target, closure.as_str());
        }
        Event::Ended {
            run,
            target,
            outcome,
            run_time_ms,
        } => {
            count_decision("ended");
            if let Some(run_time_ms) = run_time_ms {
                record_stage("working", *run_time_ms);
            }
            metrics::counter!("rattanwinch_run_ends_total", "end" => outcome.as_str()).increment(1);
            log_run_event(log, "run ended", run, target, &format!("{outcome:?}"));
        }
        Event::Abandoned { run, target } => {
            count_decision("abandoned");
            log_run_event(
                log,
                "run abandoned",
                run,
                target,
                "absent from the target and can no longer start",
            );
        }
        Event::UnknownRun { run, target } => {
            count_decision("stranger");
            metrics::counter!("rattanwinch_invariant_violations_total", "what" => "unknown_run")
                .increment(1);
            log_run_event(
                log,
                "unknown run stopped",
                run,
                target,
                "not placed on this target by the scheduler",
            );
        }
        Event::Stalled { run, target } => {
            count_decision("stalled");
            log_run_event(log, "run stopped", run, target, "no progress");
        }
        Event::TargetRemoved { instance, cause } => {
            count_decision("target_gone");
            warn!(log, "target gone"; "target" => %instance.target, "cause" => ?cause);
        }
        Event::Quarantined { target, for_ms } => {
            count_decision("quarantined");
            warn!(log, "target quarantined"; "target" => %target, "for_ms" => for_ms);
        }
        Event::NotAdmitted {
            job,
            queue,
            organisation,
            reason,
            wait_ms,
            useful_ms,
            retry_after_ms,
        } => {
            count_decision("not_admitted");
            let reason = reason.as_str();
            metrics::counter!("rattanwinch_refusals_total", "reason" => reason).increment(1);
            info!(log, #OUTCOME_TAG, "job refused"; "job" => %job, "queue" => %queue,
                "organisation" => %organisation, "reason" => reason, "wait_ms" => wait_ms,
                "useful_ms" => useful_ms, "retry_after_ms" => retry_after_ms);
        }
        Event::Finished { job, state } => {
            count_decision("finished");
            info!(log, #OUTCOME_TAG, "job ended"; "job" => %job, "state" => ?state);
        }
    }
}

fn count_decision(decision: &'static str) {
    metrics::counter!("rattanwinch_decisions_total", "decision" => decision).increment(1);
}

/// Counts work that stopped runs lose. The counter holds whole numbers, so a fraction of a second
/// is rounded.
fn count_lost_work(cause: &'static str, lost_core_ms: u64) {
    let seconds = lost_core_ms.saturating_add(500) / 1000;
    metrics::counter!("rattanwinch_lost_core_seconds_total", "cause" => cause).increment(seconds);
}

/// Records the duration of a stage of a job in the metrics.
pub(crate) fn record_stage(stage: &'static str, millis: u64) {
    let seconds = std::time::Duration::from_millis(millis).as_secs_f64();
    metrics::histogram!("rattanwinch_stage_seconds", "stage" => stage).record(seconds);
}

fn log_run_event(log: &Logger, what: &'static str, run: &RunId, target: &TargetName, reason: &str) {
    info!(log, #OUTCOME_TAG, "{}", what; "job" => %run.task.step.job, "run" => run.within_job(),
        "target" => %target, "reason" => reason);
}

fn full_names(runs: &[RunId]) -> String {
    runs.iter().map(full_name).collect::<Vec<_>>().join(",")
}

/// Name of a run including its job, for log lines about another job.
fn full_name(run: &RunId) -> String {
    format!("{}.{}", run.task.step.job, run.within_job())
}
