use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;

use crate::AgentReport;
use crate::CallerAnswer;
use crate::CallerCall;
use crate::LeaderInfo;
use crate::LeaderWord;
use crate::ReportAnswer;
use crate::RpcFailure;
use crate::rpc::FrontRpcClient;
use crate::rpc_error::within;
use crate::sizes::MAX_MESSAGE_BYTES;

/// What a call to a front returns.
pub type Result<T> = std::result::Result<T, RpcFailure>;

/// Longer than any limit that a call has of its own.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Calls one front over HTTP. A call that times out closes its connection, so one that has
/// fallen silent isn't used again.
#[derive(Clone)]
pub struct FrontClient {
    address: SocketAddr,
    client: HttpClient,
}

impl fmt::Debug for FrontClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("FrontClient").field(&self.address).finish()
    }
}

pub(crate) fn http_client(address: SocketAddr) -> HttpClient {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .build(format!("http://{address}"))
        .expect("the fixed settings of the HTTP client are valid")
}

impl FrontClient {
    /// Makes a client; it connects with the first call.
    ///
    /// # Panics
    ///
    /// If the HTTP client can't be set up, which its fixed settings rule out.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: http_client(address),
        }
    }

    /// The front's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks which front schedules; `asker` is the address of a front that asks.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn leader(
        &self,
        asker: Option<SocketAddr>,
        limit: Duration,
    ) -> Result<Option<LeaderWord>> {
        let answer = within(limit, self.client.leader(asker)).await?;
        Ok(answer.map(LeaderWord::from))
    }

    /// Asks how long ago the front last heard the one that schedules.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn leader_silence(&self, limit: Duration) -> Result<Duration> {
        let millis = within(limit, self.client.leader_silence_ms()).await?;
        Ok(Duration::from_millis(millis))
    }

    /// Tells the front who schedules now.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn announce(&self, leader: LeaderInfo, limit: Duration) -> Result<()> {
        within(limit, self.client.announce(leader.into())).await
    }

    /// Passes on a caller's call.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`; it says whether the call may have run.
    pub async fn call(&self, call: &CallerCall, limit: Duration) -> Result<CallerAnswer> {
        let answer = within(limit, self.client.call(call.into())).await?;
        Ok(answer.into())
    }

    /// Sends an agent's report.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn report(&self, report: &AgentReport, limit: Duration) -> Result<ReportAnswer> {
        let answer = within(limit, self.client.report(report.into())).await?;
        Ok(answer.into())
    }
}
