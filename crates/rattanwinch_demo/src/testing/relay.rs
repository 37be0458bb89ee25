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

/// The bytes that are forwarded at once.
const CHUNK: usize = 16 * 1024;

rattanwinch_types::value! { copy
    /// The directions in which a connection forwards nothing, and doesn't tell that an end has
    /// closed it either.
    pub struct Silence {
        /// From the process that connected.
        pub requests: bool,
        /// Towards the process that connected.
        pub answers: bool,
    }
}

impl Silence {
    /// Everything is forwarded.
    pub const NONE: Self = Self {
        requests: false,
        answers: false,
    };
    /// Nothing reaches the process that took the connection.
    pub const REQUESTS: Self = Self {
        requests: true,
        answers: false,
    };
    /// Nothing comes back.
    pub const ANSWERS: Self = Self {
        requests: false,
        answers: true,
    };
    /// Nothing is forwarded.
    pub const BOTH: Self = Self {
        requests: true,
        answers: true,
    };
}

/// Forwards TCP connections on loopback and falls silent on command, without closing anything:
/// what a network does that drops the packets of some connections.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    _stop: DropGuard,
}

#[derive(Debug, Default)]
struct Shared {
    /// Where the connections go, once that is known.
    target: watch::Sender<Option<SocketAddr>>,
    connections: Mutex<Connections>,
}

#[derive(Debug)]
struct Connections {
    /// How each connection that was ever opened is to forward.
    all: Vec<watch::Sender<Silence>>,
    /// How new ones begin.
    new: Silence,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            all: Vec::new(),
            new: Silence::NONE,
        }
    }
}

impl Relay {
    /// Listens on a free port; connections are closed at once until [`Self::set_target`].
    ///
    /// # Errors
    ///
    /// The operating system's error if no port can be had.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let (address, shared) = (listener.local_addr()?, Arc::<Shared>::default());
        let stop = CancellationToken::new();
        let (stopped, accepting) = (stop.clone(), Arc::clone(&shared));
        tokio::spawn(async move {
            while let Some(Ok((stream, _))) = stopped.run_until_cancelled(listener.accept()).await {
                let silence = accepting.add();
                let (stopped, target) = (stopped.clone(), *accepting.target.borrow());
                tokio::spawn(async move {
                    stopped
                        .run_until_cancelled(forward(stream, target, silence))
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

    /// Where processes connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Says where connections that are opened from now on go.
    pub fn set_target(&self, target: SocketAddr) {
        self.shared.target.send_replace(Some(target));
    }

    /// Makes the connections that are open now silent for good, whatever comes later.
    pub fn silence(&self, silence: Silence) {
        for connection in &self.lock().all {
            connection.send_replace(silence);
        }
    }

    /// Says how connections that are opened from now on forward.
    pub fn set_new(&self, silence: Silence) {
        self.lock().new = silence;
    }

    /// The number of connections that were opened so far.
    #[must_use]
    pub fn opened(&self) -> usize {
        self.lock().all.len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Connections> {
        lock(&self.shared.connections)
    }
}

impl Shared {
    fn add(&self) -> watch::Receiver<Silence> {
        let mut connections = lock(&self.connections);
        let (tx, rx) = watch::channel(connections.new);
        connections.all.push(tx);
        rx
    }
}

/// Nothing that runs under the lock panics.
fn lock(connections: &Mutex<Connections>) -> std::sync::MutexGuard<'_, Connections> {
    connections.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Forwards both ways until both ends have closed.
async fn forward(
    caller: TcpStream,
    target: Option<SocketAddr>,
    silence: watch::Receiver<Silence>,
) -> Option<()> {
    let callee = TcpStream::connect(target?).await.ok()?;
    caller.set_nodelay(true).ok()?;
    callee.set_nodelay(true).ok()?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let requests = pump(from_caller, to_callee, silence.clone(), |now| now.requests);
    let answers = pump(from_callee, to_caller, silence, |now| now.answers);
    let ((), ()) = tokio::join!(requests, answers);
    Some(())
}

/// Forwards one direction until an end closes it; holds both ends open while it is silent.
async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut silence: watch::Receiver<Silence>,
    is_silent: impl Fn(&Silence) -> bool,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        // The relay has gone if nobody can end the silence, and the task is cancelled with it.
        if silence.wait_for(|now| !is_silent(now)).await.is_err() {
            return;
        }
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            changed = silence.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        let (Ok(count), false) = (read, is_silent(&silence.borrow())) else {
            continue_silently(&mut silence, &is_silent).await;
            return;
        };
        if count == 0 || to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Holds a connection open whose next bytes were read after it had become silent: they are lost,
/// so nothing can follow them.
async fn continue_silently(
    silence: &mut watch::Receiver<Silence>,
    is_silent: impl Fn(&Silence) -> bool,
) {
    while is_silent(&silence.borrow_and_update()) {
        if silence.changed().await.is_err() {
            return;
        }
    }
}
