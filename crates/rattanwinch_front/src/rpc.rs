use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::FrontInfo;
use rattanwinch_fleet::FrontRpcServer;
use rattanwinch_fleet::LeaderStatus;
use rattanwinch_fleet::RpcError;
use rattanwinch_fleet::WireAnswer;
use rattanwinch_fleet::WireCall;
use rattanwinch_fleet::WireLeader;
use rattanwinch_fleet::WireLeaderStatus;
use rattanwinch_fleet::WireReport;
use rattanwinch_fleet::WireReportAnswer;
use tokio::sync::oneshot;

use crate::calls;
use crate::commands::Command;
use crate::front_state::FrontState;
use crate::local_leader::LocalLeader;

/// Time since the last contact with the leader after which a standby front names no leader; standby
/// fronts ping the leader every 300 ms.
const MAX_STANDBY_STATUS_AGE: Duration = Duration::from_millis(900);

/// RPC server for other fronts and agents.
pub(crate) struct PeerServer {
    pub state: Arc<FrontState>,
}

impl PeerServer {
    fn local_leader(&self) -> Result<Arc<LocalLeader>, RpcError> {
        self.state.local_leader().ok_or(RpcError::NotLeading)
    }
}

#[async_trait]
impl FrontRpcServer for PeerServer {
    async fn leader(
        &self,
        asker: Option<SocketAddr>,
        cpu_percent: Option<u32>,
        can_lead: Option<bool>,
    ) -> RpcResult<Option<WireLeaderStatus>> {
        let now = self.state.clock.now();
        if let Some(address) = asker {
            let asker = FrontInfo {
                address,
                cpu_percent: cpu_percent.unwrap_or_default(),
                can_lead: can_lead.unwrap_or_default(),
            };
            self.state.record_asker(asker, now);
        }
        let largest_cpu_percent = self.state.largest_cpu_percent();
        if let Some(local_leader) = self.state.local_leader() {
            let status = LeaderStatus {
                leader: local_leader.info,
                confirmation_age: local_leader.confirmation_age(now),
                cpu_percent: self.state.settings.cpu_percent(),
                largest_cpu_percent,
            };
            return Ok(Some(status.into()));
        }
        let silence = self.state.leader_silence(now);
        let leader = self
            .state
            .remote_leader()
            .filter(|_| silence < MAX_STANDBY_STATUS_AGE);
        let status = leader.map(|leader| LeaderStatus {
            leader: leader.info,
            confirmation_age: silence,
            cpu_percent: 0,
            largest_cpu_percent,
        });
        Ok(status.map(WireLeaderStatus::from))
    }

    async fn leader_silence_ms(&self) -> RpcResult<u64> {
        if self.state.local_leader().is_some() {
            return Ok(0);
        }
        let silence = self.state.leader_silence(self.state.clock.now());
        Ok(u64::try_from(silence.as_millis()).unwrap_or(u64::MAX))
    }

    async fn announce(&self, leader: WireLeader) -> RpcResult<()> {
        self.state.handle_announcement(leader.into());
        Ok(())
    }

    async fn call(&self, call: WireCall) -> RpcResult<WireAnswer> {
        let local_leader = self.local_leader()?;
        let call = CallerCall::from(call);
        Ok(calls::handle_call(&self.state, &local_leader, &call)
            .await
            .into())
    }

    async fn report(&self, report: WireReport) -> RpcResult<WireReportAnswer> {
        let local_leader = self.local_leader()?;
        let report = AgentReport::from(report);
        let (reply, answer) = oneshot::channel();
        let command = Command::Report { report, reply };
        if local_leader.commands.send(command).await.is_err() {
            return Err(RpcError::NotLeading.into());
        }
        let answer = answer.await.map_err(|_| RpcError::NotLeading)?;
        Ok(answer.into())
    }
}
