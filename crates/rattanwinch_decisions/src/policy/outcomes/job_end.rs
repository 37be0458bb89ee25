use rattanwinch_types::TargetName;
use smallvec::SmallVec;

rattanwinch_types::value! {
    /// How a started job ended.
    pub enum JobEnd {
        /// All tasks succeeded.
        Succeeded,
        /// A task failed.
        Failed {
            /// The workers whose tasks failed.
            failed_workers: SmallVec<[TargetName; 2]>,
        },
        /// It was taken off its accelerators by a decision.
        Evicted,
        /// A worker of it was lost.
        WorkerLost,
        /// The caller cancelled it.
        Cancelled,
    }
}
