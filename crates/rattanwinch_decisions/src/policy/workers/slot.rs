use smallvec::SmallVec;

use crate::policy::workers::worker_id::WorkerId;

rattanwinch_types::value! { copy
    /// Accelerators of one worker.
    pub(crate) struct Slot {
        /// The worker.
        pub worker: WorkerId,
        /// Bit set of accelerators.
        pub bits: u8,
    }
}

/// Accelerators of a job's tasks, in task order.
pub(crate) type Slots = SmallVec<[Slot; 4]>;
