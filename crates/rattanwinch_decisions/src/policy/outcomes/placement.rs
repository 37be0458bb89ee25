use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::TargetName;

rattanwinch_types::value! {
    /// Placement of one task.
    pub struct TaskPlacement {
        /// Worker that runs the task.
        pub target: TargetName,
        /// Accelerators of the worker: an aligned block.
        pub accelerators: AcceleratorSet,
    }
}

rattanwinch_types::value! {
    /// Placement of the tasks of a gang.
    pub struct Placement {
        /// One placement for each task, by task index.
        pub tasks: Vec<TaskPlacement>,
    }
}
