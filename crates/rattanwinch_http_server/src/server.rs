use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::http::StatusCode;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::PortLimits;
use crate::Refusal;
use crate::arriving::Request;
use crate::connection::Connection;
use crate::connection::Phase;
use crate::metered_stream::MeteredStream;
use crate::port_state::PortState;
use crate::sweeper::sweep;

/// Body of a request that is passed on: it has arrived completely.
pub type RequestBody = Full<Bytes>;

/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handles requests that have arrived completely.
pub trait Handler: Send + Sync + 'static {
    /// Body of the answers.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + 'static;

    /// Answers one request.
    fn handle(
        &self,
        req: hyper::Request<RequestBody>,
    ) -> impl Future<Output = hyper::Response<Self::Body>> + Send;

    /// Returns the body of the answer to a request that is refused before it is handled, in the form
    /// of the interface's other errors.
    fn refusal_body(&self, kind: Refusal) -> String {
        default_refusal_body(kind)
    }
}

/// The body of refusals on interfaces that state none of their own.
pub(crate) fn default_refusal_body(kind: Refusal) -> String {
    format!("{{\"error\":\"{}\"}}", kind.text())
}

/// A port that has been bound and accepts connections into the system's queue.
#[derive(Debug)]
pub struct Bound {
    listener: TcpListener,
    address: SocketAddr,
}

/// A port that answers requests.
pub struct Serving<H> {
    listener: TcpListener,
    port: Arc<PortState>,
    handler: Arc<H>,
}

/// An HTTP server on one port; `S` is its life cycle stage.
#[derive(Debug)]
pub struct HttpServer<S> {
    stage: S,
}

impl<H> fmt::Debug for Serving<H> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Serving")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}

impl HttpServer<Bound> {
    /// Binds an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            stage: Bound { listener, address },
        })
    }

    /// The address that is bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.stage.address
    }

    /// Prepares the server to answer requests by `handler`. `name` names the port in metrics and
    /// logs.
    pub fn with_handler<H: Handler>(
        self,
        name: &'static str,
        limits: PortLimits,
        handler: H,
        log: Logger,
    ) -> HttpServer<Serving<H>> {
        HttpServer {
            stage: Serving {
                listener: self.stage.listener,
                port: Arc::new(PortState::new(limits, name, log)),
                handler: Arc::new(handler),
            },
        }
    }
}

impl<H: Handler> HttpServer<Serving<H>> {
    /// Answers requests until `closing` is cancelled, then finishes the requests in progress within
    /// `grace`.
    pub async fn run(self, closing: CancellationToken, grace: Duration) {
        let Serving {
            listener,
            port,
            handler,
        } = self.stage;
        let connections = TaskTracker::new();
        let accepting = async {
            loop {
                let permit = Arc::clone(&port.connections).acquire_owned().await;
                let permit = permit.expect("the semaphore is never closed");
                let Ok((socket, _)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                // Without the option, small answers may be delayed; they are still complete.
                let _ = socket.set_nodelay(true);
                let served = serve_connection(
                    socket,
                    permit,
                    Arc::clone(&port),
                    Arc::clone(&handler),
                    closing.clone(),
                );
                connections.spawn(served);
            }
        };
        let mut sweeping = pin!(sweep(Arc::clone(&port)));
        tokio::select! {
            () = accepting => {}
            () = &mut sweeping => {}
            () = closing.cancelled() => {}
        }
        drop(listener);
        connections.close();
        let finished = async {
            tokio::select! {
                () = connections.wait() => {}
                () = &mut sweeping => {}
            }
        };
        if tokio::time::timeout(grace, finished).await.is_err() {
            for connection in port.table.snapshot() {
                connection.closed.cancel();
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    socket: TcpStream,
    permit: OwnedSemaphorePermit,
    port: Arc<PortState>,
    handler: Arc<H>,
    closing: CancellationToken,
) {
    let entry = port.table.add(Connection::new(port.now()));
    let connection = Arc::clone(&entry.connection);
    let stream = MeteredStream {
        socket,
        port: Arc::clone(&port),
        entry,
        _permit: permit,
    };
    let service = service_fn(|req| {
        let connection = Arc::clone(&connection);
        let port = Arc::clone(&port);
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(req, &port, &connection, &*handler).await) }
    });
    let mut served = pin!(
        http1::Builder::new()
            // hyper's timer for heads would also run while a connection is idle.
            .header_read_timeout(None)
            .max_buf_size(port.limits.max_header_bytes)
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades()
    );
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = served.as_mut() => {
                if ended.is_err_and(|error| error.is_parse()) {
                    port.refusals.record(Refusal::Head, port.now());
                }
                return;
            }
            () = connection.closed.cancelled() => return,
            () = closing.cancelled(), if !is_closing => {
                is_closing = true;
                served.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer<H: Handler>(
    req: hyper::Request<Incoming>,
    port: &Arc<PortState>,
    connection: &Connection,
    handler: &H,
) -> hyper::Response<Either<H::Body, Full<Bytes>>> {
    let received = Request::new(req).receive(port, connection).await;
    connection.set_reserved(0);
    let (req, held) = match received {
        Ok(complete) => complete.into_parts(),
        Err(kind) => {
            port.refusals.record(kind, port.now());
            connection.begin(Phase::Refused, port.now());
            let body = handler.refusal_body(kind);
            return refusal_response(kind, body).map(Either::Right);
        }
    };
    let response = handler.handle(req).await;
    drop(held);
    let next = if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        Phase::Upgraded
    } else {
        Phase::Idle
    };
    connection.begin(next, port.now());
    response.map(Either::Left)
}

/// The answer to a request that was not passed on; the connection closes after it.
fn refusal_response(kind: Refusal, body: String) -> hyper::Response<Full<Bytes>> {
    let mut response = hyper::Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = kind.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    if kind.status() == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}
