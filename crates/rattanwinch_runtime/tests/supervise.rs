//! Long-lived tasks that panic.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use rattanwinch_runtime::discard_logger;
use rattanwinch_runtime::supervise;

/// Guards against a process that goes on without one of its tasks after an unexpected error.
#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&starts);
    supervise(discard_logger(), "test", move || {
        let start = counted.fetch_add(1, Ordering::Relaxed);
        async move { assert!(start == 2, "injected fault") }
    })
    .await;
    assert_eq!(starts.load(Ordering::Relaxed), 3);
}
