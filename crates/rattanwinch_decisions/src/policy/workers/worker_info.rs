use rattanwinch_types::RackName;
use rattanwinch_types::TargetName;

rattanwinch_types::value! {
    /// A worker that can take gang tasks.
    pub struct WorkerInfo {
        /// Its name.
        pub target: TargetName,
        /// The rack it is in.
        pub rack: RackName,
        /// Its accelerators, at most 8.
        pub accelerators: u8,
    }
}
