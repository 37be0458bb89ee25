use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::site::ANY_PORT;

/// The size of the forwarding buffer.
const BUFFER_BYTES: usize = 16 * 1024;

rattanwinch_types::value! { copy
    /// The directions in which a connection drops all data, including the closing of the
    /// connection.
    pub struct Blackhole {
        /// From the client, which opened the connection, to the server.
        pub requests: bool,
        /// From the server to the client.
        pub answers: bool,
    }
}

impl Blackhole {
    /// Forwards both directions.
    pub const NONE: Self = Self {
        requests: false,
        answers: false,
    };
    /// Drops the data to the server.
    pub const REQUESTS: Self = Self {
        requests: true,
        answers: false,
    };
    /// Drops the data to the client.
    pub const ANSWERS: Self = Self {
        requests: false,
        answers: true,
    };
    /// Drops both directions.
    pub const BOTH: Self = Self {
        requests: true,
        answers: true,
    };
}

/// A TCP proxy on loopback that can blackhole connections: it stops forwarding without closing
/// them, like a network that drops the packets of some connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

#[derive(Debug, Default)]
struct Shared {
    /// The address to which connections are forwarded, once it is known.
    target: watch::Sender<Option<SocketAddr>>,
    connections: Mutex<Connections>,
}

#[derive(Debug)]
struct Connections {
    /// The dropped directions of each connection that was ever opened.
    all: Vec<watch::Sender<Blackhole>>,
    /// The dropped directions of new connections.
    new: Blackhole,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            all: Vec::new(),
            new: Blackhole::NONE,
        }
    }
}

impl FaultProxy {
    /// Starts a proxy on a free port; it closes connections until [`Self::set_target`] is called.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is available.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let (address, shared) = (listener.local_addr()?, Arc::<Shared>::default());
        let stop = CancellationToken::new();
        let (stopped, accepting) = (stop.clone(), Arc::clone(&shared));
        tokio::spawn(async move {
            while let Some(Ok((stream, _))) = stopped.run_until_cancelled(listener.accept()).await {
                let blackhole = accepting.add_connection();
                let (stopped, target) = (stopped.clone(), *accepting.target.borrow());
                tokio::spawn(async move {
                    stopped
                        .run_until_cancelled(forward(stream, target, blackhole))
                        .await
                });
            }
        });
        Ok(Self {
            address,
            shared,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address of the proxy.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// Sets the dropped directions of all connections that are open now.
    pub fn blackhole(&self, blackhole: Blackhole) {
        for connection in &self.lock().all {
            connection.send_replace(blackhole);
        }
    }

    /// Sets the dropped directions of new connections.
    pub fn blackhole_new(&self, blackhole: Blackhole) {
        self.lock().new = blackhole;
    }

    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened_connections(&self) -> usize {
        self.lock().all.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        lock(&self.shared.connections)
    }
}

impl Shared {
    fn add_connection(&self) -> watch::Receiver<Blackhole> {
        let mut connections = lock(&self.connections);
        let (tx, rx) = watch::channel(connections.new);
        connections.all.push(tx);
        rx
    }
}

/// Locks the connections and ignores poisoning, since operations under the lock do not panic.
fn lock(connections: &Mutex<Connections>) -> std::sync::MutexGuard<'_, Connections> {
    connections.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Forwards both directions until both sides have closed the connection.
async fn forward(
    caller: TcpStream,
    target: Option<SocketAddr>,
    blackhole: watch::Receiver<Blackhole>,
) -> Option<()> {
    let callee = TcpStream::connect(target?).await.ok()?;
    caller.set_nodelay(true).ok()?;
    callee.set_nodelay(true).ok()?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let requests = forward_direction(from_caller, to_callee, blackhole.clone(), |now| {
        now.requests
    });
    let answers = forward_direction(from_callee, to_caller, blackhole, |now| now.answers);
    let ((), ()) = tokio::join!(requests, answers);
    Some(())
}

/// Forwards one direction until a side closes it; keeps both sides open while it is blackholed.
async fn forward_direction(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut blackhole: watch::Receiver<Blackhole>,
    is_blackholed: impl Fn(&Blackhole) -> bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        // A closed channel means that the proxy was dropped.
        if blackhole.wait_for(|now| !is_blackholed(now)).await.is_err() {
            return;
        }
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            changed = blackhole.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let (Ok(count), false) = (read, is_blackholed(&blackhole.borrow())) else {
            hold_open(&mut blackhole, &is_blackholed).await;
            return;
        };
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Keeps a connection open after bytes were dropped. Since bytes are missing, forwarding cannot
/// continue.
async fn hold_open(
    blackhole: &mut watch::Receiver<Blackhole>,
    is_blackholed: impl Fn(&Blackhole) -> bool,
) {
    while is_blackholed(&blackhole.borrow_and_update()) {
        if blackhole.changed().await.is_err() {
            return;
        }
    }
}
