//! Records that the leader keeps in the store: accepted jobs, their progress, agents, silences and
//! waves.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::AdvisorTiming;
use rattanwinch_scheduling::Checkpoint;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobProgress;
use rattanwinch_scheduling::LatencyObjective;
use rattanwinch_scheduling::QueueName;
use rattanwinch_scheduling::QueueRules;
use rattanwinch_scheduling::ServiceName;
use rattanwinch_scheduling::SilentInstances;
use rattanwinch_scheduling::StepId;
use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TaskId;
use rattanwinch_scheduling::TaskProgress;
use rattanwinch_site_callers::decode_job;
use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Result of decoding a record.
pub(crate) type Result<T> = std::result::Result<T, InvalidRecord>;

/// Prefix of the keys of accepted jobs; the job's id follows.
pub(crate) const ACCEPTED_PREFIX: &str = "rattanwinch/job/";

/// Prefix of the keys of jobs' progress; the job's id follows, and the number of a part other than the
/// first.
pub(crate) const PROGRESS_PREFIX: &str = "rattanwinch/progress/";

/// Key of a part of a job's progress.
pub(crate) fn progress_key(id: &JobId, part: u32) -> String {
    match part {
        0 => format!("{PROGRESS_PREFIX}{id}"),
        part => format!("{PROGRESS_PREFIX}{id}/{part}"),
    }
}

/// Id of the job whose progress a key holds. Ids contain no slash.
pub(crate) fn job_of_progress_key(key: &str) -> Option<&str> {
    let rest = key.strip_prefix(PROGRESS_PREFIX)?;
    rest.split('/').next()
}

/// Key of the agents' addresses.
pub(crate) const AGENTS_KEY: &str = "rattanwinch/agents";

/// Address of each VM's agent.
pub(crate) type AgentAddresses = BTreeMap<Arc<str>, SocketAddr>;

/// Encodes the agents' addresses.
pub(crate) fn encode_agents(agents: &AgentAddresses) -> Vec<u8> {
    serde_json::to_vec(agents).expect("names and addresses are valid JSON")
}

/// Decodes the agents' addresses.
pub(crate) fn decode_agents(value: &[u8]) -> Result<AgentAddresses> {
    serde_json::from_slice(value).map_err(invalid)
}

/// Key of the silent target instances and the duration of their silence.
pub(crate) const SILENCES_KEY: &str = "rattanwinch/silent";

/// VM, target, start of the instance in Unix milliseconds, and silence in milliseconds.
type StoredSilence = (Arc<str>, String, u64, u64);

/// Encodes the silences of targets.
pub(crate) fn encode_silences(silences: &SilentInstances) -> Vec<u8> {
    let stored = silences.iter().map(|(instance, silence)| -> StoredSilence {
        let target = instance.target.as_str().to_owned();
        (
            Arc::clone(&instance.vm),
            target,
            instance.started_at_ms,
            millis(*silence),
        )
    });
    let stored: Vec<_> = stored.collect();
    serde_json::to_vec(&stored).expect("names and numbers are valid JSON")
}

/// Decodes the silences of targets.
pub(crate) fn decode_silences(value: &[u8]) -> Result<SilentInstances> {
    let stored: Vec<StoredSilence> = serde_json::from_slice(value).map_err(invalid)?;
    let silences = stored
        .into_iter()
        .map(|(vm, target, started_at_ms, silent_ms)| {
            let instance = TargetInstance {
                vm,
                target: TargetName::from_text(target),
                started_at_ms,
            };
            (instance, Duration::from_millis(silent_ms))
        });
    Ok(silences.collect())
}

/// Prefix of the keys of upkeep waves; the wave's number follows.
pub(crate) const WAVE_PREFIX: &str = "rattanwinch/wave/";

/// State of an upkeep wave that has to survive a change of leader.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WaveRecord {
    /// When the wave was first seen, in Unix milliseconds.
    pub ordered_ms: u64,
    pub completed: bool,
}

/// Encodes a wave's record.
pub(crate) fn encode_wave(record: WaveRecord) -> Vec<u8> {
    serde_json::to_vec(&record).expect("a record of plain fields is valid JSON")
}

/// Decodes a wave's number and record.
pub(crate) fn decode_wave(key: &str, value: &[u8]) -> Result<(u32, WaveRecord)> {
    let number = key.strip_prefix(WAVE_PREFIX).unwrap_or_default();
    let number = number.parse().map_err(invalid)?;
    Ok((number, serde_json::from_slice(value).map_err(invalid)?))
}

/// A value in the store that this version can't decode.
#[derive(Debug)]
pub(crate) struct InvalidRecord(Box<dyn std::error::Error + Send + Sync>);

impl fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unreadable record: {}", self.0)
    }
}

impl std::error::Error for InvalidRecord {}

