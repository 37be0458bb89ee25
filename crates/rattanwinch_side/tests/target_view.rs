//! What an agent makes of heartbeats that another writer may have sent.

use std::sync::Arc;

use rattanwinch_scheduling::ListExtent;
use rattanwinch_scheduling::RunLists;
use rattanwinch_side::TargetView;
use rattanwinch_site_executors::ExecutorHeartbeat;
use rattanwinch_site_executors::ExecutorLists;
use rattanwinch_types::Timestamp;

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
    let mut view = TargetView::new(&heartbeat(4, "design"), now);
    assert!(!view.apply_heartbeat(&heartbeat(u64::MAX, "odd"), now));
    assert_eq!(view.description().service.as_str(), "design");
    assert!(view.apply_heartbeat(&heartbeat(5, "next"), now));
    assert!(!view.apply_heartbeat(&heartbeat(4, "late"), now));
}

/// Guards against an odd first heartbeat that hides those of the executor for good.
#[test]
fn an_odd_first_heartbeat_is_replaced() {
    let now = Timestamp::from_millis(1);
    let mut view = TargetView::new(&heartbeat(u64::MAX, "odd"), now);
    assert!(view.apply_heartbeat(&heartbeat(4, "design"), now));
    assert_eq!(view.description().service.as_str(), "design");
}

/// Guards against a scheduler that takes the first ends for all of them, and against ends that are
/// read only with the next poll though the executor can list them at once.
#[test]
fn partial_lists_are_reported_as_such_and_read_on_when_acknowledged() {
    let now = Timestamp::from_millis(1);
    let mut view = TargetView::new(&heartbeat(4, "design"), now);
    let lists = |extent| ExecutorLists {
        clock_ms: 1_000,
        started_at_ms: Some(99),
        runs: RunLists::empty(extent),
        unreadable: 0,
    };
    view.apply_lists(lists(ListExtent::Partial), now);
    let report = view.report().expect("a report");
    assert_eq!(report.lists.extent, ListExtent::Partial);
    assert!(view.acknowledge(500));
    assert!(!view.acknowledge(500), "nothing new to list");
    assert!(view.apply_lists(lists(ListExtent::Complete), now));
    let report = view.report().expect("a report");
    assert_eq!(report.lists.extent, ListExtent::Complete);
    assert!(!view.acknowledge(501));
}
