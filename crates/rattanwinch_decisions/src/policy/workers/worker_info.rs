use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;

rattanwinch_types::value! {
    /// A worker that can take gang tasks.
    pub struct WorkerInfo {
        /// Target name of the worker.
        pub target: TargetName,
        /// Rack of the worker.
        pub rack: RackName,
        /// Number of accelerators, at most 8.
        pub accelerators: u8,
    }
}
