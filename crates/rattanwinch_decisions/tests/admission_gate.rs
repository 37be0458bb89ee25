//! Tests of what an agent may start after heartbeats that were answered, late or missing.

use std::time::Duration;

use rattanwinch_decisions::AdmissionGate;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

/// How long plain requests are accepted during an outage of the store in these tests.
const PLAIN_WHEN_STALE: Duration = Duration::from_secs(600);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Response of an entry whose view is fresh for this long.
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

/// Guards against an executor that starts a request that the agent would refuse, or refuses one
/// that it would accept.
#[test]
fn plain_requests_are_refused_from_plain_until_on() {
    for (fresh, stale) in [(1, 0), (500, 0), (5_000, 0), (500, 1_000), (500, 60_000)] {
        let mut answered = response(1, Duration::from_millis(fresh));
        answered.plain_when_stale = Duration::from_millis(stale);
        let gate = AdmissionGate::default().after_heartbeat(at(0), &answered);
        let end = gate.plain_until();
        let last = end - Duration::from_millis(1);
        gate.check_plain_request(last)
            .expect("permitted before the end");
        gate.check_plain_request(end)
            .expect_err("refused from the end on");
    }
}

/// Guards against an agent that was frozen while its zone was closed and, on resuming, starts the
/// plain requests that it had queued before it receives another heartbeat response.
#[test]
fn a_plain_request_needs_an_answered_heartbeat_of_the_last_two_seconds() {
    let gate =
        AdmissionGate::default().after_heartbeat(at(0), &response(1, Duration::from_millis(1)));
    gate.check_plain_request(at(1_999))
        .expect("a heartbeat was answered");
    let error = gate
        .check_plain_request(at(2_000))
        .expect_err("no heartbeat was answered in time");
    assert_eq!(error.kind, ErrorKind::Unavailable);
    assert!(error.is_not_run(), "{error}");
}

/// Response of an entry whose view has been stale for this long.
fn stale_response(stale_for: Duration) -> HeartbeatResponse {
    HeartbeatResponse {
        stale_for,
        ..response(1, Duration::ZERO)
    }
}

/// Guards against plain requests that are refused as soon as the store is down, and against
/// accepting them for longer than configured because each heartbeat counts as a fresh view.
#[test]
fn plain_requests_are_accepted_for_the_configured_time_without_a_fresh_view() {
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

/// Guards against an agent that was replaced during an outage and accepts nothing until the outage
/// ends.
#[test]
fn an_agent_that_starts_during_an_outage_takes_plain_requests() {
    let stale = stale_response(Duration::from_secs(100));
    let gate = AdmissionGate::default().after_heartbeat(at(0), &stale);
    gate.check_plain_request(at(1))
        .expect("a heartbeat was answered");
    gate.check_gang_start(at(1)).expect_err("the view is stale");
    let too_old = stale_response(PLAIN_WHEN_STALE);
    let gate = AdmissionGate::default().after_heartbeat(at(0), &too_old);
    gate.check_plain_request(at(1))
        .expect_err("stale for longer than allowed");
}

/// Guards against a late response from a lagging entry that reopens a closed availability zone.
#[test]
fn a_response_from_an_older_view_has_no_effect() {
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

/// Guards against a leaving target that accepts work again after a later heartbeat.
#[test]
fn a_leaving_target_accepts_nothing() {
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
