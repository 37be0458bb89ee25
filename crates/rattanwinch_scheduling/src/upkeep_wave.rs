use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::value;

use crate::MachineId;

value! {
    /// A maintenance wave ordered by operators: each machine gets its upkeep within a time limit.
    pub struct UpkeepWave {
        /// The number of the wave.
        pub number: u32,
        /// The machines.
        pub machines: Arc<[MachineId]>,
        /// The time within which all machines must begin, from when the wave was ordered.
        pub time_limit: Duration,
        /// The maximum number of machines of the wave that may be down at once.
        pub max_down: u32,
    }
}

value! { copy
    /// The state of a machine.
    pub enum MachineState {
        /// The machine is up, and its target may run tasks.
        Up,
        /// The upkeep of the machine is in progress.
        Upkeep,
        /// The machine is down or being moved.
        Away,
    }
}

value! {
    /// A machine in the platform's listing.
    pub struct Machine {
        /// The id of the machine.
        pub id: MachineId,
        /// The state of the machine.
        pub state: MachineState,
        /// The target on the machine, if any.
        pub target: Option<TargetName>,
    }
}

impl Machine {
    pub(crate) fn is_up(&self) -> bool {
        self.state == MachineState::Up
    }
}

value! { copy
    /// The outcome of an order to begin an upkeep.
    pub enum UpkeepOutcome {
        /// The upkeep has begun, now or earlier.
        Begun,
        /// The machine cannot begin now, because it is down or leaves.
        Busy,
        /// The machine is unknown or not part of the wave, and needs no upkeep.
        NotNeeded,
        /// Another scheduler has taken over.
        Fenced,
        /// The order may have been carried out, or may still be.
        Unknown,
    }
}
