//! What an agent makes of heartbeats that another writer may have sent.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::RunLists;
use rattanwinch_side::TargetView;
use rattanwinch_site_executors::ExecutorHeartbeat;
use rattanwinch_site_executors::ExecutorLists;
use rattanwinch_types::Timestamp;

/// The leases that an agent grants.
const LEASE: Duration = Duration::from_secs(6);

fn heartbeat(sequence: u64, service: &str) -> ExecutorHeartbeat {
    let body = serde_json::json!({
        "service": service, "addr": "10.0.0.9:8080", "zone": "az-1", "state": "ready",
        "capacity": { "cpu": 16000, "mem_mb": 32768, "gpu": 8 }, "labels": ["a", "r1"],
        "clock_ms": 1000, "seq": sequence, "born": 99,
    });
    let vm = Arc::from("vm-1");
    ExecutorHeartbeat::decode(&vm, "i-7", body.to_string().as_bytes()).expect("a heartbeat")
}

/// Guards against one odd sequence number after which all heartbeats of the executor are ignored.
#[test]
fn an_odd_sequence_number_is_not_followed() {
    let now = Timestamp::from_millis(1);
    let mut view = TargetView::new(&heartbeat(4, "design"), LEASE, now);
    assert!(!view.apply_heartbeat(&heartbeat(u64::MAX, "odd"), now));
    assert_eq!(view.description().service.as_str(), "design");
    assert!(view.apply_heartbeat(&heartbeat(5, "next"), now));
    assert!(!view.apply_heartbeat(&heartbeat(4, "late"), now));
}

/// Guards against an odd first heartbeat that hides those of the executor for good.
#[test]
fn an_odd_first_heartbeat_is_replaced() {
    let now = Timestamp::from_millis(1);
    let mut view = TargetView::new(&heartbeat(u64::MAX, "odd"), LEASE, now);
    assert!(view.apply_heartbeat(&heartbeat(4, "design"), now));
    assert_eq!(view.description().service.as_str(), "design");
}

/// Guards against a scheduler that takes the first ends for all of them, and against ends that are
/// read only with the next poll though the executor can list them at once.
#[test]
fn partial_lists_are_reported_as_such_and_read_on_when_acknowledged() {
    let now = Timestamp::from_millis(1);
    let mut view = TargetView::new(&heartbeat(4, "design"), LEASE, now);
    let lists = |extent| ExecutorLists {
        clock_ms: 1_000,
        started_at_ms: Some(99),
        runs: RunLists::empty(extent),
        unreadable: 0,
    };
    view.apply_lists(lists(ListExtent::Partial), now);
    let report = view.report(now).expect("a report");
    assert_eq!(report.lists.extent, ListExtent::Partial);
    assert!(view.acknowledge(500));
    assert!(!view.acknowledge(500), "nothing new to list");
    assert!(view.apply_lists(lists(ListExtent::Complete), now));
    let report = view.report(now).expect("a report");
    assert_eq!(report.lists.extent, ListExtent::Complete);
    assert!(!view.acknowledge(501));
}

/// Guards against work that never starts again because its executor is gone for good beside a live
/// agent: leases have to end at a time that the agent knows.
#[test]
fn an_executor_that_answers_nothing_lapses_when_its_last_lease_has_ended() {
    let started = Timestamp::from_millis(1_000_000);
    let after = |millis| started + Duration::from_millis(millis);
    let mut view = TargetView::new(&heartbeat(4, "design"), LEASE, started);
    assert!(view.may_renew_lease(after(2_400)));
    let (_, grant) = view.grant_lease(LEASE, after(2_400));
    view.settle_lease(grant, true);
    assert!(
        !view.may_renew_lease(after(2_500)),
        "renewed without an end"
    );
    view.set_responsive(false);
    assert!(
        !view.has_lapsed(after(2_400 + 6_000)),
        "a clock may be slow"
    );
    assert!(view.has_lapsed(after(2_400 + 6_130)));
}

/// Guards against an executor that is given up though its runs go on: a former process of the agent
/// has renewed the lease just before, a start grants one as well, and the fate of a request may
/// never be known.
#[test]
fn leases_of_a_former_agent_and_of_starts_count() {
    let now = Timestamp::from_millis(1_000_000);
    let mut view = TargetView::new(&heartbeat(4, "design"), LEASE, now);
    view.set_responsive(false);
    assert!(!view.has_lapsed(now + LEASE));
    let later = now + Duration::from_secs(60);
    assert!(view.has_lapsed(later));
    view.grant_lease(Duration::from_secs(1), later);
    assert!(!view.has_lapsed(later + Duration::from_secs(1)));
}

/// Guards against a wait for leases that nobody has received: connections to an executor that has
/// crashed are refused.
#[test]
fn a_lease_in_a_request_that_was_never_sent_is_not_waited_for() {
    let now = Timestamp::from_millis(1_000_000);
    let mut view = TargetView::new(&heartbeat(4, "design"), LEASE, now);
    view.set_responsive(false);
    let later = now + Duration::from_secs(2);
    let (_, grant) = view.grant_lease(LEASE, later);
    view.settle_lease(grant, false);
    assert!(view.has_lapsed(now + Duration::from_millis(6_130)));
}
