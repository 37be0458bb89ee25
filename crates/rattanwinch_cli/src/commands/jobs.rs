use std::io::Write;
use std::time::Duration;

use rattanwinch_callers::WireExplanation;
use rattanwinch_callers::WireJobRequest;
use rattanwinch_callers::WireJobStatus;
use rattanwinch_callers::WirePlainAnswer;
use rattanwinch_callers::WirePlainRequest;
use rattanwinch_http_errors::WireError;
use rattanwinch_types::Verdict;
use reqwest::Method;
use tokio::time::Instant;

use super::context::Context;
use super::context::new_id;
use super::context::now_unix_ms;
use super::context::to_body;
use super::context::with_retry_hint;
use crate::CommandError;
use crate::Idempotence;
use crate::Result;
use crate::arguments::JobCommand;
use crate::arguments::JobKey;
use crate::arguments::RunArguments;
use crate::arguments::SubmitArguments;
use crate::table::format_age;

/// The time after the deadline within which an entry reports that the deadline has passed.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// The maximum wait of one long poll; entries allow 60 s.
const MAX_WAIT_PER_CALL: Duration = Duration::from_secs(50);

/// The delay after a failed call while waiting for a job.
const WAIT_RETRY_DELAY: Duration = Duration::from_secs(1);

pub(super) async fn run(cx: &Context, arguments: RunArguments, out: &mut dyn Write) -> Result<()> {
    let idempotence = if arguments.non_idempotent {
        Idempotence::NonIdempotent
    } else {
        Idempotence::Idempotent
    };
    let now = now_unix_ms();
    let default_deadline = now.saturating_add(arguments.deadline_ms);
    let deadline = arguments.deadline_unix_ms.unwrap_or(default_deadline);
    // A generated id was never sent before.
    let first_submission = arguments.id.is_none();
    let id = arguments.id.unwrap_or_else(new_id);
    let retry_arguments = format!("--id {id} --deadline-unix-ms {deadline}");
    let body = to_body(&WirePlainRequest {
        organisation: arguments.organisation,
        id,
        idempotent: !arguments.non_idempotent,
        first_submission,
        deadline_unix_ms: deadline,
        payload: arguments.payload,
    })?;
    let timeout = Duration::from_millis(deadline.saturating_sub(now)) + RESPONSE_MARGIN;
    let path = "/v1/requests";
    let run = cx
        .client
        .call(Method::POST, path, Some(&body), idempotence, timeout);
    let answer: WirePlainAnswer = run
        .await
        .map_err(|error| with_retry_hint(error, &retry_arguments))?;
    cx.write_result(out, &answer, |answer| format!("{}\n", answer.answer))
}

pub(super) async fn job(cx: &Context, command: JobCommand, out: &mut dyn Write) -> Result<()> {
    match command {
        JobCommand::Submit(arguments) => {
            let status = submit(cx, arguments).await?;
            cx.write_result(out, &status, status_text)
        }
        JobCommand::Status(job) => {
            let status = cx.client.get(&job_path(&job), cx.timeout).await?;
            cx.write_result(out, &status, status_text)
        }
        JobCommand::Wait { job, limit_s } => {
            let status = wait(cx, &job, Duration::from_secs(limit_s)).await?;
            cx.write_result(out, &status, status_text)?;
            check_job_result(status)
        }
        JobCommand::Cancel(job) => {
            let idempotence = Idempotence::Idempotent;
            let path = job_path(&job);
            let cancel = cx
                .client
                .call(Method::DELETE, &path, None, idempotence, cx.timeout);
            cx.write_result(out, &cancel.await?, status_text)
        }
        JobCommand::Explain(job) => {
            let path = format!("{}/explain", job_path(&job));
            let explanations: Vec<WireExplanation> = cx.client.get(&path, cx.timeout).await?;
            cx.write_result(out, &explanations, |all| explanations_text(all))
        }
    }
}

