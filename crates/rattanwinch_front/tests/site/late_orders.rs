use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use tokio::net::TcpListener;

use crate::harness::Site;

const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a task that runs twice: an unanswered order may still be carried out after the
/// task was started elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_is_carried_out_late_does_not_run_beside_another() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000a0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000a0", "completed", JOB_TIMEOUT)
        .await;
    for worker in &site.workers {
        // Delays the first attempts and some of the stops that follow.
        worker.executor.delay_orders(8, Duration::from_secs(2));
    }
    site.submit_until_accepted(0, "00000000000000a1", 600, 6)
        .await;
    site.wait_for(0, "00000000000000a1", "completed", JOB_TIMEOUT)
        .await;
    // Delayed copies of the orders arrive up to 2 s after they were sent.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.assert_no_task_ran_twice("00000000000000a1");
}

/// A draining target must run nothing new, even if a start was sent before and not answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_start_on_a_draining_target_is_stopped_and_runs_elsewhere() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000b0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000b0", "completed", JOB_TIMEOUT)
        .await;
    let draining = &site.workers[0];
    draining.executor.delay_orders(3, Duration::from_secs(3));
    site.submit_until_accepted(0, "00000000000000b1", 300, 12)
        .await;
    draining.executor.drain();
    site.wait_for(0, "00000000000000b1", "completed", JOB_TIMEOUT)
        .await;
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    site.assert_no_task_ran_twice("00000000000000b1");
}

/// Guards against a start that is repeated through a partition and reaches the next instance of the
/// executor: it ran beside the task's next run until the scheduler had it stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_start_for_a_former_instance_does_not_run_on_the_next() {
    let site = Site::start(1, 2).await;
    site.submit_until_accepted(0, "00000000000000e0", 10, 1)
        .await;
    site.wait_for(0, "00000000000000e0", "completed", JOB_TIMEOUT)
        .await;
    let executor = &site.workers[0].executor;
    executor.set_partitioned(true);
    site.submit_until_accepted(0, "00000000000000e1", 600, 12)
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    executor.restart();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    executor.set_partitioned(false);
    site.wait_for(0, "00000000000000e1", "completed", JOB_TIMEOUT)
        .await;
    site.assert_no_task_ran_twice("00000000000000e1");
    for run in site.runs("00000000000000e1") {
        let outcome = run.ended.map(|(_, outcome)| outcome);
        assert_eq!(outcome, Some("done"), "{run:?}");
    }
}

/// Guards against a run that loses its lease between its start, which grants none beyond the
/// order's validity, and the first renewal: the poll that was sent before the agent had found the
/// scheduler renews nothing.
#[tokio::test(flavor = "multi_thread")]
async fn leases_are_renewed_as_soon_as_an_agent_has_found_the_scheduler() {
    // Less than the 1.5 s that the poll in progress may take.
    let bound = Duration::from_secs(1);
    for _ in 0..3 {
        let site = Site::start(1, 1).await;
        let started_at = Instant::now();
        while site.workers[0].executor.lease_left() < Duration::from_secs(5) {
            let waited = started_at.elapsed();
            assert!(waited < bound, "no renewal {waited:?} after the start");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A target that refuses starts for a while must not keep its tasks from running elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_avoid_an_unhealthy_target() {
    let site = Site::start(1, 2).await;
    site.workers[0].executor.set_unhealthy(true);
    site.submit_until_accepted(0, "00000000000000c1", 200, 8)
        .await;
    site.wait_for(0, "00000000000000c1", "completed", JOB_TIMEOUT)
        .await;
    assert!(site.workers[0].executor.runs().is_empty());
    site.assert_no_task_ran_twice("00000000000000c1");
}

/// Counts the connections to an address and closes each at once.
async fn count_connections(address: SocketAddr) -> Arc<AtomicU32> {
    let poll_started_at = Instant::now();
    // The previous server at the address may take a moment to end.
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => assert!(
                poll_started_at.elapsed() < JOB_TIMEOUT,
                "{address}: {error}"
            ),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::AcqRel);
            drop(connection);
        }
    });
    count
}

/// Guards against retries without backoff: an executor that closed its connections at once was sent
/// an order over a thousand times a second.
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_not_repeated_in_a_tight_loop() {
    let mut site = Site::start(1, 1).await;
    let id = "00000000000000d1";
    let tasks = 4;
    site.submit_until_accepted(0, id, 60_000, tasks).await;
    let poll_started = Instant::now();
    while site.started(id).len() < tasks as usize {
        assert!(
            poll_started.elapsed() < JOB_TIMEOUT,
            "not all tasks were started"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let worker = site.workers.remove(0);
    let address = worker.executor.address();
    worker.executor.crash().await;
    let connections = count_connections(address).await;
    let path = format!("/checks/{id}");
    let (status, _) = site.call(0, Method::DELETE, &path, None).await;
    assert!((200..300).contains(&status), "{status}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    // In 3 s: a list request every 200 ms, and for each task two orders of at most six attempts.
    let max_connections = 3_000 / 200 + 2 * 6 * tasks;
    let made = connections.load(Ordering::Acquire);
    assert!(made <= max_connections, "{made} connections in 3 s");
}
