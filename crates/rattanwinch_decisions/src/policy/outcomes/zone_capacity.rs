use rattanwinch_types::GuaranteeStatus;

rattanwinch_types::value! {
    /// Capacity of an availability zone and its use.
    #[derive(Default)]
    pub struct ZoneCapacity {
        /// Free blocks of 1, 2, 4 and 8 accelerators, each counted at its largest size.
        pub free_blocks: [u32; 4],
        /// Number of accelerators of usable workers.
        pub accelerators: u32,
        /// Number of waiting jobs.
        pub waiting: u32,
        /// Guarantees by organisation.
        pub guarantees: Vec<GuaranteeStatus>,
    }
}
