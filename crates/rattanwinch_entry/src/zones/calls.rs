use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use rattanwinch_peers::InvalidMessage;
use rattanwinch_peers::JobRpcServer;
use rattanwinch_peers::PeerRpcServer;
use rattanwinch_peers::WireConfigCopy;
use rattanwinch_peers::WireExplanation;
use rattanwinch_peers::WireJobSpec;
use rattanwinch_peers::WireJobStatus;
use rattanwinch_peers::WirePeerState;
use rattanwinch_peers::WireRequestKey;
use rattanwinch_peers::rpc_error;
use rattanwinch_platform::Store;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::JobSpec;
use rattanwinch_types::PeerState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::ZoneName;

use crate::entry_state::EntryState;

/// The pings of other entries.
#[derive(Debug)]
pub(crate) struct PeerCalls<S>(pub Arc<EntryState<S>>);

/// The calls of other entries to the zones that this entry decides.
#[derive(Debug)]
pub(crate) struct JobCalls<S>(pub Arc<EntryState<S>>);

/// Reads what a call carries.
fn read<W, T: TryFrom<W, Error = InvalidMessage>>(wire: W) -> RpcResult<T> {
    let invalid = |error: InvalidMessage| {
        rpc_error(RequestError::not_run(ErrorKind::Invalid, error.to_string()))
    };
    T::try_from(wire).map_err(invalid)
}

fn unavailable(message: &str) -> RequestError {
    RequestError::not_run(ErrorKind::Unavailable, message)
}

#[async_trait]
impl<S: Store> PeerRpcServer for PeerCalls<S> {
    async fn ping(&self, wire: WirePeerState) -> RpcResult<WirePeerState> {
        let peer: PeerState = read(wire)?;
        self.0.hear_peer(&peer);
        let own = self.0.peer_state();
        let own = own.ok_or_else(|| rpc_error(unavailable("the entry doesn't listen yet")))?;
        Ok(own.into())
    }

    async fn config(&self) -> RpcResult<WireConfigCopy> {
        let copy = self.0.config_copy();
        let message = "the entry hasn't read the configuration yet";
        let copy = copy.ok_or_else(|| rpc_error(unavailable(message)))?;
        Ok(copy.into())
    }
}

#[async_trait]
impl<S: Store> JobRpcServer for JobCalls<S> {
    async fn submit_job(&self, zone: String, job: WireJobSpec) -> RpcResult<WireJobStatus> {
        let zone = ZoneName::new(zone).map_err(|error| {
            rpc_error(RequestError::not_run(ErrorKind::Invalid, error.to_string()))
        })?;
        let job: JobSpec = read(job)?;
        let status = self.0.take_submitted(&zone, &job.key).await;
        status.map(Into::into).map_err(rpc_error)
    }

    async fn job_status(&self, key: WireRequestKey, wait_ms: u64) -> RpcResult<WireJobStatus> {
        let key: RequestKey = read(key)?;
        let status = self
            .0
            .own_status(&key, Duration::from_millis(wait_ms))
            .await;
        status.map(Into::into).map_err(rpc_error)
    }

    async fn cancel_job(&self, key: WireRequestKey) -> RpcResult<WireJobStatus> {
        let key: RequestKey = read(key)?;
        let status = self.0.cancel_for_peer(&key).await;
        status.map(Into::into).map_err(rpc_error)
    }

    async fn explain_job(&self, key: WireRequestKey) -> RpcResult<Vec<WireExplanation>> {
        let key: RequestKey = read(key)?;
        let explanations = self.0.own_explain(&key).await.map_err(rpc_error)?;
        Ok(explanations.into_iter().map(Into::into).collect())
    }
}
