use std::net::SocketAddr;
use std::time::Duration;

use crate::AgentReport;
use crate::CallerAnswer;
use crate::CallerCall;
use crate::FrontInfo;
use crate::LeaderInfo;
use crate::LeaderStatus;
use crate::ReportAnswer;
use crate::RpcError;
use crate::peer_client::PeerClient;
use crate::rpc::FrontRpcClient;
use crate::rpc_error::with_timeout;

/// Result of a call to a front.
pub type Result<T> = std::result::Result<T, RpcError>;

/// Calls one front over HTTP.
#[derive(Clone, Debug)]
pub struct FrontClient {
    peer: PeerClient,
}

impl FrontClient {
    /// Creates a client; it connects with the first call.
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

    /// Asks for the leader; `asker` is the asking front, if a front asks.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`.
    pub async fn leader(
        &self,
        asker: Option<FrontInfo>,
        timeout: Duration,
    ) -> Result<Option<LeaderStatus>> {
        let answer = with_timeout(
            timeout,
            self.peer.http.leader(
                asker.map(|front| front.address),
                asker.map(|front| front.cpu_percent),
                asker.map(|front| front.can_lead),
            ),
        )
        .await?;
        Ok(answer.map(LeaderStatus::from))
    }

    /// Asks for the time since the front's last contact with the leader.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`.
    pub async fn leader_silence(&self, timeout: Duration) -> Result<Duration> {
        let millis = with_timeout(timeout, self.peer.http.leader_silence_ms()).await?;
        Ok(Duration::from_millis(millis))
    }

    /// Announces the leader to the front.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`.
    pub async fn announce(&self, leader: LeaderInfo, timeout: Duration) -> Result<()> {
        with_timeout(timeout, self.peer.http.announce(leader.into())).await
    }

    /// Forwards a caller's call.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`; it states whether the call may have run.
    pub async fn call(&self, call: &CallerCall, timeout: Duration) -> Result<CallerAnswer> {
        let answer = with_timeout(timeout, self.peer.http.call(call.into())).await?;
        Ok(answer.into())
    }

    /// Sends an agent's report.
    ///
    /// # Errors
    ///
    /// [`RpcError`] if no answer arrived within `timeout`.
    pub async fn report(&self, report: &AgentReport, timeout: Duration) -> Result<ReportAnswer> {
        let answer = with_timeout(timeout, self.peer.http.report(report.into())).await?;
        Ok(answer.into())
    }
}
