//! Tests of the client's rate limits, measured by the stand-in store.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::support::all_keys;
use crate::support::client;
use crate::support::key;
use crate::support::put;
use crate::support::settings;
use crate::support::start_store;
use futures::future::join_all;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::StoreSettings;
use rattanwinch_types::Verdict;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The duration of the load; more than two windows of the rate limiter.
const LOAD: Duration = Duration::from_millis(2500);

/// The interval at which an entry reads snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// The delay between two reads of one task.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Guards against bursts at the boundary of two windows that exceed the rate limit.
#[tokio::test(flavor = "multi_thread")]
async fn no_one_second_window_exceeds_the_rate_limits() {
    let store = start_store().await;
    let client = client(StoreSettings {
        writes_per_second: 5,
        reads_per_second: 20,
        max_wait: Duration::from_millis(500),
        ..settings(&store)
    });
    let end = Instant::now() + LOAD;
    let load = (0..40).map(|index| {
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            let (mut done, mut refused) = (0_u32, 0_u32);
            while Instant::now() < end {
                let name = format!("{index}-{done}");
                let verdict = if index % 2 == 0 {
                    let write = put(&name, "1", Retention::Permanent);
                    client.transact(write).await.map(drop)
                } else if index % 4 == 1 {
                    client.read(&key(&name)).await.map(drop)
                } else {
                    client.read_snapshot(&all_keys()).await.map(drop)
                };
                match verdict {
                    Ok(()) => done += 1,
                    Err(error) => {
                        assert_eq!(error.verdict, Verdict::NotRun, "{error}");
                        refused += 1;
                        tokio::task::yield_now().await;
                    }
                }
            }
            (done, refused)
        })
    });
    let results = join_all(load).await;
    let results: Vec<_> = results.into_iter().map(Result::unwrap).collect();
    let counts = store.counts();
    assert!(counts.most_writes_per_second <= 5, "{counts:?}");
    assert!(counts.most_reads_per_second <= 20, "{counts:?}");
    // The client uses its rate limit and rejects calls beyond it.
    assert!(counts.most_writes_per_second >= 4, "{counts:?}");
    assert!(counts.most_reads_per_second >= 18, "{counts:?}");
    assert!(results.iter().map(|(done, _)| done).sum::<u32>() > 0);
    assert!(results.iter().map(|(_, refused)| refused).sum::<u32>() > 0);
    assert_eq!(counts.refused_by_rate, 0);
}

/// Guards against calls that arrive late and so close to later ones that the store refuses some:
/// a call counted from its start alone. It was seen beside builds, which delay single calls.
#[tokio::test(flavor = "multi_thread")]
async fn late_calls_count_until_they_are_answered() {
    let store = start_store().await;
    let (address, gate) = start_gate(store.address()).await;
    let client = client(StoreSettings {
        endpoints: vec![address],
        reads_per_second: 20,
        call_timeout: Duration::from_secs(3),
        read_timeout: Duration::from_secs(5),
        max_wait: Duration::from_secs(4),
        ..settings(&store)
    });
    let reads = (0..40).map(|index| {
        let client = Arc::clone(&client);
        tokio::spawn(async move { client.read(&key(&index.to_string())).await.map(drop) })
    });
    let reads: Vec<_> = reads.collect();
    tokio::time::sleep(Duration::from_millis(900)).await;
    gate.send_replace(true);
    for read in reads {
        read.await.unwrap().unwrap();
    }
    let counts = store.counts();
    assert!(counts.most_reads_per_second <= 20, "{counts:?}");
    assert_eq!(counts.refused_by_rate, 0);
}

/// Starts a relay to the store that holds all calls back until `true` is sent.
async fn start_gate(store: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let gate = watch::Sender::new(false);
    let opened = gate.subscribe();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let mut opened = opened.clone();
            tokio::spawn(async move {
                if opened.wait_for(|opened| *opened).await.is_ok()
                    && let Ok(mut store) = TcpStream::connect(store).await
                {
                    // The connection ends with either side.
                    let _ = copy_bidirectional(&mut caller, &mut store).await;
                }
            });
        }
    });
    (address, gate)
}

/// Guards against snapshots that wait behind other reads: the control state of an entry then
/// expires, although the store answers.
#[tokio::test(flavor = "multi_thread")]
async fn reads_do_not_delay_snapshots() {
    let store = start_store().await;
    let (address, gate) = start_gate(store.address()).await;
    let client = client(StoreSettings {
        endpoints: vec![address],
        ..settings(&store)
    });
    let stop = CancellationToken::new();
    let reads = (0..200).map(|index| {
        let (client, stop) = (Arc::clone(&client), stop.clone());
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            loop {
                // Reads beyond the limit are rejected.
                let _ = client.read(&key(&index.to_string())).await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }))
    });
    let reads: Vec<_> = reads.collect();
    // The store answers nothing at first.
    for _ in 0..4 {
        let client = Arc::clone(&client);
        tokio::spawn(async move { client.read_snapshot(&all_keys()).await.map(drop) });
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
    }
    gate.send_replace(true);
    for number in 0..6 {
        let since = Instant::now();
        client.read_snapshot(&all_keys()).await.unwrap();
        let took = since.elapsed();
        assert!(took < SNAPSHOT_INTERVAL, "snapshot {number} took {took:?}");
        tokio::time::sleep(SNAPSHOT_INTERVAL).await;
    }
    stop.cancel();
    join_all(reads).await;
    assert_eq!(store.counts().refused_by_rate, 0);
}

/// Guards against default limits that let one entry exceed its share of 10 writes/s and 60
/// reads/s.
#[tokio::test(flavor = "multi_thread")]
async fn a_burst_stays_within_the_default_rate_limits() {
    let store = start_store().await;
    let client = client(settings(&store));
    let end = Instant::now() + LOAD;
    let writes = async {
        while Instant::now() < end {
            // All writes use one key, so that no two of them are committed in one group.
            let write = || put("same", "1", Retention::Permanent);
            let sent = (0..4).map(|_| client.transact(write()));
            join_all(sent).await;
        }
    };
    let prefix = key("");
    let reads = async {
        while Instant::now() < end {
            let sent = (0..30).map(|_| client.read_page(&prefix, None, 10));
            join_all(sent).await;
        }
    };
    tokio::join!(writes, reads);
    let counts = store.counts();
    assert!(counts.most_writes_per_second <= 10, "{counts:?}");
    assert!(counts.most_reads_per_second <= 60, "{counts:?}");
}

/// Guards against commits that do not batch transactions under load, and so use up the store's
/// rate limit with a few transactions each.
#[tokio::test(flavor = "multi_thread")]
async fn commits_are_100_ms_apart_under_load() {
    let store = start_store().await;
    let client = client(StoreSettings {
        writes_per_second: 100,
        ..settings(&store)
    });
    let end = Instant::now() + LOAD;
    let load = (0..8).map(|index| {
        let (client, name) = (Arc::clone(&client), index.to_string());
        async move {
            while Instant::now() < end {
                let write = put(&name, "1", Retention::Permanent);
                client.transact(write).await.unwrap();
            }
        }
    });
    join_all(load).await;
    let counts = store.counts();
    // A one-second window can contain eleven commits that are 100 ms apart.
    assert!(counts.most_writes_per_second <= 11, "{counts:?}");
    assert!(counts.calls_of("txn_write") > 10, "{counts:?}");
}
