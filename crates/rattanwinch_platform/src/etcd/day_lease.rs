use std::time::Duration;
use std::time::Instant;

use super::CallResult;
use super::Gateway;
use super::grant_lease;
use crate::LeaseId;

/// How long new keys are attached to the same lease. A lease per key would cost a call per key.
const LEASE_REUSE_PERIOD: Duration = Duration::from_secs(3600);

/// The time to live of the lease: 24 h for the last key attached to it, plus 5 min for a delayed
/// or slow write.
const DAY_LEASE_TTL: Duration = Duration::from_secs(25 * 3600 + 300);

/// The lease of keys that are kept for 24 h, shared by all keys written within an hour.
#[derive(Debug, Default)]
pub(crate) struct DayLease {
    lease: Option<(LeaseId, Instant)>,
}

impl DayLease {
    /// Returns the lease for a key that is written at `now`, granting a new one if necessary.
    pub async fn get(&mut self, gateway: &Gateway, now: Instant) -> CallResult<LeaseId> {
        if let Some((id, granted)) = self.lease
            && now.duration_since(granted) < LEASE_REUSE_PERIOD
        {
            return Ok(id);
        }
        let id = grant_lease(gateway, DAY_LEASE_TTL).await?;
        self.lease = Some((id, now));
        Ok(id)
    }
}
