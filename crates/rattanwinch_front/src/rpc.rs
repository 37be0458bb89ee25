use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::CallerCall;
use rattanwinch_fleet::FrontRpcServer;
use rattanwinch_fleet::LeaderWord;
use rattanwinch_fleet::RpcFailure;
use rattanwinch_fleet::WireAnswer;
use rattanwinch_fleet::WireCall;
use rattanwinch_fleet::WireLeader;
use rattanwinch_fleet::WireLeaderWord;
use rattanwinch_fleet::WireReport;
use rattanwinch_fleet::WireReportAnswer;
use slog::warn;
use tokio::sync::oneshot;

use crate::calls;
use crate::commands::Command;
use crate::front_state::FrontState;
use crate::leading::Leading;

/// A follower's word on who schedules counts only if it heard the scheduler as lately as this;
/// it asks every 300 ms.
const LEADER_WORD: Duration = Duration::from_millis(900);

/// Serves other fronts and agents.
pub(crate) struct PeerServer {
    pub state: Arc<FrontState>,
}

impl PeerServer {
    fn leading(&self) -> Result<Arc<Leading>, RpcFailure> {
        self.state.leading().ok_or(RpcFailure::NotLeading)
    }
}

#[async_trait]
impl FrontRpcServer for PeerServer {
    async fn leader(&self, asker: Option<SocketAddr>) -> RpcResult<Option<WireLeaderWord>> {
        if let Some(asker) = asker {
            self.state.add_front(asker);
        }
        let now = self.state.clock.now();
        if let Some(leading) = self.state.leading() {
            let word = LeaderWord {
                leader: leading.info,
                confirmed_ago: leading.confirmed_ago(now),
            };
            return Ok(Some(word.into()));
        }
        let silence = self.state.leader_silence(now);
        let leader = self.state.leader().filter(|_| silence < LEADER_WORD);
        let word = leader.map(|leader| LeaderWord {
            leader: leader.info,
            confirmed_ago: silence,
        });
        Ok(word.map(WireLeaderWord::from))
    }

    async fn leader_silence_ms(&self) -> RpcResult<u64> {
        if self.state.leading().is_some() {
            return Ok(0);
        }
        let silence = self.state.leader_silence(self.state.clock.now());
        Ok(u64::try_from(silence.as_millis()).unwrap_or(u64::MAX))
    }

    async fn announce(&self, leader: WireLeader) -> RpcResult<()> {
        self.state.announced(leader.into());
        Ok(())
    }

    async fn call(&self, call: WireCall) -> RpcResult<WireAnswer> {
        let leading = self.leading()?;
        let call = CallerCall::from(call);
        Ok(calls::answer(&self.state, &leading, &call).await.into())
    }

    async fn report(&self, report: WireReport) -> RpcResult<WireReportAnswer> {
        let leading = self.leading()?;
        let report = AgentReport::try_from(report).map_err(|error| {
            warn!(self.state.log, "unreadable report"; "error" => %error);
            RpcFailure::Unanswered(Box::new(error))
        })?;
        let (reply, answer) = oneshot::channel();
        let command = Command::Report { report, reply };
        if leading.commands.send(command).await.is_err() {
            return Err(RpcFailure::NotLeading.into());
        }
        let answer = answer.await.map_err(|_| RpcFailure::NotLeading)?;
        Ok(answer.into())
    }
}
