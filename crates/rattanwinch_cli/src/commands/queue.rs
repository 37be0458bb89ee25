use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_runtime::SettingsFile;
use rattanwinch_scheduling::JobDescription;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::Resources;
use rattanwinch_scheduling::StepDescription;
use rattanwinch_site_callers::QueueAddress;
use rattanwinch_site_callers::QueueClient;
use rattanwinch_site_callers::QueueError;
use rattanwinch_types::Verdict;
use reqwest::Url;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::Arguments;
use crate::CommandError;
use crate::Result;
use crate::arguments::QueueCommand;
use crate::arguments::QueueSubmitArguments;

/// The polling interval while waiting for a job: short for the user, and cheap for a front, which
/// answers from memory.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of digits in a job id, as the platform requires.
const JOB_ID_DIGITS: usize = 16;

pub(super) async fn queue(
    arguments: &Arguments,
    command: &QueueCommand,
    out: &mut dyn Write,
) -> Result<()> {
    let Some(path) = &arguments.settings else {
        let message = "no queue: expected --settings FILE with the section [queue]";
        return Err(CommandError::Usage(message.to_owned()));
    };
    let timeout = Duration::from_millis(arguments.timeout_ms);
    let client = QueueClient::new(read_address(path)?, timeout);
    let result = match command {
        QueueCommand::Submit(job) => submit(&client, job).await?,
        QueueCommand::Status { id } => {
            let id = parse_id(id)?;
            state_json(&id, client.state(&id).await.map_err(queue_error)?)
        }
        QueueCommand::Wait { id, limit_s } => {
            let id = parse_id(id)?;
            let state = wait(&client, &id, Duration::from_secs(*limit_s)).await?;
            if state != JobState::Completed {
                write_result(arguments, out, &state_json(&id, state))?;
                let message = format!("job {id} ended in state {}", state.as_str());
                return Err(CommandError::failed(Verdict::Ran, "failed", message));
            }
            state_json(&id, state)
        }
        QueueCommand::Cancel { id } => {
            let id = parse_id(id)?;
            client.cancel(&id).await.map_err(queue_error)?;
            json!({ "id": id.as_str(), "cancelled": true })
        }
        QueueCommand::Pending => json!({ "pending": client.pending().await.map_err(queue_error)? }),
    };
    write_result(arguments, out, &result)
}

async fn submit(client: &QueueClient, job: &QueueSubmitArguments) -> Result<Value> {
    let id = match &job.id {
        Some(id) => parse_id(id)?,
        None => JobId::from(format!("{:016x}", rand::random::<u64>()).as_str()),
    };
    let step = StepDescription::builder()
        .count(job.tasks)
        .resources(Resources {
            cpu_millis: job.cpu_millis,
            memory_mb: job.memory_mb,
            accelerators: job.accelerators,
        })
        .estimated_run_time(Duration::from_millis(job.estimate_ms))
        .gang(job.gang)
        .same_rack(job.same_rack)
        .checkpointing(job.checkpointing)
        .build();
    let description = JobDescription {
        payload: Arc::from(job.payload.as_str()),
        steps: [step].into(),
        recurrence: None,
    };
    if !description.is_well_formed() {
        let message = format!("{} tasks: expected 1 to 8000", job.tasks);
        return Err(CommandError::Usage(message));
    }
    let submitted = client.submit(&id, &description).await;
    submitted.map_err(|mut error| {
        if error.verdict == Verdict::MayHaveRun {
            let retry_arguments =
                format!("; to find out the outcome, retry the same command with --id {id}");
            error.message.push_str(&retry_arguments);
        }
        queue_error(error)
    })?;
    Ok(json!({ "id": id.as_str(), "accepted": true }))
}

/// Waits until the job has ended. Fronts may be temporarily unavailable, so a failed call is
/// retried until the time-out.
async fn wait(client: &QueueClient, id: &JobId, timeout: Duration) -> Result<JobState> {
    let deadline = Instant::now() + timeout;
    loop {
        match client.state(id).await {
            Ok(state) if state.is_final() => return Ok(state),
            Ok(state) if Instant::now() >= deadline => {
                let message = format!(
                    "job {id} is still {} after the wait limit and continues",
                    state.as_str()
                );
                return Err(CommandError::failed(
                    Verdict::MayHaveRun,
                    "deadline",
                    message,
                ));
            }
            Err(error) if error.is_unknown_job() || Instant::now() >= deadline => {
                return Err(queue_error(error));
            }
            Ok(_) | Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

fn parse_id(text: &str) -> Result<JobId> {
    let is_valid = text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if is_valid {
        return Ok(JobId::from(text));
    }
    let message = format!("id {text:?}: expected {JOB_ID_DIGITS} hexadecimal digits");
    Err(CommandError::Usage(message))
}

fn queue_error(error: QueueError) -> CommandError {
    let kind = if error.is_unknown_job() {
        "not_found"
    } else {
        "failed"
    };
    CommandError::failed(error.verdict, kind, error.message)
}

fn state_json(id: &JobId, state: JobState) -> Value {
    json!({ "id": id.as_str(), "state": state.as_str() })
}

/// Writes the result as JSON with `--json`, else its values on one line.
fn write_result(arguments: &Arguments, out: &mut dyn Write, result: &Value) -> Result<()> {
    if arguments.json {
        writeln!(out, "{result}")?;
        return Ok(());
    }
    let values = result.as_object().into_iter().flatten();
    let cells = values.map(|(key, value)| match value {
        Value::String(text) => text.clone(),
        Value::Bool(_) => key.clone(),
        other => format!("{key} {other}"),
    });
    writeln!(out, "{}", cells.collect::<Vec<_>>().join(" "))?;
    Ok(())
}

fn read_address(path: &Path) -> Result<QueueAddress> {
    let mut file = SettingsFile::open(path)?;
    let fronts = file.list::<Url>("queue", "fronts", "URLs such as http://127.0.0.11:8521");
    let host = file.required::<String>("queue", "host", "the host that the queue is addressed by");
    let prefix = file.required::<String>("queue", "prefix", "a path such as /jobs/");
    let key = file.list::<String>("queue", "key", "the organisation's key");
    if fronts.as_ref().is_some_and(Vec::is_empty) {
        file.add_error(
            "queue",
            "fronts",
            "nothing",
            "URLs such as http://127.0.0.11:8521",
        );
    }
    let address = (|| {
        Some(QueueAddress {
            fronts: fronts?,
            host: Arc::from(host?),
            prefix: Arc::from(prefix?),
            key: key?.into_iter().next().map(Arc::from),
        })
    })();
    Ok(file.finish(address)?)
}
