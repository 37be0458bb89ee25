//! The client's budget of calls, measured by the stand-in.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

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

/// How long the load lasts; more than two windows.
const LOAD: Duration = Duration::from_millis(2500);

/// Guards against bursts at the border of two windows that exceed the process's share.
#[tokio::test(flavor = "multi_thread")]
async fn no_second_has_more_calls_than_the_budget() {
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
                } else {
                    client.read(&key(&name)).await.map(drop)
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
    // The budget is used, and what exceeds it is refused.
    assert!(counts.most_writes_per_second >= 4, "{counts:?}");
    assert!(counts.most_reads_per_second >= 18, "{counts:?}");
    assert!(results.iter().map(|(done, _)| done).sum::<u32>() > 0);
    assert!(results.iter().map(|(_, refused)| refused).sum::<u32>() > 0);
    assert_eq!(counts.refused_by_rate, 0);
}

/// Guards against a default that lets one entry use more than its share of 10 writes and 60
/// reads a second.
#[tokio::test(flavor = "multi_thread")]
async fn the_default_budget_holds_for_a_burst() {
    let store = start_store().await;
    let client = client(settings(&store));
    let end = Instant::now() + LOAD;
    let writes = async {
        while Instant::now() < end {
            // One key, so that no two share a call.
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

/// Guards against calls that leave without waiting for others under load, which would use up the
/// store's rate with a few transactions each.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_100_ms_apart_under_load() {
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
    // Eleven fit into a second: one at each end.
    assert!(counts.most_writes_per_second <= 11, "{counts:?}");
    assert!(counts.of("txn_write") > 10, "{counts:?}");
}
