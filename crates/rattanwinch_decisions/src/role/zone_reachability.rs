use std::time::Duration;

use crate::TASK_LEASE;

/// A zone without a heard agent for this long may be lost: by then its task leases have passed,
/// and the registrations of entries that died with it, which last 10 s.
pub const ZONE_LOST_AFTER: Duration = TASK_LEASE;

rattanwinch_types::value! { copy
    /// What the decider of a zone knows of the zone's agents.
    pub struct ZoneReachability {
        /// How long it has heard none of them.
        pub silent_for: Duration,
        /// Whether it hears agents of another zone, so that it isn't cut off itself.
        pub other_zones_reachable: bool,
        /// Whether every other registered entry answers and hears none of them either.
        pub peers_confirm_silence: bool,
    }
}

impl ZoneReachability {
    /// Whether the zone counts as lost, so that its jobs move to others.
    #[must_use]
    pub fn is_lost(self) -> bool {
        self.silent_for >= ZONE_LOST_AFTER
            && self.other_zones_reachable
            && self.peers_confirm_silence
    }
}
