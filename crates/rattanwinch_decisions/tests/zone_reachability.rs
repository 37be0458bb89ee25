//! When an availability zone counts as lost.

use std::time::Duration;

use rattanwinch_decisions::ZONE_LOST_AFTER;
use rattanwinch_decisions::ZoneReachability;

const LOST: ZoneReachability = ZoneReachability {
    silent_for: ZONE_LOST_AFTER,
    other_zones_reachable: true,
    peers_confirm_silence: true,
};

/// Guards against jobs that stay in a zone which is gone for everyone.
#[test]
fn a_zone_that_nobody_hears_for_a_lease_is_lost() {
    assert!(LOST.is_lost());
}

/// Guards against a decider that empties a healthy zone because it is cut off itself, because
/// another entry still hears the zone, or before the task leases there have passed.
#[test]
fn a_single_missing_sign_keeps_the_jobs_in_the_zone() {
    let early = ZoneReachability {
        silent_for: ZONE_LOST_AFTER - Duration::from_millis(1),
        ..LOST
    };
    let cut_off = ZoneReachability {
        other_zones_reachable: false,
        ..LOST
    };
    let disputed = ZoneReachability {
        peers_confirm_silence: false,
        ..LOST
    };
    for signs in [early, cut_off, disputed] {
        assert!(!signs.is_lost(), "{signs:?}");
    }
}
