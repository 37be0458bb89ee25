//! Tests of the outcomes that the client reports when the store or the connection fails.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::all_keys;
use crate::support::applied;
use crate::support::client;
use crate::support::key;
use crate::support::settings;
use crate::support::start_store;
use crate::support::wait_until;
use futures::future::join_all;
use rattanwinch_platform::Condition;
use rattanwinch_platform::EtcdStore;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::StoreSettings;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreFaults;
use rattanwinch_standins::StoreLimits;
use rattanwinch_standins::StoreMode;
use rattanwinch_types::Verdict;
use tokio::io::AsyncReadExt as _;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

fn put(name: &str, value: &str) -> Transaction {
    crate::support::put(name, value, Retention::Permanent)
}

/// Settings with a short time-out, to keep the tests of unresponsive stores fast.
fn with_short_timeout(store: &StandinStore) -> StoreSettings {
    StoreSettings {
        call_timeout: Duration::from_millis(200),
        ..settings(store)
    }
}

fn lose_answers(count: u32) -> StoreFaults {
    StoreFaults {
        lose_answers: count,
        ..StoreFaults::default()
    }
}

fn mode(mode: StoreMode) -> StoreFaults {
    StoreFaults {
        mode,
        ..StoreFaults::default()
    }
}

/// Guards against an applied write that is reported as unknown or sent again.
#[tokio::test(flavor = "multi_thread")]
async fn writes_with_a_lost_response_are_read_back() {
    let store = start_store().await;
    let client = client(settings(&store));
    applied(client.transact(put("warm", "1")).await.unwrap());
    store.reset_counts();
    store.set_faults(lose_answers(2));
    let names: Vec<_> = (0..5).map(|index| format!("lost-{index}")).collect();
    let sent = names
        .iter()
        .map(|name| client.transact(put(name, name).with_condition(Condition::Absent(key(name)))));
    let outcomes = join_all(sent).await;
    for (name, outcome) in names.iter().zip(outcomes) {
        let revision = applied(outcome.unwrap());
        let found = client.read(&key(name)).await.unwrap().unwrap();
        assert_eq!(found.revision, revision);
    }
    let state = store.state();
    let version = |name: &String| {
        let range = rattanwinch_platform::wire::WireRange {
            key: (&key(name)).into(),
            ..Default::default()
        };
        state.range(&range).kvs[0].version.0
    };
    assert!(names.iter().all(|name| version(name) == 1));
    assert!(store.counts().calls_of("txn_write") <= 2);
}

/// Guards against a read-back that mistakes an older value with the same bytes for the lost write.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_value_with_the_same_bytes_is_not_mistaken_for_the_lost_write() {
    let store = start_store().await;
    let client = client(settings(&store));
    applied(client.transact(put("a", "same")).await.unwrap());
    store.set_faults(lose_answers(1));
    let create = put("a", "same").with_condition(Condition::Absent(key("a")));
    let error = client.transact(create).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
}

/// Guards against a definite outcome for a lost deletion, which cannot be read back.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_deletion_is_reported_as_unknown() {
    let store = start_store().await;
    let client = client(settings(&store));
    applied(client.transact(put("a", "1")).await.unwrap());
    store.set_faults(lose_answers(1));
    let delete = Transaction::new().with_delete(key("a"));
    let error = client.transact(delete).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    assert_eq!(client.read(&key("a")).await.unwrap(), None);
}

/// Guards against a read that fails because the store closes the connection on which it is sent:
/// after a lost answer, the next read can use the dying connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_on_a_connection_that_closes_is_repeated() {
    let store = start_store().await;
    applied(
        client(settings(&store))
            .transact(put("a", "1"))
            .await
            .unwrap(),
    );
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let behind = store.address();
    tokio::spawn(async move {
        // The first connection closes once it has received a part of a request.
        let (mut first, _) = listener.accept().await.unwrap();
        first.read_exact(&mut [0; 16]).await.unwrap();
        drop(first);
        let (mut second, _) = listener.accept().await.unwrap();
        let mut store = TcpStream::connect(behind).await.unwrap();
        // The connection ends with either side.
        let _ = copy_bidirectional(&mut second, &mut store).await;
    });
    let client = client(StoreSettings {
        endpoints: vec![address],
        ..settings(&store)
    });
    let found = client.read(&key("a")).await.unwrap();
    assert!(found.is_some());
}

/// Guards against reporting a write as unknown that is applied shortly after the time-out.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_applied_after_the_time_out_is_found() {
    let store = start_store().await;
    let client = client(with_short_timeout(&store));
    applied(client.transact(put("warm", "1")).await.unwrap());
    store.reset_counts();
    store.set_faults(StoreFaults {
        delay_ms: 300,
        ..StoreFaults::default()
    });
    let arrived = async {
        wait_until("arrival of the write at the store", || {
            store.counts().calls_of("txn_write") == 1
        })
        .await;
        store.set_faults(StoreFaults::default());
    };
    let (outcome, ()) = tokio::join!(client.transact(put("a", "1")), arrived);
    applied(outcome.unwrap());
    assert_eq!(store.counts().calls_of("txn_write"), 1);
}

