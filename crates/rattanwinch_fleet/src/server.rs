use std::io;
use std::net::SocketAddr;

use jsonrpsee::Methods;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;

/// The largest message between processes of a site, in bytes: a body of a submission is at most
/// 256 KB, and a target lists at most 500 ends at a time.
pub(crate) const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Connections that a process keeps open towards its peers: one or a few for each front and
/// agent of the largest site in the users' files.
const MAX_CONNECTIONS: u32 = 1000;

/// A running JSON-RPC server of a front or an agent.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl RpcServer {
    /// Listens on `address` and serves `methods`.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be bound.
    pub async fn start(address: SocketAddr, methods: impl Into<Methods>) -> io::Result<Self> {
        let cfg = ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .http_only()
            .build();
        let server = Server::builder().set_config(cfg).build(address).await?;
        let address = server.local_addr()?;
        Ok(Self {
            address,
            handle: server.start(methods),
        })
    }

    /// The address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and ends the connections once their calls have been answered.
    pub async fn stop(self) {
        // The error means that it has stopped already.
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}
