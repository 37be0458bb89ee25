//! The process's lease and the leases of keys that stay for a day.

use std::sync::Arc;
use std::time::Duration;

use crate::support::applied;
use crate::support::client;
use crate::support::key;
use crate::support::put;
use crate::support::settings;
use crate::support::start_store;
use crate::support::until;
use rattanwinch_platform::LeaseId;
use rattanwinch_platform::ProcessLease;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::StoreSettings;
use rattanwinch_platform::wire::WireKeyValue;
use rattanwinch_platform::wire::WireRange;
use rattanwinch_standins::StandinStore;
use tokio::sync::watch;

/// A short lease, so that the tests are quick; the store counts in whole seconds.
fn short_lease(store: &StandinStore) -> StoreSettings {
    StoreSettings {
        lease_ttl: Duration::from_secs(1),
        lease_interval: Duration::from_millis(200),
        ..settings(store)
    }
}

fn stored(store: &StandinStore, name: &str) -> Option<WireKeyValue> {
    let range = WireRange {
        key: (&key(name)).into(),
        ..WireRange::default()
    };
    store.state().range(&range).kvs.pop()
}

async fn held_other_than(
    lease: &mut watch::Receiver<ProcessLease>,
    id: Option<LeaseId>,
) -> LeaseId {
    let held = lease.wait_for(|state| state.held().is_some() && state.held() != id);
    let held = tokio::time::timeout(Duration::from_secs(10), held).await;
    let held = *held.expect("a lease within 10 s").expect("the client runs");
    held.held().expect("a held lease")
}

/// Guards against a registration that disappears while its process runs.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_process_outlive_the_time_to_live_while_it_renews() {
    let store = start_store().await;
    let client = client(short_lease(&store));
    applied(
        client
            .transact(put("p", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    // Twelve renewals of 200 ms take longer than twice the time to live.
    until("twelve renewals", || {
        store.counts().of("lease_keepalive") >= 12
    })
    .await;
    assert!(stored(&store, "p").is_some());
    assert_eq!(store.counts().of("lease_grant"), 1);
}

/// Guards against registrations of processes that are gone.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_process_go_with_it() {
    let store = start_store().await;
    let killed = client(short_lease(&store));
    applied(
        killed
            .transact(put("killed", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    let stopped = client(settings(&store));
    applied(
        stopped
            .transact(put("stopped", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    let stopped = Arc::into_inner(stopped).expect("one handle");
    stopped.close().await;
    assert_eq!(stored(&store, "stopped"), None);
    assert!(stored(&store, "killed").is_some());
    drop(killed);
    until("the lease expires", || stored(&store, "killed").is_none()).await;
}

/// Guards against an owner that isn't told that its keys are gone.
#[tokio::test(flavor = "multi_thread")]
async fn the_owner_learns_of_a_lost_lease_and_writes_its_keys_again() {
    let store = start_store().await;
    let client = client(short_lease(&store));
    let mut lease = client.process_lease();
    assert_eq!(*lease.borrow(), ProcessLease::NotGranted);
    let registration = put("p", "1", Retention::ProcessLease);
    applied(client.transact(registration.clone()).await.unwrap());
    let first = held_other_than(&mut lease, None).await;
    store.revoke_leases();
    assert_eq!(stored(&store, "p"), None);
    let second = held_other_than(&mut lease, Some(first)).await;
    applied(client.transact(registration).await.unwrap());
    assert_eq!(stored(&store, "p").map(|kv| kv.lease.0), Some(second.0));
}

/// Guards against a registration that is missing in a restored store which knows the lease.
#[tokio::test(flavor = "multi_thread")]
async fn the_owner_learns_that_the_store_was_restored() {
    let store = start_store().await;
    let client = client(short_lease(&store));
    let mut lease = client.process_lease();
    applied(
        client
            .transact(put("p", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    let first = held_other_than(&mut lease, None).await;
    let snapshot = store.snapshot();
    applied(
        client
            .transact(put("q", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    assert!(store.restore(snapshot));
    assert!(store.state().lease_ttl(first.0).is_some());
    held_other_than(&mut lease, Some(first)).await;
    assert!(stored(&store, "q").is_none());
}

/// Guards against a write that fails because the store lost a lease between two renewals.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_under_a_lost_lease_gets_a_new_one() {
    let store = start_store().await;
    let client = client(settings(&store));
    for retention in [Retention::ProcessLease, Retention::Day] {
        applied(client.transact(put("p", "1", retention)).await.unwrap());
        let first = stored(&store, "p").expect("it was written").lease;
        store.revoke_leases();
        applied(client.transact(put("p", "2", retention)).await.unwrap());
        let second = stored(&store, "p").expect("it was written").lease;
        assert_ne!(first, second, "{retention:?}");
    }
}

/// Guards against a lease for each key, and against keys that go before 24 h have passed.
#[tokio::test(flavor = "multi_thread")]
async fn keys_that_stay_for_a_day_share_a_lease() {
    let store = start_store().await;
    let client = client(settings(&store));
    for name in ["a", "b", "c"] {
        applied(
            client
                .transact(put(name, "1", Retention::Day))
                .await
                .unwrap(),
        );
    }
    assert_eq!(store.counts().of("lease_grant"), 1);
    let lease = stored(&store, "a").expect("it was written").lease.0;
    assert_eq!(stored(&store, "c").expect("it was written").lease.0, lease);
    let ttl = store
        .state()
        .lease_ttl(lease)
        .expect("the store has the lease");
    assert!(
        ttl >= 25 * 3600,
        "a key written an hour after the grant has {ttl} s less 3600 s"
    );
    applied(
        client
            .transact(put("d", "1", Retention::Permanent))
            .await
            .unwrap(),
    );
    assert_eq!(stored(&store, "d").expect("it was written").lease.0, 0);
}
