use std::sync::Arc;

use crate::Answer;
use crate::RequestError;
use crate::RequestKey;
use crate::Timestamp;
use crate::ZoneName;

crate::value! {
    /// How far a job has come.
    pub enum JobState {
        /// It waits; the text says for what.
        Queued {
            /// What it waits for, in a sentence.
            reason: Arc<str>,
        },
        /// Its members are being held.
        Holding,
        /// All its tasks run.
        Running {
            /// When they were released.
            since: Timestamp,
        },
        /// It finished: the answers of all tasks in their order, or why there are none.
        Finished {
            /// One answer for each task, or the error with its verdict.
            outcome: Result<Vec<Answer>, RequestError>,
        },
    }
}

crate::value! {
    /// What is known of a job.
    pub struct JobStatus {
        /// The job.
        pub key: RequestKey,
        /// The availability zone that decides it.
        pub zone: ZoneName,
        /// The number of its latest attempt; 0 before the first.
        pub attempt: u32,
        /// How far it has come.
        pub state: JobState,
    }
}

impl JobStatus {
    /// True if the job has its outcome.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        matches!(self.state, JobState::Finished { .. })
    }
}

crate::value! {
    /// One decision about a job, kept for `explain`.
    pub struct Explanation {
        /// When it was decided.
        pub at: Timestamp,
        /// What was decided and why, in a sentence that can be read to a board.
        pub text: Arc<str>,
    }
}