/// Guards against "not run" for a write that was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_hangs_or_fails_leaves_the_write_unknown() {
    let store = start_store().await;
    let client = client(with_short_timeout(&store));
    applied(client.transact(put("warm", "1")).await.unwrap());
    for fault in [StoreMode::Hang, StoreMode::Refuse] {
        store.set_faults(mode(fault));
        let error = client.transact(put("a", "1")).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::MayHaveRun, "{fault:?}: {error}");
        let error = client.read(&key("a")).await.unwrap_err();
        assert_eq!(error.verdict, Verdict::NotRun, "{fault:?}: {error}");
        store.set_faults(StoreFaults::default());
        assert_eq!(client.read(&key("a")).await.unwrap(), None);
    }
}

/// Guards against a client that does not reconnect after an outage, and against an unknown outcome
/// when nothing was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_means_not_run() {
    let store = start_store().await;
    let address = store.address();
    let client = client(settings(&store));
    applied(client.transact(put("a", "1")).await.unwrap());
    let state = store.stop().await;
    // The first call may still use a pooled connection that is being closed.
    let _ = client.read(&key("a")).await;
    let error = client.transact(put("a", "2")).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun, "{error}");
    let restarted = StandinStore::start_with(address, StoreLimits::default(), state).await;
    let _restarted = restarted.expect("the address is free after the store has stopped");
    let found = client.read(&key("a")).await.unwrap().unwrap();
    assert_eq!(&*found.value, b"1");
    applied(client.transact(put("a", "3")).await.unwrap());
}

/// Guards against a client that keeps using an endpoint that is down.
#[tokio::test(flavor = "multi_thread")]
async fn the_client_switches_to_the_next_endpoint_after_a_failure() {
    let stopped = start_store().await;
    stopped.stop().await;
    let store = start_store().await;
    let client = client(StoreSettings {
        endpoints: vec![stopped.address(), store.address()],
        ..settings(&store)
    });
    let error = client.transact(put("a", "1")).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun, "{error}");
    applied(client.transact(put("a", "1")).await.unwrap());
}

/// Guards against the fault `cut_off` of one client affecting other clients.
#[tokio::test(flavor = "multi_thread")]
async fn one_client_can_be_cut_off_from_the_store() {
    let store = start_store().await;
    let first = client(with_short_timeout(&store));
    let second = EtcdStore::builder()
        .settings(with_short_timeout(&store))
        .client_name("entry-b")
        .start();
    store.set_faults(StoreFaults {
        cut_off: ["entry-a".to_owned()].into(),
        ..StoreFaults::default()
    });
    first.read_snapshot(&all_keys()).await.unwrap_err();
    second.read_snapshot(&all_keys()).await.unwrap();
    store.set_faults(StoreFaults::default());
    first.read_snapshot(&all_keys()).await.unwrap();
}

/// Guards against a restored store that is not detected, and against comparing its revisions with
/// those from before the restore.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_has_another_cluster_id() {
    let store = start_store().await;
    let client = client(settings(&store));
    let snapshot = store.snapshot();
    applied(client.transact(put("a", "1")).await.unwrap());
    let before = client.read_snapshot(&all_keys()).await.unwrap();
    assert!(store.restore(snapshot));
    let after = client.read_snapshot(&all_keys()).await.unwrap();
    assert_ne!(after.cluster, before.cluster);
    assert!(after.revision < before.revision);
    assert_eq!(
        client
            .last_seen_revision()
            .map(|last_seen_revision| last_seen_revision.revision),
        Some(after.revision)
    );
    assert_eq!(client.read(&key("a")).await.unwrap(), None);
    let outcome = client.transact(put("a", "2")).await.unwrap();
    assert!(matches!(outcome, TransactionOutcome::Applied(_)));
}

/// Guards against a read-back that compares revisions of different clusters.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_lost_while_the_store_is_restored_is_unknown() {
    let store = start_store().await;
    let client = client(with_short_timeout(&store));
    applied(client.transact(put("warm", "1")).await.unwrap());
    let snapshot = store.snapshot();
    store.reset_counts();
    store.set_faults(StoreFaults {
        delay_ms: 300,
        ..StoreFaults::default()
    });
    let restored = async {
        wait_until("arrival of the write at the store", || {
            store.counts().calls_of("txn_write") == 1
        })
        .await;
        store.restore(snapshot);
        store.set_faults(StoreFaults::default());
    };
    let (outcome, ()) = tokio::join!(client.transact(put("a", "1")), restored);
    assert_eq!(outcome.unwrap_err().verdict, Verdict::MayHaveRun);
}

/// Guards against a constructor that connects: a client must start while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn a_client_starts_while_the_store_is_down() {
    let unused_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
    let settings = StoreSettings::builder()
        .endpoints(vec![unused_address])
        .build();
    let client = client(settings);
    let error = client.transact(put("a", "1")).await.unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun, "{error}");
    assert_eq!(client.last_seen_revision(), None);
}
