use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Digest;
use rattanwinch_types::Epoch;
use rattanwinch_types::GangShape;
use rattanwinch_types::JobRecord;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Urgency;
use rattanwinch_types::ZoneName;

use super::InvalidRecord;
use super::Result;
use super::decode;
use super::encode;
use super::outcome::StoredOutcome;

rattanwinch_types::value! { wire
    /// The stored form of a [`JobSpec`].
    pub struct StoredSpec {
        organisation: String,
        id: String,
        tasks: u16,
        accelerators_per_task: u8,
        adjacency: String,
        idempotent: bool,
        urgency: String,
        deadline_unix_ms: u64,
        declared_run_time_ms: u64,
        payload: String,
    }
}

impl From<&JobSpec> for StoredSpec {
    fn from(spec: &JobSpec) -> Self {
        let run_time = spec.declared_run_time.as_millis();
        Self {
            organisation: spec.key.organisation.to_string(),
            id: spec.key.id.to_string(),
            tasks: spec.shape.tasks(),
            accelerators_per_task: spec.shape.accelerators_per_task(),
            adjacency: spec.shape.adjacency().as_str().to_owned(),
            idempotent: spec.idempotent,
            urgency: spec.urgency.as_str().to_owned(),
            deadline_unix_ms: spec.deadline.as_millis(),
            declared_run_time_ms: u64::try_from(run_time).unwrap_or(u64::MAX),
            payload: spec.payload.as_ref().to_owned(),
        }
    }
}

/// Creates the error for an invalid name or gang shape.
fn invalid_job(error: impl fmt::Display) -> InvalidRecord {
    InvalidRecord::new("of a job", &format!("a valid value: {error}"))
}

impl TryFrom<StoredSpec> for JobSpec {
    type Error = InvalidRecord;

    fn try_from(stored: StoredSpec) -> Result<Self> {
        let key = RequestKey {
            organisation: Organisation::new(stored.organisation).map_err(invalid_job)?,
            id: RequestId::new(stored.id).map_err(invalid_job)?,
        };
        let adjacency = Adjacency::parse(&stored.adjacency)
            .ok_or_else(|| InvalidRecord::new("adjacency", "zone, racks, rack or worker"))?;
        let urgency = Urgency::parse(&stored.urgency)
            .ok_or_else(|| InvalidRecord::new("urgency", "normal or urgent"))?;
        let shape = GangShape::new(stored.tasks, stored.accelerators_per_task, adjacency);
        Ok(Self {
            key,
            shape: shape.map_err(invalid_job)?,
            idempotent: stored.idempotent,
            urgency,
            deadline: Timestamp::from_millis(stored.deadline_unix_ms),
            declared_run_time: Duration::from_millis(stored.declared_run_time_ms),
            payload: Arc::from(stored.payload),
        })
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`PlacedTask`].
    pub struct StoredTask {
        target: String,
        accelerators: u8,
    }
}

impl From<&PlacedTask> for StoredTask {
    fn from(task: &PlacedTask) -> Self {
        Self {
            target: task.target.to_string(),
            accelerators: task.accelerators.bits(),
        }
    }
}

impl TryFrom<StoredTask> for PlacedTask {
    type Error = InvalidRecord;

    fn try_from(stored: StoredTask) -> Result<Self> {
        Ok(Self {
            target: TargetName::new(stored.target).map_err(invalid_job)?,
            accelerators: AcceleratorSet::from_bits(stored.accelerators),
        })
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`RecordedState`].
    #[serde(rename_all = "snake_case")]
    pub enum StoredState {
        /// The job is queued.
        Queued,
        /// An attempt of the job was committed.
        Committed {
            /// The epoch of the decider that committed it.
            epoch: i64,
            /// When the attempt was committed.
            since_unix_ms: u64,
            /// The deadline for releasing the attempt.
            release_by_unix_ms: u64,
            /// The placement of the tasks.
            tasks: Vec<StoredTask>,
        },
        /// The job has finished.
        Finished {
            /// When the job finished.
            at_unix_ms: u64,
            /// The outcome of the job.
            outcome: StoredOutcome,
        },
    }
}

impl From<&RecordedState> for StoredState {
    fn from(state: &RecordedState) -> Self {
        match state {
            RecordedState::Queued => Self::Queued,
            RecordedState::Committed {
                epoch,
                since,
                release_by,
                tasks,
            } => Self::Committed {
                epoch: epoch.0,
                since_unix_ms: since.as_millis(),
                release_by_unix_ms: release_by.as_millis(),
                tasks: tasks.iter().map(StoredTask::from).collect(),
            },
            RecordedState::Finished { at, outcome } => Self::Finished {
                at_unix_ms: at.as_millis(),
                outcome: outcome.into(),
            },
        }
    }
}