fn invalid(cause: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> InvalidRecord {
    InvalidRecord(cause.into())
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredJob {
    queue: Arc<str>,
    service: Arc<str>,
    priority: u32,
    max_attempts: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    advisor_ms: Option<(u64, u64, u64)>,
    /// Base in milliseconds and stretch in per cent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    objective: Option<(u64, u32)>,
    organisation: String,
    accepted_ms: u64,
    /// The submission body as received, decoded by the same code as at acceptance.
    body: Arc<str>,
}

pub(crate) fn encode_accepted(job: &AcceptedJob, body: &Arc<str>) -> Vec<u8> {
    let times = job.rules.advisor;
    let stored = StoredJob {
        queue: Arc::from(job.queue.as_str()),
        service: Arc::from(job.rules.service.as_str()),
        priority: job.rules.priority,
        max_attempts: job.rules.max_attempts,
        advisor_ms: times.map(|t| (millis(t.base), millis(t.per_target), millis(t.validity))),
        objective: job
            .rules
            .objective
            .map(|objective| (millis(objective.base), objective.stretch_percent)),
        organisation: job.organisation.as_str().to_owned(),
        accepted_ms: job.accepted_at.as_millis(),
        body: Arc::clone(body),
    };
    serde_json::to_vec(&stored).expect("a record of plain fields is valid JSON")
}

pub(crate) fn decode_accepted(id: &str, value: &[u8]) -> Result<AcceptedJob> {
    let stored: StoredJob = serde_json::from_slice(value).map_err(invalid)?;
    let advisor = stored
        .advisor_ms
        .map(|(base, per_target, validity)| AdvisorTiming {
            base: Duration::from_millis(base),
            per_target: Duration::from_millis(per_target),
            validity: Duration::from_millis(validity),
        });
    Ok(AcceptedJob {
        id: JobId::from(id),
        queue: QueueName::from(&*stored.queue),
        rules: QueueRules {
            service: ServiceName::from(&*stored.service),
            priority: stored.priority,
            max_attempts: stored.max_attempts,
            objective: stored
                .objective
                .map(|(base_ms, stretch_percent)| LatencyObjective {
                    base: Duration::from_millis(base_ms),
                    stretch_percent,
                }),
            advisor,
        },
        organisation: Organisation::from_text(stored.organisation),
        accepted_at: Timestamp::from_millis(stored.accepted_ms),
        description: decode_job(&stored.body).map_err(invalid)?,
    })
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredProgress {
    #[serde(default, skip_serializing_if = "is_false")]
    cancelled: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    failed: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    started: bool,
    #[serde(default, skip_serializing_if = "is_false")]
    split: bool,
    tasks: Vec<StoredTask>,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredTask {
    /// Occurrence, step and index.
    at: (u32, u32, u32),
    run: u32,
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    failed_runs: SmallVec<[u32; 4]>,
    #[serde(default, skip_serializing_if = "is_false")]
    done: bool,
    /// Target instance of the last run: VM, target, and start in Unix milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    placed: Option<(Arc<str>, String, u64)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    saved: Option<Arc<str>>,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
const fn is_false(value: &bool) -> bool {
    !*value
}

pub(crate) fn encode_progress(progress: &JobProgress) -> Vec<u8> {
    let tasks = progress.tasks.iter().map(|task| StoredTask {
        at: (
            task.task.step.occurrence,
            task.task.step.step,
            task.task.index,
        ),
        run: task.last_run,
        failed_runs: task.failed_runs.clone(),
        done: task.done,
        placed: task.placed_on.as_ref().map(|instance| {
            (
                Arc::clone(&instance.vm),
                instance.target.as_str().to_owned(),
                instance.started_at_ms,
            )
        }),
        saved: task
            .checkpoint
            .as_ref()
            .map(|saved| Arc::from(saved.as_str())),
    });
    let stored = StoredProgress {
        cancelled: progress.cancelled,
        failed: progress.failed,
        started: progress.started,
        split: progress.is_split,
        tasks: tasks.collect(),
    };
    serde_json::to_vec(&stored).expect("a record of plain fields is valid JSON")
}

pub(crate) fn decode_progress(id: &str, value: &[u8]) -> Result<JobProgress> {
    let stored: StoredProgress = serde_json::from_slice(value).map_err(invalid)?;
    let job = JobId::from(id);
    let tasks = stored.tasks.into_iter().map(|task| {
        let (occurrence, step, index) = task.at;
        let placed = task
            .placed
            .map(|(vm, target, started_at_ms)| TargetInstance {
                vm,
                target: TargetName::from_text(target),
                started_at_ms,
            });
        TaskProgress {
            task: TaskId {
                step: StepId {
                    job: job.clone(),
                    occurrence,
                    step,
                },
                index,
            },
            last_run: task.run,
            failed_runs: task.failed_runs,
            done: task.done,
            placed_on: placed,
            checkpoint: task.saved.map(|saved| Checkpoint::from(&*saved)),
        }
    });
    Ok(JobProgress {
        cancelled: stored.cancelled,
        failed: stored.failed,
        started: stored.started,
        is_split: stored.split,
        tasks: tasks.collect(),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
