//! Tests of the process lease and of the leases of keys that are kept for 24 h.

use std::sync::Arc;
use std::time::Duration;

use crate::support::applied;
use crate::support::client;
use crate::support::key;
use crate::support::put;
use crate::support::settings;
use crate::support::start_store;
use crate::support::wait_until;
use rattanwinch_platform::LeaseId;
use rattanwinch_platform::ProcessLease;
use rattanwinch_platform::Retention;
use rattanwinch_platform::Store as _;
use rattanwinch_platform::StoreSettings;
use rattanwinch_platform::wire::WireKeyValue;
use rattanwinch_platform::wire::WireRange;
use rattanwinch_standins::StandinStore;
use tokio::sync::watch;

/// Settings with a short lease, to keep the tests fast; the store counts in whole seconds.
fn with_short_lease(store: &StandinStore) -> StoreSettings {
    StoreSettings {
        lease_ttl: Duration::from_secs(1),
        lease_interval: Duration::from_millis(200),
        ..settings(store)
    }
}

fn read_stored(store: &StandinStore, name: &str) -> Option<WireKeyValue> {
    let range = WireRange {
        key: (&key(name)).into(),
        ..WireRange::default()
    };
    store.state().range(&range).kvs.pop()
}

async fn wait_for_lease_other_than(
    lease: &mut watch::Receiver<ProcessLease>,
    id: Option<LeaseId>,
) -> LeaseId {
    let held = lease.wait_for(|state| state.held().is_some() && state.held() != id);
    let held = tokio::time::timeout(Duration::from_secs(10), held).await;
    let held = *held.expect("a lease within 10 s").expect("the client runs");
    held.held().expect("a held lease")
}

/// Guards against a registration that expires while its process runs.
#[tokio::test(flavor = "multi_thread")]
async fn renewal_keeps_keys_of_a_process_beyond_the_lease_ttl() {
    let store = start_store().await;
    let client = client(with_short_lease(&store));
    applied(
        client
            .transact(put("p", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    // Twelve renewals at 200 ms take longer than twice the time to live.
    wait_until("twelve renewals", || {
        store.counts().calls_of("lease_keepalive") >= 12
    })
    .await;
    assert!(read_stored(&store, "p").is_some());
    assert_eq!(store.counts().calls_of("lease_grant"), 1);
}

/// Guards against registrations that remain after their process has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_stopped_process_are_deleted() {
    let store = start_store().await;
    let killed = client(with_short_lease(&store));
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
    assert_eq!(read_stored(&store, "stopped"), None);
    assert!(read_stored(&store, "killed").is_some());
    drop(killed);
    wait_until("expiry of the process lease", || {
        read_stored(&store, "killed").is_none()
    })
    .await;
}

/// Guards against an owner that is not notified when its keys are deleted.
#[tokio::test(flavor = "multi_thread")]
async fn the_owner_is_notified_of_a_lost_lease_and_can_write_its_keys_again() {
    let store = start_store().await;
    let client = client(with_short_lease(&store));
    let mut lease = client.process_lease();
    assert_eq!(*lease.borrow(), ProcessLease::NotGranted);
    let registration = put("p", "1", Retention::ProcessLease);
    applied(client.transact(registration.clone()).await.unwrap());
    let first = wait_for_lease_other_than(&mut lease, None).await;
    store.revoke_leases();
    assert_eq!(read_stored(&store, "p"), None);
    let second = wait_for_lease_other_than(&mut lease, Some(first)).await;
    applied(client.transact(registration).await.unwrap());
    assert_eq!(
        read_stored(&store, "p").map(|kv| kv.lease.0),
        Some(second.0)
    );
}

/// Guards against a registration that stays missing from a restored store that has the lease but
/// not the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_counts_as_a_lost_lease() {
    let store = start_store().await;
    let client = client(with_short_lease(&store));
    let mut lease = client.process_lease();
    applied(
        client
            .transact(put("p", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    let first = wait_for_lease_other_than(&mut lease, None).await;
    let snapshot = store.snapshot();
    applied(
        client
            .transact(put("q", "1", Retention::ProcessLease))
            .await
            .unwrap(),
    );
    assert!(store.restore(snapshot));
    assert!(store.state().lease_ttl(first.0).is_some());
    wait_for_lease_other_than(&mut lease, Some(first)).await;
    assert!(read_stored(&store, "q").is_none());
}

/// Guards against a write that fails because a lease was lost between two renewals.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_under_a_lost_lease_is_retried_with_a_new_one() {
    let store = start_store().await;
    let client = client(settings(&store));
    for retention in [Retention::ProcessLease, Retention::Day] {
        applied(client.transact(put("p", "1", retention)).await.unwrap());
        let first = read_stored(&store, "p").expect("it was written").lease;
        store.revoke_leases();
        applied(client.transact(put("p", "2", retention)).await.unwrap());
        let second = read_stored(&store, "p").expect("it was written").lease;
        assert_ne!(first, second, "{retention:?}");
    }
}

/// Guards against a separate lease for each key, and against keys that expire before 24 h.
#[tokio::test(flavor = "multi_thread")]
async fn keys_kept_for_24_h_share_a_lease() {
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
    assert_eq!(store.counts().calls_of("lease_grant"), 1);
    let lease = read_stored(&store, "a").expect("it was written").lease.0;
    assert_eq!(
        read_stored(&store, "c").expect("it was written").lease.0,
        lease
    );
    let ttl = store
        .state()
        .lease_ttl(lease)
        .expect("the store has the lease");
    assert!(
        ttl >= 25 * 3600,
        "a lease with a TTL of {ttl} s deletes a key written 3600 s after the grant too early"
    );
    applied(
        client
            .transact(put("d", "1", Retention::Permanent))
            .await
            .unwrap(),
    );
    assert_eq!(read_stored(&store, "d").expect("it was written").lease.0, 0);
}
