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
use super::Shared;
use super::StoreCounts;
use super::StoreFaults;
use super::StoreLimits;
use super::admin_routes::admin_routes;
use super::gateway_routes::gateway_routes;

/// How often leases are looked at, besides with each call.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// How long a stop waits for calls in progress; waiting watches would hold it up for ever.
const STOP_LIMIT: Duration = Duration::from_millis(100);

/// A store in memory behind the etcd v3 JSON gateway, with limits and faults.
///
/// It can be steered by its methods and over HTTP at the same address:
///
/// - `GET /admin/faults` and `PUT /admin/faults`: [`StoreFaults`];
/// - `POST /admin/snapshot` and `POST /admin/restore`: `{"snapshot": 0}`;
/// - `POST /admin/revoke-leases`: ends all leases;
/// - `GET /admin/counts` and `DELETE /admin/counts`: [`StoreCounts`].
///
/// Connections are refused only after [`StandinStore::stop`]; the fault `refuse` answers with the
/// status 503, so that the admin paths go on working.
#[derive(Debug)]
pub struct StandinStore {
    address: SocketAddr,
    shared: Arc<Shared>,
    shutdown: Shutdown,
}

impl StandinStore {
    /// Listens on `address`, where port 0 takes a free one, with an empty state.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be bound.
    pub async fn start(address: SocketAddr, limits: StoreLimits) -> io::Result<Self> {
        let state = KvState::new(rand::random(), limits.max_value_bytes);
        Self::start_with(address, limits, state).await
    }

    /// Listens on `address` with the state of an earlier stand-in.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be bound.
    ///
    /// # Panics
    ///
    /// If the listener has no TCP address, which can't be with a TCP listener.
    pub async fn start_with(
        address: SocketAddr,
        limits: StoreLimits,
        state: KvState,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::new(state, CallCounter::new(limits)));
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
            // A stand-in has no log; a broken listener shows as refused connections.
            let _ = server
                .run_with_graceful_shutdown(app, stopped, Some(STOP_LIMIT))
                .await;
        });
        shutdown.spawn(expire(Arc::clone(&shared), shutdown.clone()));
        Ok(Self {
            address,
            shared,
            shutdown,
        })
    }

    /// Where the store takes calls.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, so that connections are refused, and returns the state, with which a
    /// stand-in can be started again at the same address.
    pub async fn stop(&self) -> KvState {
        self.shutdown.request();
        // The listener is closed at once; calls in progress are cut off at the limit.
        self.shutdown.wait_finished(10 * STOP_LIMIT).await;
        self.state()
    }

    /// The present state.
    #[must_use]
    pub fn state(&self) -> KvState {
        self.shared.with_state(|state, _| state.clone())
    }

    /// What the store was told to do wrong.
    #[must_use]
    pub fn faults(&self) -> StoreFaults {
        self.shared.faults.borrow().clone()
    }

    /// Tells the store what to do wrong from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Keeps the present state and returns its number.
    #[must_use]
    pub fn snapshot(&self) -> usize {
        self.shared.snapshot()
    }

    /// Goes back to a snapshot under another cluster id; false if there is no such snapshot.
    pub fn restore(&self, snapshot: usize) -> bool {
        self.shared.restore(snapshot)
    }

    /// Ends all leases at once and deletes the keys that are attached to them.
    pub fn revoke_leases(&self) {
        self.shared.with_state(|state, _| state.revoke_all());
    }

    /// What was counted since the start or the last reset.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.shared.counter().counts()
    }

    /// Counts from zero again.
    pub fn reset_counts(&self) {
        self.shared.counter().reset();
    }
}

/// Ends expired leases also while no call arrives, so that watches see it.
async fn expire(shared: Arc<Shared>, shutdown: Shutdown) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.requested() => return,
            _ = interval.tick() => shared.with_state(|_, _| ()),
        }
    }
}
