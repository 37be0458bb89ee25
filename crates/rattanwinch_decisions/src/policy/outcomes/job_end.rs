use rattanwinch_types::TargetName;
use smallvec::SmallVec;

rattanwinch_types::value! {
    /// How a started job ended.
    pub enum JobEnd {
        /// All tasks succeeded.
        Succeeded,
        /// A task failed.
        Failed {
            /// Workers on which tasks failed.
            failed_workers: SmallVec<[TargetName; 2]>,
        },
        /// The job was evicted by a decision.
        Evicted,
        /// A worker of the job was lost.
        WorkerLost,
        /// The caller cancelled the job.
        Cancelled,
    }
}
