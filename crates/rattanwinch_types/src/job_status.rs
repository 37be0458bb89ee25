use std::sync::Arc;

use crate::Answer;
use crate::RequestError;
use crate::RequestKey;
use crate::Timestamp;
use crate::ZoneName;

crate::value! {
    /// The state of a job as reported to callers.
    pub enum JobState {
        /// The job waits in the queue.
        Queued {
            /// What the job waits for, as a sentence.
            reason: Arc<str>,
        },
        /// The job's members are being held at their agents.
        Holding,
        /// All tasks of the job run.
        Running {
            /// When the members were released.
            since: Timestamp,
        },
        /// The job has its final outcome.
        Finished {
            /// The answers of all tasks in task order, or the error with its verdict.
            outcome: Result<Vec<Answer>, RequestError>,
        },
    }
}

crate::value! {
    /// The status of a job.
    pub struct JobStatus {
        /// The organisation and the id of the job.
        pub key: RequestKey,
        /// The availability zone whose decider schedules the job.
        pub zone: ZoneName,
        /// The number of the latest attempt; 0 before the first.
        pub attempt: u32,
        /// The state of the job.
        pub state: JobState,
    }
}

impl JobStatus {
    /// Returns true if the job has its final outcome.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.state, JobState::Finished { .. })
    }
}

crate::value! {
    /// The explanation of one decision about a job, kept for `explain`.
    pub struct Explanation {
        /// When the decision was made.
        pub at: Timestamp,
        /// The decision and its reason, as a sentence for readers without technical knowledge.
        pub text: Arc<str>,
    }
}
