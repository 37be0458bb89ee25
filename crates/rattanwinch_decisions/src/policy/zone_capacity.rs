use std::sync::Arc;

use rattanwinch_types::Organisation;

rattanwinch_types::value! {
    /// How far an organisation's guarantee stands in one availability zone.
    pub struct GuaranteeReport {
        /// The owner.
        pub organisation: Organisation,
        /// Accelerators that are guaranteed to it.
        pub guaranteed: u32,
        /// Accelerators that its work uses within the guarantee.
        pub used: u32,
        /// Accelerators that its work has borrowed.
        pub borrowed: u32,
        /// Accelerators of blocks that can't be reclaimed now.
        pub unmet: u32,
        /// Why they can't; `None` if all can.
        pub cause: Option<Arc<str>>,
    }
}

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
        pub guarantees: Vec<GuaranteeReport>,
    }
}
