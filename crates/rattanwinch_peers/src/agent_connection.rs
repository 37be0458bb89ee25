use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use jsonrpsee::ws_client::WsClient;
use jsonrpsee::ws_client::WsClientBuilder;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use tokio::sync::Notify;

use crate::AgentRpcClient;
use crate::MAX_MESSAGE_BYTES;

/// The interval of pings on a connection with calls in flight.
pub const CONNECTION_PING_INTERVAL: Duration = Duration::from_millis(500);

/// A connection whose ping is not answered within this time is replaced. An unresponsive connection
/// has to be replaced within 1.5 s; together with the ping interval this leaves 250 ms to open the
/// new one.
pub const CONNECTION_PING_TIMEOUT: Duration = Duration::from_millis(750);

/// The time that a new connection may take to open; a frozen agent does not respond at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval of pings on a connection without calls. Heartbeats show that the agent is alive;
/// the next call triggers a ping that detects an unresponsive connection.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(4);

/// The timeout of the client library, above the maximum deadline of a plain request (12 h), because
/// callers of this package enforce the deadlines.
const LIBRARY_CALL_TIMEOUT: Duration = Duration::from_secs(13 * 3600);

/// The maximum number of calls in flight on one connection; an agent admits far fewer.
const MAX_CALLS_IN_FLIGHT: usize = 4096;

/// A WebSocket to one agent that is replaced when it stops responding: within 1.5 s while it has
/// calls in flight, otherwise within 1.5 s of the next call and within 5 s without one.
///
/// Calls use the current client and keep it until they end, so a replaced connection stays open
/// until its last call has ended.
pub struct AgentConnection {
    address: SocketAddr,
    client: ArcSwapOption<WsClient>,
    changed: Notify,
    /// Whether the next ping is delayed to `IDLE_PING_INTERVAL` unless a call starts.
    idle: AtomicBool,
    /// Notifies of the first call after an idle period.
    first_use: Notify,
}

impl fmt::Debug for AgentConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentConnection")
            .field("address", &self.address)
            .field("connected", &self.is_connected())
            .finish_non_exhaustive()
    }
}

impl AgentConnection {
    /// Connects in the background; the connection is maintained until the last reference to the
    /// returned value is dropped.
    #[must_use]
    pub fn open(address: SocketAddr) -> Arc<Self> {
        let client = ArcSwapOption::empty();
        let connection = Arc::new(Self {
            address,
            client,
            changed: Notify::new(),
            idle: AtomicBool::new(false),
            first_use: Notify::new(),
        });
        tokio::spawn(maintain(Arc::downgrade(&connection), address));
        connection
    }

    /// The agent's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection is open now.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.client.load().is_some()
    }

    /// Returns the current client, for a call.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] with the verdict "not run" if there is no open connection.
    pub fn client(&self) -> Result<Arc<WsClient>, RequestError> {
        let client = self.client.load_full().ok_or_else(|| {
            let message = format!("no open connection to the agent at {}", self.address);
            RequestError::not_run(ErrorKind::Unavailable, message)
        })?;
        // Only the first call after an idle period writes the flag; all others only read it, so
        // they do not contend for it.
        if self.idle.load(Ordering::SeqCst) && self.idle.swap(false, Ordering::SeqCst) {
            self.first_use.notify_one();
        }
        Ok(client)
    }

    /// Waits while no call uses `client`, for at most the difference of the two ping intervals;
    /// returns false if the connection has been closed.
    async fn wait_while_idle(&self, client: &Arc<WsClient>) -> bool {
        self.idle.store(true, Ordering::SeqCst);
        // The connection and its maintenance task hold a reference each.
        let in_use = Arc::strong_count(client) > 2;
        let connected = in_use
            || tokio::select! {
                () = tokio::time::sleep(IDLE_PING_INTERVAL - CONNECTION_PING_INTERVAL) => true,
                () = self.first_use.notified() => true,
                _ = client.on_disconnect() => false,
            };
        self.idle.store(false, Ordering::SeqCst);
        connected
    }

    /// Waits until `client` is no longer the current client because its connection stopped
    /// responding.
    ///
    /// There may be no new client then, if the agent is frozen.
    pub async fn wait_until_disconnected(&self, client: &Arc<WsClient>) {
        loop {
            let changed = self.changed.notified();
            let same = self
                .client
                .load()
                .as_ref()
                .is_some_and(|now| Arc::ptr_eq(now, client));
            if !same {
                return;
            }
            changed.await;
        }
    }

    fn set_client(&self, client: Option<Arc<WsClient>>) {
        self.client.store(client);
        self.changed.notify_waiters();
    }
}

/// Connects, sends pings, and replaces the connection when a ping is not answered.
async fn maintain(connection: Weak<AgentConnection>, address: SocketAddr) {
    loop {
        // A failed connection is removed only if no new one can be opened, so that calls can still
        // reach the agent while the replacement is opened.
        let opened = connect(address).await;
        let Some(connection_ref) = connection.upgrade() else {
            return;
        };
        connection_ref.set_client(opened.clone());
        drop(connection_ref);
        match opened {
            Some(client) => {
                if !ping_until_unresponsive(&connection, &client).await {
                    return;
                }
            }
            None => tokio::time::sleep(CONNECTION_PING_INTERVAL).await,
        }
    }
}

/// Sends pings until one is not answered; returns false if the connection is no longer referenced.
async fn ping_until_unresponsive(
    connection: &Weak<AgentConnection>,
    client: &Arc<WsClient>,
) -> bool {
    loop {
        tokio::time::sleep(CONNECTION_PING_INTERVAL).await;
        let Some(connection_ref) = connection.upgrade() else {
            return false;
        };
        if !connection_ref.wait_while_idle(client).await {
            return true;
        }
        drop(connection_ref);
        let ping = tokio::time::timeout(CONNECTION_PING_TIMEOUT, client.ping()).await;
        if !matches!(ping, Ok(Ok(_))) {
            return true;
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Arc<WsClient>> {
    let building = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(LIBRARY_CALL_TIMEOUT)
        .max_concurrent_requests(MAX_CALLS_IN_FLIGHT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .build(format!("ws://{address}"));
    let client = tokio::time::timeout(CONNECT_TIMEOUT, building)
        .await
        .ok()?
        .ok()?;
    Some(Arc::new(client))
}
