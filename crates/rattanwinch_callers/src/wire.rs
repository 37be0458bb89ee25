//! The request and response bodies of the interface for callers.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_http_errors::WireError;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Explanation;
use rattanwinch_types::GangShape;
use rattanwinch_types::InvalidName;
use rattanwinch_types::InvalidShape;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobState;
use rattanwinch_types::JobStatus;
use rattanwinch_types::Organisation;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;

/// A body with an invalid field; the text says which and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidBody(String);

impl fmt::Display for InvalidBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidBody {}

impl From<InvalidName> for InvalidBody {
    fn from(error: InvalidName) -> Self {
        Self(error.to_string())
    }
}

impl From<InvalidShape> for InvalidBody {
    fn from(error: InvalidShape) -> Self {
        Self(format!("invalid gang shape: {error}"))
    }
}

impl From<InvalidBody> for RequestError {
    fn from(error: InvalidBody) -> Self {
        Self::not_run(ErrorKind::Invalid, error.0)
    }
}

fn request_key(organisation: String, id: String) -> Result<RequestKey, InvalidBody> {
    Ok(RequestKey {
        organisation: Organisation::new(organisation)?,
        id: RequestId::new(id)?,
    })
}

fn default_true() -> bool {
    true
}

rattanwinch_types::value! { wire
    /// The body of `POST /v1/requests`.
    #[serde(deny_unknown_fields)]
    pub struct WirePlainRequest {
        /// The organisation.
        pub organisation: String,
        /// The caller's id, unique within the organisation; a retry uses the same id.
        pub id: String,
        /// Whether the request or job may safely run more than once.
        #[serde(default = "default_true")]
        pub idempotent: bool,
        /// Whether the caller sends this id for the first time. Otherwise, if a non-idempotent
        /// request is refused before its claim was checked, the verdict is "may have run".
        #[serde(default)]
        pub first_submission: bool,
        /// The deadline, in milliseconds since the Unix epoch; the caller stops waiting then.
        pub deadline_unix_ms: u64,
        /// The payload for the executor, at most 256 KiB.
        pub payload: String,
    }
}

impl TryFrom<WirePlainRequest> for PlainRequest {
    type Error = InvalidBody;

    fn try_from(wire: WirePlainRequest) -> Result<Self, InvalidBody> {
        Ok(Self {
            key: request_key(wire.organisation, wire.id)?,
            idempotent: wire.idempotent,
            first_submission: wire.first_submission,
            deadline: Timestamp::from_millis(wire.deadline_unix_ms),
            payload: Arc::from(wire.payload),
        })
    }
}

rattanwinch_types::value! { wire
    /// The response body of `POST /v1/requests`.
    pub struct WirePlainAnswer {
        /// The organisation.
        pub organisation: String,
        /// The caller's id.
        pub id: String,
        /// Always `ran`.
        pub verdict: String,
        /// The executor's answer.
        pub answer: String,
        /// SHA-256 of the answer, in hexadecimal.
        pub sha256: String,
    }
}

impl WirePlainAnswer {
    /// Creates the response body for the request with the given key.
    #[must_use]
    pub fn new(key: &RequestKey, answer: &Answer) -> Self {
        Self {
            organisation: key.organisation.as_str().to_owned(),
            id: key.id.as_str().to_owned(),
            verdict: rattanwinch_types::Verdict::Ran.as_str().to_owned(),
            answer: answer.text().as_ref().to_owned(),
            sha256: answer.digest().to_hex(),
        }
    }
}

