use std::time::Duration;

use crate::TASK_LEASE;

/// A zone whose agents are all silent for this long may be lost. By then its task leases have
/// expired, and so have the registrations of entries that died with it, which last 10 s.
pub const ZONE_LOST_TIMEOUT: Duration = TASK_LEASE;

rattanwinch_types::value! { copy
    /// Reachability of a zone's agents as observed by its decider.
    pub struct ZoneReachability {
        /// How long no agent of the zone has sent a message.
        pub silent_for: Duration,
        /// Whether agents of another zone send messages, which shows that the decider itself isn't
        /// partitioned.
        pub other_zones_reachable: bool,
        /// Whether every other registered entry responds and has no message from the zone's agents
        /// either.
        pub peers_confirm_silence: bool,
    }
}

impl ZoneReachability {
    /// Whether the zone counts as lost, so that its jobs are moved to other zones.
    #[must_use]
    pub fn is_lost(self) -> bool {
        self.silent_for >= ZONE_LOST_TIMEOUT
            && self.other_zones_reachable
            && self.peers_confirm_silence
    }
}
