use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::TargetName;

rattanwinch_types::value! {
    /// Where one task runs.
    pub struct TaskPlacement {
        /// The worker.
        pub target: TargetName,
        /// The accelerators there: an aligned block.
        pub accelerators: AcceleratorSet,
    }
}

rattanwinch_types::value! {
    /// Where the tasks of a gang run.
    pub struct Placement {
        /// One place for each task; the index is the task's.
        pub tasks: Vec<TaskPlacement>,
    }
}