impl TryFrom<StoredState> for RecordedState {
    type Error = InvalidRecord;

    fn try_from(stored: StoredState) -> Result<Self> {
        Ok(match stored {
            StoredState::Queued => Self::Queued,
            StoredState::Committed {
                epoch,
                since_unix_ms,
                release_by_unix_ms,
                tasks,
            } => Self::Committed {
                epoch: Epoch(epoch),
                since: Timestamp::from_millis(since_unix_ms),
                release_by: Timestamp::from_millis(release_by_unix_ms),
                tasks: tasks
                    .into_iter()
                    .map(PlacedTask::try_from)
                    .collect::<Result<_>>()?,
            },
            StoredState::Finished {
                at_unix_ms,
                outcome,
            } => Self::Finished {
                at: Timestamp::from_millis(at_unix_ms),
                outcome: outcome.try_into()?,
            },
        })
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`JobRecord`].
    pub struct StoredJob {
        spec: StoredSpec,
        digest: String,
        zone: String,
        attempt: u32,
        runs: u32,
        state: StoredState,
        reason: Option<String>,
    }
}

impl From<&JobRecord> for StoredJob {
    fn from(record: &JobRecord) -> Self {
        Self {
            spec: (&record.spec).into(),
            digest: record.spec.digest().to_hex(),
            zone: record.zone.to_string(),
            attempt: record.attempt,
            runs: record.runs,
            state: (&record.state).into(),
            reason: record.reason.as_deref().map(str::to_owned),
        }
    }
}

impl TryFrom<StoredJob> for JobRecord {
    type Error = InvalidRecord;

    fn try_from(stored: StoredJob) -> Result<Self> {
        let spec = JobSpec::try_from(stored.spec)?;
        if spec.digest().to_hex() != stored.digest {
            return Err(InvalidRecord::new("digest", "the digest of the job"));
        }
        Ok(Self {
            spec,
            zone: ZoneName::new(stored.zone).map_err(invalid_job)?,
            attempt: stored.attempt,
            runs: stored.runs,
            state: stored.state.try_into()?,
            reason: stored.reason.map(Arc::from),
        })
    }
}

impl StoredJob {
    /// Encodes the record for storage.
    #[must_use]
    pub fn encode(record: &JobRecord) -> Arc<[u8]> {
        encode(&Self::from(record))
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if the value is not a valid job record or its digest does not match.
    pub fn decode(value: &[u8]) -> Result<JobRecord> {
        decode::<Self>("job record", value)?.try_into()
    }
}

rattanwinch_types::value! {
    /// The pointer from a job's id to the zone that stores its record.
    pub struct JobPointer {
        /// The digest of the job specification.
        pub digest: Digest,
        /// The availability zone whose decider owns the job.
        pub zone: ZoneName,
    }
}

impl JobPointer {
    /// Encodes the record for storage.
    #[must_use]
    pub fn encode(&self) -> Arc<[u8]> {
        encode(&StoredJobPointer::from(self.clone()))
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if the value is not a job pointer, for example a claim.
    pub fn decode(value: &[u8]) -> Result<Self> {
        decode::<StoredJobPointer>("job pointer", value)?.try_into()
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`JobPointer`]. Its field names distinguish it from the claim of a
    /// plain request, which is stored under the same kind of key.
    #[serde(deny_unknown_fields)]
    pub struct StoredJobPointer {
        job_digest: String,
        job_zone: String,
    }
}

impl From<JobPointer> for StoredJobPointer {
    fn from(pointer: JobPointer) -> Self {
        Self {
            job_digest: pointer.digest.to_hex(),
            job_zone: pointer.zone.into(),
        }
    }
}

impl TryFrom<StoredJobPointer> for JobPointer {
    type Error = InvalidRecord;

    fn try_from(stored: StoredJobPointer) -> Result<Self> {
        let digest = Digest::parse_hex(&stored.job_digest);
        Ok(Self {
            digest: digest
                .ok_or_else(|| InvalidRecord::new("job_digest", "64 hexadecimal characters"))?,
            zone: ZoneName::new(stored.job_zone).map_err(invalid_job)?,
        })
    }
}
