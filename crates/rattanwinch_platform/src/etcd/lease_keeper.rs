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

/// The wait after a grant or renewal that failed. It leaves several tries within the 10 s of the
/// lease and stays far below the budget of writes.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Grants and renews the process's lease in the background.
#[derive(Debug)]
pub(crate) struct LeaseKeeper {
    gateway: Arc<Gateway>,
    state: watch::Sender<ProcessLease>,
    wanted: Notify,
    logger: Logger,
}

impl LeaseKeeper {
    /// A keeper without a lease.
    pub fn new(gateway: Arc<Gateway>, logger: Logger) -> Self {
        Self {
            gateway,
            state: watch::Sender::default(),
            wanted: Notify::new(),
            logger,
        }
    }

    /// The state of the lease and its changes.
    pub fn subscribe(&self) -> watch::Receiver<ProcessLease> {
        self.state.subscribe()
    }

    /// The lease, asked for if there is none; `None` if the store doesn't grant one in time.
    pub async fn held(&self) -> Option<LeaseId> {
        if let Some(id) = self.state.borrow().held() {
            return Some(id);
        }
        self.wanted.notify_one();
        let mut state = self.state.subscribe();
        let limit = self.gateway.settings.max_wait;
        let held = state.wait_for(|state| state.held().is_some());
        let held = tokio::time::timeout(limit, held).await.ok()?.ok()?;
        held.held()
    }

    /// Takes the store's word that it doesn't have the lease.
    pub fn lost(&self, id: LeaseId) {
        let changed = self.state.send_if_modified(|state| {
            let held = *state == ProcessLease::Held(id);
            if held {
                *state = ProcessLease::Lost(id);
            }
            held
        });
        if changed {
            warn!(self.logger, "the store lost the process's lease"; "lease" => id.0);
            self.wanted.notify_one();
        }
    }

    /// Renews the lease until the future is dropped; grants none before one is wanted.
    pub async fn run(&self) {
        self.wanted.notified().await;
        let mut cluster = None;
        loop {
            let state = *self.state.borrow();
            let pause = match state.held() {
                Some(id) => self.renew(id, cluster).await,
                None => {
                    let pause = self.grant().await;
                    cluster = self.cluster();
                    pause
                }
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.wanted.notified() => {}
            }
        }
    }

    async fn grant(&self) -> Duration {
        match grant_lease(&self.gateway, self.gateway.settings.lease_ttl).await {
            Ok(id) => {
                info!(self.logger, "the store granted the process's lease"; "lease" => id.0);
                self.state.send_replace(ProcessLease::Held(id));
                self.gateway.settings.lease_interval
            }
            Err(error) => {
                warn!(self.logger, "no lease granted"; "error" => %error);
                self.next_try()
            }
        }
    }

    fn cluster(&self) -> Option<u64> {
        self.gateway.view().map(|view| view.cluster)
    }

    /// Renews the lease that was granted by the store with the id `cluster`. A restored store can
    /// know the lease and yet lack keys that were put with it, so the lease counts as lost there.
    async fn renew(&self, id: LeaseId, cluster: Option<u64>) -> Duration {
        let body = WireLeaseId { id: JsonInt(id.0) };
        let response: CallResult<WireLeaseKeepAliveResponse> =
            self.gateway.call(CallKind::LeaseKeepAlive, &body).await;
        match response {
            Ok(response) if response.result.ttl.0 > 0 && self.cluster() == cluster => {
                self.gateway.settings.lease_interval
            }
            Ok(_) => {
                self.lost(id);
                Duration::ZERO
            }
            Err(error) => {
                warn!(self.logger, "lease not renewed"; "lease" => id.0, "error" => %error);
                self.next_try()
            }
        }
    }

    fn next_try(&self) -> Duration {
        RETRY_INTERVAL.min(self.gateway.settings.lease_interval)
    }

    /// Ends the lease, so that the keys attached to it go at once.
    pub async fn revoke(&self) {
        let Some(id) = self.state.borrow().held() else {
            return;
        };
        let body = WireLeaseId { id: JsonInt(id.0) };
        let response: CallResult<WireLeaseRevokeResponse> =
            self.gateway.call(CallKind::LeaseRevoke, &body).await;
        if let Err(error) = response {
            warn!(self.logger, "lease not revoked; it expires by itself";
                "lease" => id.0, "error" => %error);
        }
        self.state.send_replace(ProcessLease::Lost(id));
    }
}

/// Grants a lease of at least `ttl`. A grant whose answer is lost is left to expire.
pub(crate) async fn grant_lease(gateway: &Gateway, ttl: Duration) -> CallResult<LeaseId> {
    let seconds = i64::try_from(ttl.as_secs()).unwrap_or(i64::MAX);
    let body = WireLeaseGrant {
        ttl: JsonInt(seconds),
        id: JsonInt(0),
    };
    let response: WireLeaseGrantResponse = gateway.call(CallKind::LeaseGrant, &body).await?;
    if response.id.0 == 0 {
        return Err(CallError::Lost("a lease without an id".to_owned()));
    }
    Ok(LeaseId(response.id.0))
}
