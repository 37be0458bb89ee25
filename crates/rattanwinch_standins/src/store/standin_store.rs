use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poem::Server;
use poem::listener::Acceptor as _;
use poem::listener::Listener as _;
use poem::listener::TcpListener;
use rattanwinch_runtime::Shutdown;

use super::CallCounter;
use super::KvState;
use super::SharedState;
use super::StoreCounts;
use super::StoreFaults;
use super::StoreLimits;
use super::admin_routes::admin_routes;
use super::gateway_routes::gateway_routes;

/// The interval between checks for expired leases; each call checks them as well.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The time limit for calls in progress at shutdown; open watches would delay it forever.
const STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// An in-memory store behind the etcd v3 JSON gateway, with rate limits and fault injection.
///
/// It is controlled by its methods or over HTTP at the same address:
///
/// - `GET /admin/faults` and `PUT /admin/faults`: [`StoreFaults`];
/// - `POST /admin/snapshot` and `POST /admin/restore`: `{"snapshot": 0}`;
/// - `POST /admin/revoke-leases`: revokes all leases;
/// - `GET /admin/counts` and `DELETE /admin/counts`: [`StoreCounts`].
///
/// Connections are refused only after [`StandinStore::stop`]. The fault `refuse` responds with
/// status 503 instead, so that the admin paths keep working.
#[derive(Debug)]
pub struct StandinStore {
    address: SocketAddr,
    shared: Arc<SharedState>,
    shutdown: Shutdown,
}

impl StandinStore {
    /// Starts an empty store that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address cannot be bound.
    pub async fn start(address: SocketAddr, limits: StoreLimits) -> io::Result<Self> {
        let state = KvState::new(rand::random(), limits.max_value_bytes);
        Self::start_with(address, limits, state).await
    }

    /// Starts a store that listens on `address`, with the state of an earlier one.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Never: a TCP listener has a TCP address.
    pub async fn start_with(
        address: SocketAddr,
        limits: StoreLimits,
        state: KvState,
    ) -> io::Result<Self> {
        let shared = Arc::new(SharedState::new(state, CallCounter::new(limits)));
        let acceptor = TcpListener::bind(address).into_acceptor().await?;
        let local = acceptor.local_addr();
        let address = local
            .iter()
            .find_map(|local| local.as_socket_addr().copied());
        let address = address.expect("a TCP listener has a TCP address");
        let app = gateway_routes(&shared).nest("/admin", admin_routes(&shared));
        let shutdown = Shutdown::new();
        let stop = shutdown.clone();
        shutdown.spawn(async move {
            let server = Server::new_with_acceptor(acceptor);
            let stopped = async move { stop.requested().await };
            // A stand-in has no log; a failed listener is visible as refused connections.
            let _ = server
                .run_with_graceful_shutdown(app, stopped, Some(STOP_TIMEOUT))
                .await;
        });
        shutdown.spawn(expire(Arc::clone(&shared), shutdown.clone()));
        Ok(Self {
            address,
            shared,
            shutdown,
        })
    }

    /// Returns the address of the store.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, so that connections are refused, and returns the state, from which a
    /// stand-in can be restarted at the same address.
    pub async fn stop(&self) -> KvState {
        self.shutdown.request();
        // The listener closes at once; calls in progress are aborted at the limit.
        self.shutdown.wait_finished(10 * STOP_TIMEOUT).await;
        self.state()
    }

    /// Returns a copy of the current state.
    #[must_use]
    pub fn state(&self) -> KvState {
        self.shared.with_state(|state, _| state.clone())
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.shared.faults.borrow().clone()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Saves a snapshot of the current state and returns its number.
    #[must_use]
    pub fn snapshot(&self) -> usize {
        self.shared.snapshot()
    }

    /// Restores a snapshot under a new cluster id; false if the snapshot does not exist.
    pub fn restore(&self, snapshot: usize) -> bool {
        self.shared.restore(snapshot)
    }

    /// Revokes all leases and deletes the keys attached to them.
    pub fn revoke_leases(&self) {
        self.shared.with_state(|state, _| state.revoke_all());
    }

    /// Returns the call counts since the start or the last reset.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.shared.counter().counts()
    }

    /// Resets the call counts.
    pub fn reset_counts(&self) {
        self.shared.counter().reset();
    }
}

/// Expires leases also while no calls arrive, so that watches receive the deletions.
async fn expire(shared: Arc<SharedState>, shutdown: Shutdown) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.requested() => return,
            _ = interval.tick() => shared.with_state(|_, _| ()),
        }
    }
}
