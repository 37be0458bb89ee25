use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Adjacency;
use rattanwinch_types::Answer;
use rattanwinch_types::Explanation;
use rattanwinch_types::GangShape;
use rattanwinch_types::JobSpec;
use rattanwinch_types::JobState;
use rattanwinch_types::JobStatus;
use rattanwinch_types::RequestError;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;
use rattanwinch_types::ZoneName;

use super::InvalidMessage;
use super::WireAnswer;
use super::WireRequestError;
use super::WireRequestKey;
use super::to_millis;

rattanwinch_types::value! { wire
    /// A [`JobSpec`] as it travels.
    pub struct WireJobSpec {
        /// The organisation and the caller's id.
        pub key: WireRequestKey,
        /// The number of tasks.
        pub tasks: u16,
        /// The accelerators of each task.
        pub accelerators_per_task: u8,
        /// `zone`, `racks`, `rack` or `worker`.
        pub adjacency: String,
        /// Whether running it twice does no harm.
        pub idempotent: bool,
        /// `normal` or `urgent`.
        pub urgency: String,
        /// When the answer has no more use, in milliseconds since the Unix epoch.
        pub deadline_unix_ms: u64,
        /// The declared run time in milliseconds.
        pub declared_run_time_ms: u64,
        /// The text for each task's executor.
        pub payload: String,
    }
}

impl From<JobSpec> for WireJobSpec {
    fn from(job: JobSpec) -> Self {
        Self {
            key: job.key.into(),
            tasks: job.shape.tasks(),
            accelerators_per_task: job.shape.accelerators_per_task(),
            adjacency: job.shape.adjacency().as_str().to_owned(),
            idempotent: job.idempotent,
            urgency: job.urgency.as_str().to_owned(),
            deadline_unix_ms: job.deadline.as_millis(),
            declared_run_time_ms: to_millis(job.declared_run_time),
            payload: job.payload.as_ref().to_owned(),
        }
    }
}

impl TryFrom<WireJobSpec> for JobSpec {
    type Error = InvalidMessage;

    fn try_from(wire: WireJobSpec) -> Result<Self, InvalidMessage> {
        let adjacency = Adjacency::parse(&wire.adjacency)
            .ok_or_else(|| InvalidMessage::new("adjacency", "zone, racks, rack or worker"))?;
        let urgency = Urgency::parse(&wire.urgency)
            .ok_or_else(|| InvalidMessage::new("urgency", "normal or urgent"))?;
        Ok(Self {
            key: wire.key.try_into()?,
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
    /// A [`JobState`] as it travels.
    pub enum WireJobState {
        /// It waits, for the given reason.
        Queued(String),
        /// Its members are being held.
        Holding,
        /// All its tasks run, since the given milliseconds of the Unix epoch.
        Running(u64),
        /// It finished with the answers of all tasks.
        Answered(Vec<WireAnswer>),
        /// It finished without answers.
        Refused(WireRequestError),
    }
}

impl From<JobState> for WireJobState {
    fn from(state: JobState) -> Self {
        match state {
            JobState::Queued { reason } => Self::Queued(reason.to_string()),
            JobState::Holding => Self::Holding,
            JobState::Running { since } => Self::Running(since.as_millis()),
            JobState::Finished {
                outcome: Ok(answers),
            } => Self::Answered(answers.into_iter().map(Into::into).collect()),
            JobState::Finished {
                outcome: Err(error),
            } => Self::Refused(error.into()),
        }
    }
}

impl TryFrom<WireJobState> for JobState {
    type Error = InvalidMessage;

    fn try_from(wire: WireJobState) -> Result<Self, InvalidMessage> {
        Ok(match wire {
            WireJobState::Queued(reason) => Self::Queued {
                reason: Arc::from(reason),
            },
            WireJobState::Holding => Self::Holding,
            WireJobState::Running(since) => Self::Running {
                since: Timestamp::from_millis(since),
            },
            WireJobState::Answered(answers) => {
                let answers = answers.into_iter().map(Answer::try_from);
                Self::Finished {
                    outcome: Ok(answers.collect::<Result<_, _>>()?),
                }
            }
            WireJobState::Refused(error) => Self::Finished {
                outcome: Err(RequestError::try_from(error)?),
            },
        })
    }
}

rattanwinch_types::value! { wire
    /// A [`JobStatus`] as it travels.
    pub struct WireJobStatus {
        /// The job.
        pub key: WireRequestKey,
        /// The availability zone that decides it.
        pub zone: String,
        /// The number of its latest attempt.
        pub attempt: u32,
        /// How far it has come.
        pub state: WireJobState,
    }
}

impl From<JobStatus> for WireJobStatus {
    fn from(status: JobStatus) -> Self {
        Self {
            key: status.key.into(),
            zone: status.zone.into(),
            attempt: status.attempt,
            state: status.state.into(),
        }
    }
}

impl TryFrom<WireJobStatus> for JobStatus {
    type Error = InvalidMessage;

    fn try_from(wire: WireJobStatus) -> Result<Self, InvalidMessage> {
        Ok(Self {
            key: wire.key.try_into()?,
            zone: ZoneName::new(wire.zone)?,
            attempt: wire.attempt,
            state: wire.state.try_into()?,
        })
    }
}

rattanwinch_types::value! { wire
    /// An [`Explanation`] as it travels.
    pub struct WireExplanation {
        /// When it was decided, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// What was decided and why.
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

impl From<WireExplanation> for Explanation {
    fn from(wire: WireExplanation) -> Self {
        Self {
            at: Timestamp::from_millis(wire.at_unix_ms),
            text: Arc::from(wire.text),
        }
    }
}
