use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::sizes::MAX_MESSAGE_BYTES;

/// Fallback timeout, longer than the timeout of any call.
const FALLBACK_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client of one process of the site.
///
/// A call that times out closes its connection, so a connection that has stopped responding isn't
/// reused.
#[derive(Clone)]
pub(crate) struct PeerClient {
    pub address: SocketAddr,
    pub http: HttpClient,
}

impl PeerClient {
    /// Creates a client; it connects with the first call.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be built, which its fixed settings rule out.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let http = HttpClientBuilder::default()
            .request_timeout(FALLBACK_CALL_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .build(format!("http://{address}"));
        Self {
            address,
            http: http.expect("the fixed settings of the HTTP client are valid"),
        }
    }
}

impl fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.address.fmt(f)
    }
}
