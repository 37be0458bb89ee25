//! Tests of when an availability zone counts as lost.

use std::time::Duration;

use rattanwinch_decisions::ZONE_LOST_TIMEOUT;
use rattanwinch_decisions::ZoneReachability;

const LOST: ZoneReachability = ZoneReachability {
    silent_for: ZONE_LOST_TIMEOUT,
    other_zones_reachable: true,
    peers_confirm_silence: true,
};

/// Guards against jobs that stay in a zone that is unreachable from all entries.
#[test]
fn a_zone_that_is_unreachable_for_a_lease_is_lost() {
    assert!(LOST.is_lost());
}

/// Guards against a decider that moves the jobs out of a healthy zone because it is partitioned
/// itself, because another entry still has messages from the zone, or before the task leases there
/// have expired.
#[test]
fn a_zone_is_not_lost_if_any_condition_is_missing() {
    let early = ZoneReachability {
        silent_for: ZONE_LOST_TIMEOUT - Duration::from_millis(1),
        ..LOST
    };
    let partitioned = ZoneReachability {
        other_zones_reachable: false,
        ..LOST
    };
    let disputed = ZoneReachability {
        peers_confirm_silence: false,
        ..LOST
    };
    for reachability in [early, partitioned, disputed] {
        assert!(!reachability.is_lost(), "{reachability:?}");
    }
}
