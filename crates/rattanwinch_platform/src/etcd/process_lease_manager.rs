use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::CallError;
use super::CallKind;
use super::CallResult;
use super::Gateway;
use crate::LeaseId;
use crate::ProcessLease;
use crate::wire::JsonInt;
use crate::wire::WireLeaseGrant;
use crate::wire::WireLeaseGrantResponse;
use crate::wire::WireLeaseId;
use crate::wire::WireLeaseKeepAliveResponse;
use crate::wire::WireLeaseRevokeResponse;

/// The delay after a failed grant or renewal. It allows several retries within the lease's 10 s
/// and uses little of the write rate limit.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Grants and renews the process lease in the background.
#[derive(Debug)]
pub(crate) struct ProcessLeaseManager {
    gateway: Arc<Gateway>,
    state: watch::Sender<ProcessLease>,
    wakeup: Notify,
    logger: Logger,
}

impl ProcessLeaseManager {
    /// Creates a manager without a lease.
    pub fn new(gateway: Arc<Gateway>, logger: Logger) -> Self {
        Self {
            gateway,
            state: watch::Sender::default(),
            wakeup: Notify::new(),
            logger,
        }
    }

    /// Subscribes to the state of the lease.
    pub fn subscribe(&self) -> watch::Receiver<ProcessLease> {
        self.state.subscribe()
    }

    /// Returns the lease, requesting one if none is held; `None` if none is granted in time.
    pub async fn acquire(&self) -> Option<LeaseId> {
        if let Some(id) = self.state.borrow().held() {
            return Some(id);
        }
        self.wakeup.notify_one();
        let mut state = self.state.subscribe();
        let limit = self.gateway.settings.max_wait;
        let lease = state.wait_for(|state| state.held().is_some());
        let lease = tokio::time::timeout(limit, lease).await.ok()?.ok()?;
        lease.held()
    }

    /// Marks the lease as lost after the store reported that it does not exist.
    pub fn mark_lost(&self, id: LeaseId) {
        let changed = self.state.send_if_modified(|state| {
            let held = *state == ProcessLease::Held(id);
            if held {
                *state = ProcessLease::Lost(id);
            }
            held
        });
        if changed {
            warn!(self.logger, "process lease lost; requesting a new one"; "lease" => id.0);
            self.wakeup.notify_one();
        }
    }

    /// Grants the lease once it is requested, then renews it until the future is dropped.
    pub async fn run(&self) {
        self.wakeup.notified().await;
        let mut cluster = None;
        loop {
            let state = *self.state.borrow();
            let delay = match state.held() {
                Some(id) => self.renew(id, cluster).await,
                None => {
                    let delay = self.grant().await;
                    cluster = self.cluster();
                    delay
                }
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.wakeup.notified() => {}
            }
        }
    }

    /// Requests a lease; returns the delay until the next call.
    async fn grant(&self) -> Duration {
        match grant_lease(&self.gateway, self.gateway.settings.lease_ttl).await {
            Ok(id) => {
                info!(self.logger, "process lease granted"; "lease" => id.0);
                self.state.send_replace(ProcessLease::Held(id));
                self.gateway.settings.lease_interval
            }
            Err(error) => {
                warn!(self.logger, "cannot grant the process lease; retrying"; "error" => %error);
                self.retry_delay()
            }
        }
    }

    fn cluster(&self) -> Option<u64> {
        self.gateway
            .last_seen_revision()
            .map(|last_seen_revision| last_seen_revision.cluster)
    }

    /// Renews a lease that was granted under the cluster id `cluster`. A restored store can have
    /// the lease but lack keys attached to it, so a changed cluster id counts as a lost lease.
    /// Returns the delay until the next call.
    async fn renew(&self, id: LeaseId, cluster: Option<u64>) -> Duration {
        let body = WireLeaseId { id: JsonInt(id.0) };
        let response: CallResult<WireLeaseKeepAliveResponse> =
            self.gateway.call(CallKind::LeaseKeepAlive, &body).await;
        match response {
            Ok(response) if response.result.ttl.0 > 0 && self.cluster() == cluster => {
                self.gateway.settings.lease_interval
            }
            Ok(_) => {
                self.mark_lost(id);
                Duration::ZERO
            }
            Err(error) => {
                warn!(self.logger, "lease not renewed"; "lease" => id.0, "error" => %error);
                self.retry_delay()
            }
        }
    }

    fn retry_delay(&self) -> Duration {
        RETRY_INTERVAL.min(self.gateway.settings.lease_interval)
    }

    /// Revokes the lease, which deletes the keys attached to it.
    pub async fn revoke(&self) {
        let Some(id) = self.state.borrow().held() else {
            return;
        };
        let body = WireLeaseId { id: JsonInt(id.0) };
        let response: CallResult<WireLeaseRevokeResponse> =
            self.gateway.call(CallKind::LeaseRevoke, &body).await;
        if let Err(error) = response {
            warn!(self.logger, "cannot revoke the process lease; leaving it to expire";
                "lease" => id.0, "error" => %error);
        }
        self.state.send_replace(ProcessLease::Lost(id));
    }
}

/// Grants a lease with at least the given `ttl`. If the response is lost, the lease is left to
/// expire.
pub(crate) async fn grant_lease(gateway: &Gateway, ttl: Duration) -> CallResult<LeaseId> {
    let seconds = i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX);
    let body = WireLeaseGrant {
        ttl: JsonInt(seconds),
        id: JsonInt(0),
    };
    let response: WireLeaseGrantResponse = gateway.call(CallKind::LeaseGrant, &body).await?;
    if response.id.0 == 0 {
        return Err(CallError::Lost("granted lease has no id".to_owned()));
    }
    Ok(LeaseId(response.id.0))
}
