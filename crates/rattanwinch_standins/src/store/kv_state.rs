use imbl::OrdMap;
use imbl::Vector;
use rattanwinch_platform::wire::JsonBytes;
use rattanwinch_platform::wire::JsonInt;
use rattanwinch_platform::wire::WireHeader;
use rattanwinch_platform::wire::WireKeyValue;
use rattanwinch_platform::wire::WirePut;
use rattanwinch_platform::wire::WireRange;
use rattanwinch_platform::wire::WireRangeResponse;

use super::KvError;
use super::KvResult;
use super::kv_lease::KvLease;

/// The number of changes kept for watches that start at an earlier revision.
const MAX_KEPT_EVENTS: usize = 10_000;

/// A change of a key.
#[derive(Clone, Debug)]
pub(crate) struct KvEvent {
    /// Whether the key was deleted; `kv` then has only the key and the revision.
    pub deleted: bool,
    /// The key-value pair after the change.
    pub kv: WireKeyValue,
}

/// The state of the store: key-value pairs with their revisions, and leases.
///
/// It performs no I/O and reads no clock. Cloning it is cheap and creates a snapshot.
#[derive(Clone, Debug)]
pub struct KvState {
    pub(super) cluster_id: u64,
    pub(super) revision: i64,
    pub(super) keys: OrdMap<JsonBytes, WireKeyValue>,
    pub(super) leases: OrdMap<i64, KvLease>,
    pub(super) history: Vector<KvEvent>,
    pub(super) compacted_revision: i64,
    pub(super) max_value_bytes: usize,
}

impl KvState {
    /// Creates an empty state at revision 1.
    #[must_use]
    pub fn new(cluster_id: u64, max_value_bytes: usize) -> Self {
        Self {
            cluster_id,
            revision: 1,
            keys: OrdMap::new(),
            leases: OrdMap::new(),
            history: Vector::new(),
            compacted_revision: 0,
            max_value_bytes,
        }
    }

    /// Returns the header for a response.
    #[must_use]
    pub fn header(&self) -> WireHeader {
        WireHeader {
            cluster_id: JsonInt(self.cluster_id),
            revision: JsonInt(self.revision),
        }
    }

    /// Changes the cluster id, as restoring a snapshot does.
    pub fn set_cluster_id(&mut self, cluster_id: u64) {
        self.cluster_id = cluster_id;
    }

    /// Reads a range of keys.
    #[must_use]
    pub fn range(&self, range: &WireRange) -> WireRangeResponse {
        let found = self.keys_in(&range.key, &range.range_end);
        let count = found.len();
        let mut kvs = found;
        kvs.retain(|kv| kv.mod_revision >= range.min_mod_revision);
        let limit = usize::try_from(range.limit.0).unwrap_or(0);
        let more = limit > 0 && kvs.len() > limit;
        if more {
            kvs.truncate(limit);
        }
        if range.count_only {
            kvs.clear();
        }
        WireRangeResponse {
            header: self.header(),
            kvs,
            more: more && !range.count_only,
            count: JsonInt(i64::try_from(count).unwrap_or(i64::MAX)),
        }
    }

    pub(super) fn keys_in(&self, key: &JsonBytes, range_end: &JsonBytes) -> Vec<WireKeyValue> {
        if range_end.is_empty() {
            return self.keys.get(key).cloned().into_iter().collect();
        }
        let from = self.keys.range(key.clone()..);
        from.map(|(_, kv)| kv)
            .take_while(|kv| is_below(&kv.key, range_end))
            .cloned()
            .collect()
    }

    /// Returns the changes from `revision` on, or `None` if they were compacted.
    pub(crate) fn events_since(&self, revision: i64) -> Option<Vec<KvEvent>> {
        if revision <= self.compacted_revision {
            return None;
        }
        let since = |event: &&KvEvent| event.kv.mod_revision.0 >= revision;
        Some(self.history.iter().filter(since).cloned().collect())
    }

    /// Writes a key at `revision`.
    pub(super) fn put_at(&mut self, put: &WirePut, revision: i64) {
        let old = self.keys.get(&put.key);
        let kv = WireKeyValue {
            key: put.key.clone(),
            create_revision: old.map_or(JsonInt(revision), |old| old.create_revision),
            mod_revision: JsonInt(revision),
            version: JsonInt(old.map_or(1, |old| old.version.0 + 1)),
            value: put.value.clone(),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), kv.clone());
        self.record(KvEvent { deleted: false, kv });
    }

    /// Deletes keys at `revision` and returns their number.
    pub(super) fn delete_at(&mut self, keys: Vec<WireKeyValue>, revision: i64) -> usize {
        let count = keys.len();
        for kv in keys {
            self.keys.remove(&kv.key);
            let kv = WireKeyValue {
                key: kv.key,
                mod_revision: JsonInt(revision),
                ..WireKeyValue::default()
            };
            self.record(KvEvent { deleted: true, kv });
        }
        count
    }

    fn record(&mut self, event: KvEvent) {
        self.history.push_back(event);
        while self.history.len() > MAX_KEPT_EVENTS {
            if let Some(oldest) = self.history.pop_front() {
                self.compacted_revision = oldest.kv.mod_revision.0;
            }
        }
    }

    pub(super) fn check_put(&self, put: &WirePut) -> KvResult<()> {
        if put.value.0.len() > self.max_value_bytes {
            return Err(KvError::TooLarge);
        }
        if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) {
            return Err(KvError::LeaseNotFound);
        }
        Ok(())
    }
}

/// Whether a key is below the end of a range; the end `\0` means an open range.
pub(super) fn is_below(key: &JsonBytes, range_end: &JsonBytes) -> bool {
    *range_end.0 == [0] || key < range_end
}
