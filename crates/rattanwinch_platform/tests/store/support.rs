//! Starts stand-in stores and clients for the tests.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_platform::EtcdStore;
use rattanwinch_platform::Retention;
use rattanwinch_platform::SnapshotRange;
use rattanwinch_platform::StoreSettings;
use rattanwinch_platform::Transaction;
use rattanwinch_platform::TransactionOutcome;
use rattanwinch_platform::keys::Key;
use rattanwinch_standins::StandinStore;
use rattanwinch_standins::StoreLimits;
use rattanwinch_types::Revision;

/// Starts a stand-in store on a free port.
pub async fn start_store() -> StandinStore {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let started = StandinStore::start(any, StoreLimits::default()).await;
    started.expect("a free port on loopback")
}

/// Settings with the default rate limits.
pub fn settings(store: &StandinStore) -> StoreSettings {
    StoreSettings::builder()
        .endpoints(vec![store.address()])
        .build()
}

/// Starts a client.
pub fn client(settings: StoreSettings) -> Arc<EtcdStore> {
    let client = EtcdStore::builder()
        .settings(settings)
        .client_name("entry-a");
    Arc::new(client.start())
}

/// An unconditional put.
pub fn put(name: &str, value: &str, retention: Retention) -> Transaction {
    Transaction::new().with_put(key(name), value.as_bytes(), retention)
}

/// Waits up to 10 s until a condition holds.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let polling = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let limited = tokio::time::timeout(Duration::from_secs(10), polling).await;
    limited.unwrap_or_else(|_| panic!("condition not met within 10 s: {what}"));
}

/// A key below the tests' prefix.
pub fn key(name: &str) -> Key {
    Key::from(format!("/rattanwinch/test/{name}"))
}

/// Returns the revision of a transaction; panics if it was not applied.
pub fn applied(outcome: TransactionOutcome) -> Revision {
    match outcome {
        TransactionOutcome::Applied(revision) => revision,
        TransactionOutcome::Conflict(found) => panic!("expected Applied, found {found:?}"),
    }
}

/// A single range that contains all keys.
pub fn all_keys() -> [SnapshotRange; 1] {
    [SnapshotRange::Prefix(Arc::from("/"))]
}
