use std::io;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use bon::bon;
use hyper::StatusCode;
use jsonrpsee::Methods;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::server::stop_channel;
use rattanwinch_http_server::Handler;
use rattanwinch_http_server::HttpLimits;
use rattanwinch_http_server::HttpServer;
use rattanwinch_http_server::RequestBody;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tower_service::Service;

/// The maximum size of a message between rattanwinch's processes, in bytes: the answers of a
/// gang of 128 tasks may fill a store value of 1 MB, and JSON escapes can multiply its size.
pub const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;

/// Limits of servers for which none are stated.
static DEFAULT_LIMITS: LazyLock<HttpLimits> = LazyLock::new(HttpLimits::default);

/// How long calls in progress may take when the server stops; a call between the system's own
/// processes takes at most a few seconds.
const STOP_GRACE: Duration = Duration::from_secs(10);

/// A running JSON-RPC server of an entry or an agent.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    handle: ServerHandle,
    closing: CancellationToken,
    task: JoinHandle<()>,
}

/// Answers calls by a service of jsonrpsee.
struct RpcHandler<S>(S);

impl<S> Handler for RpcHandler<S>
where
    S: Service<HttpRequest<RequestBody>, Response = HttpResponse> + Clone + Send + Sync + 'static,
    S::Future: Send,
{
    type Body = HttpBody;

    async fn handle(&self, req: HttpRequest<RequestBody>) -> HttpResponse {
        match self.0.clone().call(req).await {
            Ok(response) => response,
            Err(_) => {
                let mut response = HttpResponse::new(HttpBody::empty());
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        }
    }
}

#[bon]
impl RpcServer {
    /// Listens on `address` and serves the given methods; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The operating system's error if binding the address fails.
    #[builder(finish_fn = start)]
    pub async fn builder(
        #[builder(finish_fn, into)] methods: Methods,
        address: SocketAddr,
        max_connections: u32,
        /// Limits of the process.
        #[builder(default = &DEFAULT_LIMITS)]
        limits: &HttpLimits,
        #[builder(default = Logger::root(Discard, o!()))] log: Logger,
    ) -> io::Result<Self> {
        let cfg = ServerConfig::builder()
            .max_connections(max_connections)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let (stop, handle) = stop_channel();
        let service = Server::builder()
            .set_config(cfg)
            .to_service_builder()
            .build(methods, stop);
        let limits = limits.peer_port(MAX_MESSAGE_BYTES as usize, max_connections as usize);
        let server = HttpServer::bind(address).await?;
        let address = server.address();
        let server = server.with_handler("peers", limits, RpcHandler(service), log);
        let closing = CancellationToken::new();
        let task = tokio::spawn(server.run(closing.clone(), STOP_GRACE));
        Ok(Self {
            address,
            handle,
            closing,
            task,
        })
    }

    /// The address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, and closes the open ones once their calls have been answered.
    pub async fn stop(self) {
        self.closing.cancel();
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
        let _ = self.task.await;
        self.handle.stopped().await;
    }
}
