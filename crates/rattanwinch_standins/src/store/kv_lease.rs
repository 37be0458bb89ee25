use std::time::Duration;

use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireLeaseGrant;
use rattanwinch_platform::wire::WireLeaseGrantResponse;
use rattanwinch_platform::wire::WireLeaseRevokeResponse;
use rattanwinch_platform::wire::WireLeaseStatus;
use rattanwinch_types::Timestamp;

use super::KvRefusal;
use super::KvResult;
use super::KvState;

rattanwinch_types::value! { copy
    /// A lease of the store.
    pub(crate) struct KvLease {
        /// The time to live in seconds.
        pub ttl: i64,
        /// When it expires unless it is renewed.
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
    /// Grants a lease; `fresh_id` is its id unless the request has one.
    ///
    /// # Errors
    ///
    /// [`KvRefusal::LeaseExists`] if there is a lease with the id, and [`KvRefusal::Invalid`] for a
    /// time to live below a second.
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
            return Err(KvRefusal::Invalid);
        }
        if self.leases.contains_key(&id) {
            return Err(KvRefusal::LeaseExists);
        }
        self.leases.insert(id, KvLease::new(grant.ttl.0, now));
        Ok(WireLeaseGrantResponse {
            header: self.header(),
            id: JsonInt(id),
            ttl: grant.ttl,
        })
    }

    /// Renews a lease; a lease that doesn't exist is answered with a time to live of 0.
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

    /// Ends a lease and deletes the keys that are attached to it.
    ///
    /// # Errors
    ///
    /// [`KvRefusal::LeaseNotFound`] if there is no such lease.
    pub fn revoke(&mut self, id: i64) -> KvResult<WireLeaseRevokeResponse> {
        if self.leases.remove(&id).is_none() {
            return Err(KvRefusal::LeaseNotFound);
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

    /// Ends the leases that have expired at `now` and returns how many there were.
    pub fn expire(&mut self, now: Timestamp) -> usize {
        let expired = self.leases.iter();
        let expired = expired.filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<i64> = expired.map(|(id, _)| *id).collect();
        let ended = expired.iter().filter(|id| self.revoke(**id).is_ok());
        ended.count()
    }

    /// Renews all leases, as etcd does when it starts again: its clients couldn't.
    pub fn renew_all(&mut self, now: Timestamp) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            self.keep_alive(id, now);
        }
    }

    /// The time to live that a lease was granted, in seconds.
    #[must_use]
    pub fn lease_ttl(&self, id: i64) -> Option<i64> {
        self.leases.get(&id).map(|lease| lease.ttl)
    }

    /// Ends all leases at once, as a store does that was cut off from its clients for long.
    pub fn revoke_all(&mut self) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            let revoked = self.revoke(id);
            debug_assert!(revoked.is_ok(), "lease {id} was listed and isn't there");
        }
    }
}
