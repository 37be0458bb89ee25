use std::io;
use std::net::SocketAddr;

use jsonrpsee::Methods;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;

/// The maximum size of a message between rattanwinch's processes, in bytes: the answers of a
/// gang of 128 tasks may fill a store value of 1 MB, and JSON escapes can multiply its size.
pub const MAX_MESSAGE_BYTES: u32 = 8 * 1024 * 1024;

/// A running JSON-RPC server of an entry or an agent.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl RpcServer {
    /// Listens on `address` and serves `methods`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// The operating system's error if binding the address fails.
    pub async fn start(
        address: SocketAddr,
        max_connections: u32,
        methods: impl Into<Methods>,
    ) -> io::Result<Self> {
        let cfg = ServerConfig::builder()
            .max_connections(max_connections)
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
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

    /// Stops accepting connections, and closes the open ones once their calls have been answered.
    pub async fn stop(self) {
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
        self.handle.stopped().await;
    }
}