rattanwinch_types::value! { wire
    /// The body of `POST /v1/jobs`.
    #[serde(deny_unknown_fields)]
    pub struct WireJobRequest {
        /// The organisation.
        pub organisation: String,
        /// The caller's id, unique within the organisation; a retry uses the same id.
        pub id: String,
        /// The number of tasks, 1 to 128.
        pub tasks: u16,
        /// The accelerators of each task: 1, 2, 4 or 8.
        pub accelerators_per_task: u8,
        /// `zone`, `racks`, `rack` or `worker`.
        pub adjacency: String,
        /// Whether the request or job may safely run more than once.
        pub idempotent: bool,
        /// `normal` or `urgent`.
        pub urgency: String,
        /// The deadline, in milliseconds since the Unix epoch; the answer has no use after it.
        pub deadline_unix_ms: u64,
        /// The declared run time in milliseconds.
        pub declared_run_time_ms: u64,
        /// The payload for the executor of each task, at most 256 KiB.
        pub payload: String,
    }
}

impl TryFrom<WireJobRequest> for JobSpec {
    type Error = InvalidBody;

    fn try_from(wire: WireJobRequest) -> Result<Self, InvalidBody> {
        let unknown = |field: &str, text: &str, expected: &str| {
            InvalidBody(format!("invalid {field} {text:?}: expected {expected}"))
        };
        let adjacency = Adjacency::parse(&wire.adjacency)
            .ok_or_else(|| unknown("adjacency", &wire.adjacency, "zone, racks, rack or worker"))?;
        let urgency = Urgency::parse(&wire.urgency)
            .ok_or_else(|| unknown("urgency", &wire.urgency, "normal or urgent"))?;
        Ok(Self {
            key: request_key(wire.organisation, wire.id)?,
            shape: GangShape::new(wire.tasks, wire.accelerators_per_task, adjacency)?,
            idempotent: wire.idempotent,
            urgency,
            deadline: Timestamp::from_millis(wire.deadline_unix_ms),
            declared_run_time: Duration::from_millis(wire.declared_run_time_ms),
            payload: Arc::from(wire.payload),
        })
    }
}

rattanwinch_types::value! { wire
    /// The status of a job.
    pub struct WireJobStatus {
        /// The organisation.
        pub organisation: String,
        /// The caller's id.
        pub id: String,
        /// The availability zone that decides the job.
        pub zone: String,
        /// The number of the latest attempt, 0 before the first.
        pub attempt: u32,
        /// `queued`, `holding`, `running` or `finished`.
        pub state: String,
        /// Why a queued job waits.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub reason: Option<String>,
        /// When a running job started, in milliseconds since the Unix epoch.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub since_unix_ms: Option<u64>,
        /// The answers of all tasks of a finished job, in the order of the tasks.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub answers: Option<Vec<String>>,
        /// Why a finished job has no answers.
        #[serde(skip_serializing_if = "Option::is_none")]
        pub error: Option<WireError>,
    }
}

impl From<JobStatus> for WireJobStatus {
    fn from(status: JobStatus) -> Self {
        let mut wire = Self {
            organisation: status.key.organisation.into(),
            id: status.key.id.into(),
            zone: status.zone.into(),
            attempt: status.attempt,
            state: String::new(),
            reason: None,
            since_unix_ms: None,
            answers: None,
            error: None,
        };
        let state = match status.state {
            JobState::Queued { reason } => {
                wire.reason = Some(reason.to_string());
                "queued"
            }
            JobState::Holding => "holding",
            JobState::Running { since } => {
                wire.since_unix_ms = Some(since.as_millis());
                "running"
            }
            JobState::Finished {
                outcome: Ok(answers),
            } => {
                let texts = answers
                    .iter()
                    .map(|answer| answer.text().as_ref().to_owned());
                wire.answers = Some(texts.collect());
                "finished"
            }
            JobState::Finished {
                outcome: Err(error),
            } => {
                wire.error = Some(error.into());
                "finished"
            }
        };
        wire.state = state.to_owned();
        wire
    }
}

rattanwinch_types::value! { wire
    /// One decision about a job.
    pub struct WireExplanation {
        /// The time of the decision, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// The decision and its reason.
        pub text: String,
    }
}

impl From<Explanation> for WireExplanation {
    fn from(explanation: Explanation) -> Self {
        Self {
            at_unix_ms: explanation.at.as_millis(),
            text: explanation.text.to_string(),
        }
    }
}
