use std::time::Duration;
use std::time::Instant;

use super::CallResult;
use super::Gateway;
use super::grant_lease;
use crate::LeaseId;

/// How long keys are attached to one lease. A lease for each key would cost a call a key.
const SHARED_FOR: Duration = Duration::from_secs(3600);

/// The time to live of the lease: the last key attached to it still has 24 h, and some minutes
/// for a write that waits or is slow.
const TTL: Duration = Duration::from_secs(25 * 3600 + 300);

/// The lease of the keys that stay for 24 h, shared by all that are written within an hour.
#[derive(Debug, Default)]
pub(crate) struct DayLease {
    lease: Option<(LeaseId, Instant)>,
}

impl DayLease {
    /// The lease for a key that is written at `now`.
    pub async fn get(&mut self, gateway: &Gateway, now: Instant) -> CallResult<LeaseId> {
        if let Some((id, granted)) = self.lease
            && now.duration_since(granted) < SHARED_FOR
        {
            return Ok(id);
        }
        let id = grant_lease(gateway, TTL).await?;
        self.lease = Some((id, now));
        Ok(id)
    }
}
