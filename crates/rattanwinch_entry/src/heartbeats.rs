use std::sync::Arc;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_peers::EntryRpcServer;
use rattanwinch_peers::InvalidMessage;
use rattanwinch_peers::WireHeartbeat;
use rattanwinch_peers::WireHeartbeatResponse;
use rattanwinch_peers::rpc_error;
use rattanwinch_platform::Store;
use rattanwinch_types::EntryAddress;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::HeartbeatResponse;
use rattanwinch_types::RequestError;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;
use smallvec::SmallVec;

use crate::entry_state::EntryState;
use crate::fleet::HeartbeatOutcome;

/// Handles the RPC calls of agents.
#[derive(Debug)]
pub(crate) struct EntryRpcHandler<S>(pub Arc<EntryState<S>>);

#[async_trait]
impl<S: Store> EntryRpcServer for EntryRpcHandler<S> {
    async fn heartbeat(&self, wire: WireHeartbeat) -> RpcResult<WireHeartbeatResponse> {
        let heartbeat = Heartbeat::try_from(wire).map_err(|error| invalid(&error))?;
        let mut response = self.0.apply_heartbeat(&heartbeat, self.0.clock.now());
        if !response.duplicate
            && let Some((epoch, orders)) = self.0.zones.forward_heartbeat(&heartbeat).await
            // An agent renews task leases only for a decider. An entry that may have been replaced
            // without knowing it sends its stop orders only over the connection to the agent.
            && self.0.may_renew_task_leases(self.0.clock.now())
        {
            response.decider_epoch = Some(epoch);
            response.stop = orders.stop;
            response.forget = orders.forget;
        }
        Ok(response.into())
    }
}

fn invalid(error: &InvalidMessage) -> jsonrpsee::types::ErrorObjectOwned {
    rpc_error(RequestError::not_run(ErrorKind::Invalid, error.to_string()))
}

impl<S: Store> EntryState<S> {
    /// Records a heartbeat that arrived at `now`, and makes the response to it.
    pub fn apply_heartbeat(&self, heartbeat: &Heartbeat, now: Timestamp) -> HeartbeatResponse {
        let outcome = self.fleet.record_heartbeat(heartbeat, now);
        match outcome {
            HeartbeatOutcome::Known => {}
            HeartbeatOutcome::New => info!(self.logger, "new target registered";
                "target" => %heartbeat.target, "zone" => %heartbeat.zone,
                "address" => %heartbeat.address),
            HeartbeatOutcome::Duplicate => warn!(self.logger, "rejected the heartbeat of a second \
                agent with the same target name";
                "target" => %heartbeat.target, "address" => %heartbeat.address),
        }
        self.record_known_revision(heartbeat.config_revision, now);
        let control = self.control.load();
        HeartbeatResponse {
            entries: self.entry_addresses(),
            decider_epoch: None,
            freshness: control.freshness(now),
            stale_for: control.stale_for(now),
            config_revision: control.revision,
            zone_closed: control.config.zone_closure(&heartbeat.zone).is_some(),
            plain_when_stale: control.config.defaults.plain_when_stale,
            stop: SmallVec::new(),
            forget: SmallVec::new(),
            duplicate: outcome == HeartbeatOutcome::Duplicate,
        }
    }

    /// The addresses of this entry and of the others that it knows. Agents learn from them of an
    /// entry that was replaced and listens at another address than the one in their settings.
    fn entry_addresses(&self) -> Vec<EntryAddress> {
        let own = self.rpc_address.get().map(|address| EntryAddress {
            entry: self.settings.entry.clone(),
            address: *address,
        });
        let others = self.peer_addresses().into_iter();
        let others = others.map(|(entry, address)| EntryAddress { entry, address });
        own.into_iter().chain(others).collect()
    }
}
