use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_peers::GangRpcServer;
use rattanwinch_peers::InvalidMessage;
use rattanwinch_peers::WireAnswer;
use rattanwinch_peers::WireHoldOrder;
use rattanwinch_peers::WireMemberKey;
use rattanwinch_peers::WireMemberReport;
use rattanwinch_peers::WireStopOrder;
use rattanwinch_peers::rpc_error;
use rattanwinch_targets::Executor;
use rattanwinch_types::Epoch;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::StopOrder;

use crate::agent_state::AgentState;
use crate::rpc::invalid;

/// The calls that the decider of the availability zone makes to an agent.
#[derive(Debug)]
pub(crate) struct GangCalls<E>(pub Arc<AgentState<E>>);

/// Reads what a call carries.
fn read<W, T: TryFrom<W, Error = InvalidMessage>>(wire: W) -> RpcResult<T> {
    T::try_from(wire).map_err(|error| rpc_error(invalid(&error)))
}

#[async_trait]
impl<E: Executor> GangRpcServer for GangCalls<E> {
    async fn adopt(&self, epoch: i64) -> RpcResult<Vec<WireMemberReport>> {
        let reports = self.0.members.adopt(Epoch(epoch)).await;
        let reports = reports.map_err(rpc_error)?;
        Ok(reports.into_iter().map(Into::into).collect())
    }

    async fn hold(&self, order: WireHoldOrder) -> RpcResult<()> {
        let order: HoldOrder = read(order)?;
        self.0.members.hold(order).await.map_err(rpc_error)
    }

    async fn release(&self, member: WireMemberKey, epoch: i64) -> RpcResult<()> {
        let member: MemberKey = read(member)?;
        let released = self.0.members.release(member, Epoch(epoch)).await;
        released.map_err(rpc_error)
    }

    async fn abort(&self, member: WireMemberKey, epoch: i64) -> RpcResult<()> {
        let member: MemberKey = read(member)?;
        let aborted = self.0.members.abort(member, Epoch(epoch)).await;
        aborted.map_err(rpc_error)
    }

    async fn stop(&self, order: WireStopOrder, epoch: i64) -> RpcResult<()> {
        let order: StopOrder = read(order)?;
        let stopped = self.0.members.stop(order, Epoch(epoch)).await;
        stopped.map_err(rpc_error)
    }

    async fn collect(&self, member: WireMemberKey) -> RpcResult<WireAnswer> {
        let member: MemberKey = read(member)?;
        let checked = self.0.members.check_output(member.clone()).await;
        checked.map_err(rpc_error)?;
        let output = self.0.executor.output(&member).await;
        output.map(WireAnswer::from).map_err(rpc_error)
    }
}
