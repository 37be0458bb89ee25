use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::value;

use crate::MachineId;

value! {
    /// What operators order: each of these machines is to have its upkeep in time.
    pub struct UpkeepWave {
        /// Its number.
        pub number: u32,
        /// The machines.
        pub machines: Arc<[MachineId]>,
        /// The time in which all of them are to have begun, from when the wave was ordered.
        pub time_limit: Duration,
        /// The most machines of the wave that may be down at once.
        pub max_down: u32,
    }
}

value! { copy
    /// What a machine does.
    pub enum MachineState {
        /// Its target may be at work.
        Up,
        /// It has its upkeep.
        Upkeep,
        /// It is down or moves.
        Away,
    }
}

value! {
    /// What the platform lists of a machine.
    pub struct Machine {
        /// Which.
        pub id: MachineId,
        /// What it does.
        pub state: MachineState,
        /// Its target.
        pub target: Option<TargetName>,
    }
}

impl Machine {
    pub(crate) fn is_up(&self) -> bool {
        self.state == MachineState::Up
    }
}

value! { copy
    /// What came of the order to begin an upkeep.
    pub enum UpkeepOutcome {
        /// It has begun, or had before.
        Begun,
        /// The machine can't begin now; it is down or leaves.
        Busy,
        /// It isn't part of the wave, or there is no such machine; it needs no upkeep.
        NotNeeded,
        /// Another scheduler has taken over.
        Fenced,
        /// The order may have been carried out, or may still be.
        Unknown,
    }
}
