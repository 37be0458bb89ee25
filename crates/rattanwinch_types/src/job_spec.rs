use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::Digest;
use crate::GangShape;
use crate::RequestKey;
use crate::Timestamp;
use crate::Urgency;

/// A gang job: either all of its tasks run, or none.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct JobSpec {
    /// The organisation and the caller's id of the job.
    pub key: RequestKey,
    /// The tasks and accelerators of the gang.
    pub shape: GangShape,
    /// True if running the job twice has the same effect as running it once.
    pub idempotent: bool,
    /// How soon the job has to start.
    #[builder(default)]
    pub urgency: Urgency,
    /// When the answer becomes useless to the caller, in milliseconds since the Unix epoch.
    pub deadline: Timestamp,
    /// The caller's estimate of the run time; may be wrong by a factor of ten either way.
    pub declared_run_time: Duration,
    /// The payload passed to each task's executor.
    pub payload: Arc<str>,
}

impl JobSpec {
    /// Computes the digest of the specification, which distinguishes a retry from a reused id.
    #[must_use]
    pub fn digest(&self) -> Digest {
        Digest::of_fields(&[
            b"job",
            self.key.organisation.as_str().as_bytes(),
            self.key.id.as_str().as_bytes(),
            &self.shape.tasks().to_be_bytes(),
            &[self.shape.accelerators_per_task()],
            self.shape.adjacency().as_str().as_bytes(),
            &[u8::from(self.idempotent)],
            self.urgency.as_str().as_bytes(),
            &self.deadline.as_millis().to_be_bytes(),
            &self.declared_run_time.as_millis().to_be_bytes(),
            self.payload.as_bytes(),
        ])
    }
}
