use std::sync::Arc;
use std::time::Duration;

use bon::Builder;

use crate::Digest;
use crate::GangShape;
use crate::RequestKey;
use crate::Timestamp;
use crate::Urgency;

/// A gang job: tasks that all run or none does.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct JobSpec {
    /// The organisation and the caller's id.
    pub key: RequestKey,
    /// What the gang needs.
    pub shape: GangShape,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// How soon it has to start.
    #[builder(default)]
    pub urgency: Urgency,
    /// When the caller has no more use for the answer, in milliseconds since the Unix epoch.
    pub deadline: Timestamp,
    /// The declared run time; may be off by ten times either way.
    pub declared_run_time: Duration,
    /// The text for each task's executor.
    pub payload: Arc<str>,
}

impl JobSpec {
    /// The digest of all that the caller asked, for telling a retry from a reused id.
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
