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

/// The time between two pings on a connection that carries calls.
pub const CONNECTION_PING_INTERVAL: Duration = Duration::from_millis(500);

/// A connection without an answer to a ping for this long is replaced. With the interval it leaves
/// 250 ms of the 1.5 s in which a silent connection has to be replaced for opening the new one.
pub const CONNECTION_PING_TIMEOUT: Duration = Duration::from_millis(750);

/// How long a new connection may take to open; a frozen agent doesn't answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time between two pings on a connection without calls. Heartbeats show that the agent
/// lives; a silent connection is found by the ping that the next call brings forward.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(4);

/// Above the longest deadline of a plain request (12 h), because deadlines are kept by callers of
/// this package.
const CALL_TIMEOUT: Duration = Duration::from_secs(13 * 3600);

/// Calls in flight on one connection; an agent admits far fewer.
const MAX_CALLS_IN_FLIGHT: usize = 4096;

/// A WebSocket to one agent that is replaced when it falls silent: at most 1.5 s later while it
/// carries calls, and 1 s after the first call that finds it silent.
///
/// Calls take the client of the moment and keep it until they end, so a replaced connection
/// lives on until its last call has ended.
pub struct AgentConnection {
    address: SocketAddr,
    client: ArcSwapOption<WsClient>,
    changed: Notify,
    /// Whether the next ping waits for `IDLE_PING_INTERVAL` unless a call comes.
    idle: AtomicBool,
    /// Tells of the first call after an idle time.
    used: Notify,
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
    /// Starts to connect in the background; the connection is kept up until the last reference
    /// to the returned value is dropped.
    #[must_use]
    pub fn open(address: SocketAddr) -> Arc<Self> {
        let client = ArcSwapOption::empty();
        let connection = Arc::new(Self {
            address,
            client,
            changed: Notify::new(),
            idle: AtomicBool::new(false),
            used: Notify::new(),
        });
        tokio::spawn(maintain(Arc::downgrade(&connection), address));
        connection
    }

    /// The agent's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether there is a connection now.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.client.load().is_some()
    }

    /// The client of the moment, for a call.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unavailable`] with the verdict "not run" if there is no connection now.
    pub fn client(&self) -> Result<Arc<WsClient>, RequestError> {
        let client = self.client.load_full().ok_or_else(|| {
            let message = format!("no connection to the agent at {}", self.address);
            RequestError::not_run(ErrorKind::Unavailable, message)
        })?;
        // Only the first call after an idle time writes, so that calls share the flag by reading.
        if self.idle.load(Ordering::SeqCst) && self.idle.swap(false, Ordering::SeqCst) {
            self.used.notify_one();
        }
        Ok(client)
    }

    /// Waits while no call holds `client`, at most for what an idle connection adds to the
    /// interval; false if the connection has been closed.
    async fn idle_pause(&self, client: &Arc<WsClient>) -> bool {
        self.idle.store(true, Ordering::SeqCst);
        // The slot of the connection and its maintenance hold the client too.
        let in_use = Arc::strong_count(client) > 2;
        let connected = in_use
            || tokio::select! {
                () = tokio::time::sleep(IDLE_PING_INTERVAL - CONNECTION_PING_INTERVAL) => true,
                () = self.used.notified() => true,
                _ = client.on_disconnect() => false,
            };
        self.idle.store(false, Ordering::SeqCst);
        connected
    }

    /// Waits until `client` is no longer the client of the moment, because it fell silent.
    ///
    /// The agent may be frozen, so that there is no new client to wait for either.
    pub async fn given_up(&self, client: &Arc<WsClient>) {
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

    fn set(&self, client: Option<Arc<WsClient>>) {
        self.client.store(client);
        self.changed.notify_waiters();
    }
}

/// Connects, pings, and replaces the connection when a ping stays unanswered.
async fn maintain(connection: Weak<AgentConnection>, address: SocketAddr) {
    loop {
        let opened = connect(address).await;
        let Some(alive) = connection.upgrade() else {
            return;
        };
        let Some(client) = opened else {
            drop(alive);
            tokio::time::sleep(CONNECTION_PING_INTERVAL).await;
            continue;
        };
        alive.set(Some(Arc::clone(&client)));
        drop(alive);
        if !ping_until_silent(&connection, &client).await {
            return;
        }
        // A failed connection is taken away only if no new one can be had, so that calls can
        // still reach the agent while the replacement is opened.
        let replacement = connect(address).await;
        let Some(alive) = connection.upgrade() else {
            return;
        };
        alive.set(replacement);
    }
}

/// Pings until an answer stays out; false if nobody uses the connection any longer.
async fn ping_until_silent(connection: &Weak<AgentConnection>, client: &Arc<WsClient>) -> bool {
    loop {
        tokio::time::sleep(CONNECTION_PING_INTERVAL).await;
        let Some(alive) = connection.upgrade() else {
            return false;
        };
        if !alive.idle_pause(client).await {
            return true;
        }
        drop(alive);
        let ping = tokio::time::timeout(CONNECTION_PING_TIMEOUT, client.ping()).await;
        if !matches!(ping, Ok(Ok(_))) {
            return true;
        }
    }
}

async fn connect(address: SocketAddr) -> Option<Arc<WsClient>> {
    let building = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(CALL_TIMEOUT)
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
