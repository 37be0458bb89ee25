use std::net::SocketAddr;
use std::time::Duration;

use crate::AgentReport;
use crate::CallerAnswer;
use crate::CallerCall;
use crate::LeaderInfo;
use crate::LeaderWord;
use crate::ReportAnswer;
use crate::RpcFailure;
use crate::peer_client::PeerClient;
use crate::rpc::FrontRpcClient;
use crate::rpc_error::within;

/// What a call to a front returns.
pub type Result<T> = std::result::Result<T, RpcFailure>;

/// Calls one front over HTTP.
#[derive(Clone, Debug)]
pub struct FrontClient {
    peer: PeerClient,
}

impl FrontClient {
    /// Makes a client; it connects with the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            peer: PeerClient::new(address),
        }
    }

    /// The front's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.peer.address
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
        let answer = within(limit, self.peer.http.leader(asker)).await?;
        Ok(answer.map(LeaderWord::from))
    }

    /// Asks how long ago the front last heard the one that schedules.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn leader_silence(&self, limit: Duration) -> Result<Duration> {
        let millis = within(limit, self.peer.http.leader_silence_ms()).await?;
        Ok(Duration::from_millis(millis))
    }

    /// Tells the front who schedules now.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn announce(&self, leader: LeaderInfo, limit: Duration) -> Result<()> {
        within(limit, self.peer.http.announce(leader.into())).await
    }

    /// Passes on a caller's call.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`; it says whether the call may have run.
    pub async fn call(&self, call: &CallerCall, limit: Duration) -> Result<CallerAnswer> {
        let answer = within(limit, self.peer.http.call(call.into())).await?;
        Ok(answer.into())
    }

    /// Sends an agent's report.
    ///
    /// # Errors
    ///
    /// [`RpcFailure`] if no answer came within `limit`.
    pub async fn report(&self, report: &AgentReport, limit: Duration) -> Result<ReportAnswer> {
        let answer = within(limit, self.peer.http.report(report.into())).await?;
        Ok(answer.into())
    }
}
