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
    /// Where one task of a gang is placed.
    pub struct PlacedTask {
        /// The worker.
        pub target: TargetName,
        /// Its accelerators.
        pub accelerators: AcceleratorSet,
    }
}

crate::value! {
    /// How far the store knows a job to have come.
    pub enum RecordedState {
        /// No member of any attempt runs or may be released; earlier attempts count in `runs`.
        Queued,
        /// The attempt was committed: its members may have been released.
        Committed {
            /// The decider's epoch.
            epoch: Epoch,
            /// When it was committed.
            since: Timestamp,
            /// Members that are still held after this time aren't released any longer.
            release_by: Timestamp,
            /// Where the tasks are, in their order.
            tasks: Vec<PlacedTask>,
        },
        /// It finished, once and for good.
        Finished {
            /// When.
            at: Timestamp,
            /// One answer for each task, or the error with its verdict.
            outcome: Result<Vec<Answer>, RequestError>,
        },
    }
}

crate::value! {
    /// What the store keeps of a job.
    pub struct JobRecord {
        /// What the caller asked.
        pub spec: JobSpec,
        /// The availability zone that decides it.
        pub zone: ZoneName,
        /// The number of the latest attempt that the record knows; 0 before the first.
        pub attempt: u32,
        /// Attempts that were committed.
        pub runs: u32,
        /// How far it has come.
        pub state: RecordedState,
        /// The last decision about it, once it has finished.
        pub reason: Option<Arc<str>>,
    }
}
