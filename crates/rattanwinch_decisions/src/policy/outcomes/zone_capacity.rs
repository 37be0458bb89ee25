use rattanwinch_types::GuaranteeStatus;

rattanwinch_types::value! {
    /// What an availability zone has and how it is used.
    #[derive(Default)]
    pub struct ZoneCapacity {
        /// Free blocks of 1, 2, 4 and 8 accelerators, each counted at its largest size.
        pub free_blocks: [u32; 4],
        /// Accelerators of usable workers.
        pub accelerators: u32,
        /// Jobs that wait.
        pub waiting: u32,
        /// The guarantees, by organisation.
        pub guarantees: Vec<GuaranteeStatus>,
    }
}