/// Submits a job. Retrying the same submission, including its deadline, returns the status of the
/// first one.
async fn submit(cx: &Context, arguments: SubmitArguments) -> Result<WireJobStatus> {
    let to_millis = |seconds: u64| seconds.saturating_mul(1000);
    let default_deadline = now_unix_ms().saturating_add(to_millis(arguments.deadline_s));
    let deadline = arguments.deadline_unix_ms.unwrap_or(default_deadline);
    let urgency = if arguments.urgent { "urgent" } else { "normal" };
    let body = to_body(&WireJobRequest {
        organisation: arguments.job.organisation.into(),
        id: arguments.job.id.into(),
        tasks: arguments.tasks,
        accelerators_per_task: arguments.accelerators,
        adjacency: arguments.adjacency,
        idempotent: !arguments.non_idempotent,
        urgency: urgency.to_owned(),
        deadline_unix_ms: deadline,
        declared_run_time_ms: to_millis(arguments.run_time_s),
        payload: arguments.payload,
    })?;
    let (path, idempotence) = ("/v1/jobs", Idempotence::Idempotent);
    let submit = cx
        .client
        .call(Method::POST, path, Some(&body), idempotence, cx.timeout);
    let retry_arguments = format!("--deadline-unix-ms {deadline}");
    submit
        .await
        .map_err(|error| with_retry_hint(error, &retry_arguments))
}

/// Waits until the job has finished. Entries may restart meanwhile, so a call that fails as
/// unavailable is retried until the time-out.
async fn wait(cx: &Context, job: &JobKey, timeout: Duration) -> Result<WireJobStatus> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let poll_timeout = remaining.min(MAX_WAIT_PER_CALL);
        let path = format!("{}?wait_ms={}", job_path(job), poll_timeout.as_millis());
        let response: Result<WireJobStatus> = cx.client.get(&path, poll_timeout + cx.timeout).await;
        match response {
            Ok(status) if status.state == "finished" => return Ok(status),
            Ok(_) if !remaining.is_zero() => {}
            Ok(status) => {
                let message = format!(
                    "the job is still {} after the wait limit and continues",
                    status.state
                );
                return Err(CommandError::failed(
                    Verdict::MayHaveRun,
                    "deadline",
                    message,
                ));
            }
            Err(CommandError::Failed(error))
                if error.kind == "unavailable" && !remaining.is_zero() =>
            {
                tokio::time::sleep(WAIT_RETRY_DELAY.min(remaining)).await;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Returns an error for a job that finished without answers.
fn check_job_result(status: WireJobStatus) -> Result<()> {
    status.error.map_or(Ok(()), |error| {
        Err(CommandError::Failed(WireError {
            verdict: error.verdict,
            kind: error.kind,
            message: error.message,
        }))
    })
}

fn job_path(job: &JobKey) -> String {
    format!("/v1/jobs/{}/{}", job.organisation, job.id)
}

fn status_text(status: &WireJobStatus) -> String {
    let mut text = format!(
        "job {}/{}: {} in zone {}, attempt {}",
        status.organisation, status.id, status.state, status.zone, status.attempt
    );
    if let Some(reason) = &status.reason {
        text.push_str(&format!("; waits: {reason}"));
    }
    if let Some(since) = status.since_unix_ms {
        text.push_str(&format!("; started {}", format_age(since, now_unix_ms())));
    }
    text.push('\n');
    for (task, answer) in status.answers.iter().flatten().enumerate() {
        text.push_str(&format!("task {task}: {answer}\n"));
    }
    if let Some(error) = &status.error {
        text.push_str(&format!(
            "no answers: {} ({})\n",
            error.message, error.verdict
        ));
    }
    text
}

fn explanations_text(explanations: &[WireExplanation]) -> String {
    let now = now_unix_ms();
    let lines = explanations.iter().map(|explanation| {
        format!(
            "{:>12}  {}\n",
            format_age(explanation.at_unix_ms, now),
            explanation.text
        )
    });
    lines.collect()
}
