use std::time::Duration;

use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireLeaseGrant;
use rattanwinch_platform::wire::WireLeaseGrantResponse;
use rattanwinch_platform::wire::WireLeaseRevokeResponse;
use rattanwinch_platform::wire::WireLeaseStatus;
use rattanwinch_types::Timestamp;

use super::KvError;
use super::KvResult;
use super::KvState;

rattanwinch_types::value! { copy
    /// A lease of the store.
    pub(crate) struct KvLease {
        /// The time to live in seconds.
        pub ttl: i64,
        /// When the lease expires unless it is renewed.
        pub expires_at: Timestamp,
    }
}

impl KvLease {
    fn new(ttl: i64, now: Timestamp) -> Self {
        let seconds = u64::try_from(ttl).unwrap_or(0);
        Self {
            ttl,
            expires_at: now + Duration::from_secs(seconds),
        }
    }
}

impl KvState {
    /// Grants a lease; `fresh_id` is its id unless the request specifies one.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseExists`] if a lease has the same id, and [`KvError::Invalid`] for a time
    /// to live below one second.
    pub fn grant(
        &mut self,
        grant: &WireLeaseGrant,
        fresh_id: i64,
        now: Timestamp,
    ) -> KvResult<WireLeaseGrantResponse> {
        let id = if grant.id.0 == 0 {
            fresh_id
        } else {
            grant.id.0
        };
        if grant.ttl.0 < 1 {
            return Err(KvError::Invalid);
        }
        if self.leases.contains_key(&id) {
            return Err(KvError::LeaseExists);
        }
        self.leases.insert(id, KvLease::new(grant.ttl.0, now));
        Ok(WireLeaseGrantResponse {
            header: self.header(),
            id: JsonInt(id),
            ttl: grant.ttl,
        })
    }

    /// Renews a lease; returns a time to live of 0 if the lease does not exist.
    pub fn keep_alive(&mut self, id: i64, now: Timestamp) -> WireLeaseStatus {
        let renewed = self.leases.get_mut(&id).map(|lease| {
            *lease = KvLease::new(lease.ttl, now);
            lease.ttl
        });
        WireLeaseStatus {
            header: self.header(),
            id: JsonInt(id),
            ttl: JsonInt(renewed.unwrap_or(0)),
        }
    }

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseNotFound`] if the lease does not exist.
    pub fn revoke(&mut self, id: i64) -> KvResult<WireLeaseRevokeResponse> {
        if self.leases.remove(&id).is_none() {
            return Err(KvError::LeaseNotFound);
        }
        let attached = self.keys.values().filter(|kv| kv.lease.0 == id);
        let attached: Vec<_> = attached.cloned().collect();
        if !attached.is_empty() {
            self.revision += 1;
            self.delete_at(attached, self.revision);
        }
        Ok(WireLeaseRevokeResponse {
            header: self.header(),
        })
    }

    /// Removes the leases that have expired at `now` and returns their number.
    pub fn expire(&mut self, now: Timestamp) -> usize {
        let expired = self.leases.iter();
        let expired = expired.filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        let revoked = expired.iter().filter(|id| self.revoke(**id).is_ok());
        revoked.count()
    }

    /// Renews all leases, as etcd does after a restart, during which clients could not renew them.
    pub fn renew_all(&mut self, now: Timestamp) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            self.keep_alive(id, now);
        }
    }

    /// Returns the time to live with which a lease was granted, in seconds.
    #[must_use]
    pub fn lease_ttl(&self, id: i64) -> Option<i64> {
        self.leases.get(&id).map(|lease| lease.ttl)
    }

    /// Revokes all leases, as happens when the store is partitioned from its clients for long.
    pub fn revoke_all(&mut self) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            let revoked = self.revoke(id);
            debug_assert!(revoked.is_ok(), "lease {id} was listed but does not exist");
        }
    }
}
