use smallvec::SmallVec;

use crate::policy::workers::worker_id::WorkerId;

rattanwinch_types::value! { copy
    /// Some accelerators of one worker.
    pub(crate) struct Slot {
        /// The worker.
        pub worker: WorkerId,
        /// The accelerators.
        pub bits: u8,
    }
}

/// The accelerators of a job's tasks, in the order of the tasks.
pub(crate) type Slots = SmallVec<[Slot; 4]>;
