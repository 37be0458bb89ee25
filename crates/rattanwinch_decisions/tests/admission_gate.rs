//! What an agent may start after heartbeats that were answered, late or missing.

use std::time::Duration;

use rattanwinch_decisions::AdmissionGate;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

/// The store's outage that plain requests survive in these tests.
const PLAIN_WHEN_STALE: Duration = Duration::from_secs(600);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// The response of an entry whose view is fresh for so long.
fn response(revision: i64, freshness: Duration) -> HeartbeatResponse {
    HeartbeatResponse {
        entries: Vec::new(),
        decider_epoch: None,
        freshness,
        stale_for: Duration::ZERO,
        config_revision: Revision(revision),
        zone_closed: false,
        plain_when_stale: PLAIN_WHEN_STALE,
        stop: SmallVec::new(),
        forget: SmallVec::new(),
        duplicate: false,
    }
}

/// Guards against an executor that begins what the agent would no longer permit, or refuses what
/// it still does.
#[test]
fn the_end_of_the_permission_is_where_plain_requests_are_refused() {
    for (fresh, stale) in [(1, 0), (500, 0), (5_000, 0), (500, 1_000), (500, 60_000)] {
        let mut heard = response(1, Duration::from_millis(fresh));
        heard.plain_when_stale = Duration::from_millis(stale);
        let gate = AdmissionGate::default().after_heartbeat(at(0), &heard);
        let end = gate.plain_until();
        let last = end - Duration::from_millis(1);
        gate.check_plain_request(last)
            .expect("permitted before the end");
        gate.check_plain_request(end)
            .expect_err("refused from the end on");
    }
}

/// Guards against a process that was frozen across a closing and, on resuming, starts the plain
/// requests that it had queued before it has heard an entry again.
#[test]
fn a_plain_request_needs_an_answered_heartbeat_of_the_last_two_seconds() {
    let gate =
        AdmissionGate::default().after_heartbeat(at(0), &response(1, Duration::from_millis(1)));
    gate.check_plain_request(at(1_999))
        .expect("an entry was heard");
    let error = gate
        .check_plain_request(at(2_000))
        .expect_err("none was heard");
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert!(error.is_not_run(), "{error}");
}

/// The response of an entry whose view has not been fresh for so long.
fn stale_response(stale_for: Duration) -> HeartbeatResponse {
    HeartbeatResponse {
        stale_for,
        ..response(1, Duration::ZERO)
    }
}

/// Guards against plain requests that stop as soon as the store is down, and against ones that go
/// on for longer than operators allow because each heartbeat counts as a fresh view.
#[test]
fn plain_requests_outlive_the_view_for_as_long_as_operators_allow() {
    let mut gate =
        AdmissionGate::default().after_heartbeat(at(0), &response(1, Duration::from_secs(1)));
    for seconds in 2..602 {
        let stale_for = Duration::from_secs(seconds - 1);
        gate = gate.after_heartbeat(at(seconds * 1000), &stale_response(stale_for));
        let error = gate
            .check_gang_start(at(seconds * 1000))
            .expect_err("stale");
        assert!(error.is_not_run(), "{error}");
        let allowed = seconds < 601;
        let checked = gate.check_plain_request(at(seconds * 1000));
        assert_eq!(checked.is_ok(), allowed, "after {seconds} s: {checked:?}");
    }
}

/// Guards against an agent that was replaced during an outage and takes nothing until its end.
#[test]
fn an_agent_that_starts_during_an_outage_takes_plain_requests() {
    let stale = stale_response(Duration::from_secs(100));
    let gate = AdmissionGate::default().after_heartbeat(at(0), &stale);
    gate.check_plain_request(at(1)).expect("an entry was heard");
    gate.check_gang_start(at(1)).expect_err("the view is stale");
    let too_old = stale_response(PLAIN_WHEN_STALE);
    let gate = AdmissionGate::default().after_heartbeat(at(0), &too_old);
    gate.check_plain_request(at(1))
        .expect_err("beyond the allowance");
}

/// Guards against a late response from a lagging entry that reopens a closed availability zone.
#[test]
fn an_older_view_changes_nothing() {
    let mut closing = response(2, Duration::from_secs(1));
    closing.zone_closed = true;
    let closed = AdmissionGate::default().after_heartbeat(at(0), &closing);
    let after = closed.after_heartbeat(at(500), &response(1, Duration::from_secs(9)));
    let error = after
        .check_gang_start(at(600))
        .expect_err("the zone is closed");
    assert_eq!(error.kind, ErrorKind::Closed);
    let error = after
        .check_plain_request(at(600))
        .expect_err("the zone is closed");
    assert_eq!(error.kind, ErrorKind::Closed);
}

/// Guards against a draining target that a later heartbeat opens for work again.
#[test]
fn a_leaving_target_takes_nothing_more() {
    let fresh = response(1, Duration::from_secs(1));
    let gate = AdmissionGate::default().after_heartbeat(at(0), &fresh);
    let leaving = gate.with_leaving().after_heartbeat(at(100), &fresh);
    leaving
        .check_plain_request(at(200))
        .expect_err("it is leaving");
    leaving
        .check_gang_start(at(200))
        .expect_err("it is leaving");
}
