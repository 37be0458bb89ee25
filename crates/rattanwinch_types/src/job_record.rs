use std::sync::Arc;

use crate::AcceleratorSet;
use crate::Answer;
use crate::Epoch;
use crate::JobSpec;
use crate::RequestError;
use crate::TargetName;
use crate::Timestamp;
use crate::ZoneName;

crate::value! {
    /// The placement of one task of a gang.
    pub struct PlacedTask {
        /// The worker that runs the task.
        pub target: TargetName,
        /// The accelerators of the worker that the task uses.
        pub accelerators: AcceleratorSet,
    }
}

crate::value! {
    /// The durable state of a job.
    pub enum RecordedState {
        /// The job waits for its next attempt. No member of an earlier attempt runs or can be
        /// released; `runs` counts these attempts.
        Queued,
        /// The attempt is committed; its members may have been released.
        Committed {
            /// The epoch of the decider.
            epoch: Epoch,
            /// When the attempt was committed.
            since: Timestamp,
            /// The release deadline: members still held after it are not released.
            release_by: Timestamp,
            /// The placements of the tasks, in task order.
            tasks: Vec<PlacedTask>,
        },
        /// The job has its final outcome.
        Finished {
            /// When the job finished.
            at: Timestamp,
            /// One answer for each task, or the error with its verdict.
            outcome: Result<Vec<Answer>, RequestError>,
        },
    }
}

crate::value! {
    /// The durable record of a job.
    pub struct JobRecord {
        /// The caller's job specification.
        pub spec: JobSpec,
        /// The availability zone whose decider schedules the job.
        pub zone: ZoneName,
        /// The number of the latest recorded attempt; 0 before the first.
        pub attempt: u32,
        /// The number of committed attempts.
        pub runs: u32,
        /// The state of the job.
        pub state: RecordedState,
        /// The explanation of the last decision; set once the job has finished.
        pub reason: Option<Arc<str>>,
    }
}
