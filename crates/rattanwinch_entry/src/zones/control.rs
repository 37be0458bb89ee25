use std::sync::Arc;

use rattanwinch_decisions::DeciderKey;
use rattanwinch_decisions::RoleView;
use rattanwinch_platform::KeyValue;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::DeciderRecord;
use rattanwinch_platform::records::EntryRecord;
use rattanwinch_types::Epoch;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneEpoch;
use rattanwinch_types::ZoneName;

use crate::control_view::ControlView;

/// The decider keys of zones by their keys in the store.
pub(crate) type DeciderKeys = Arc<[(Arc<str>, DeciderKey)]>;

/// Decodes the decider keys, leaving out invalid ones.
pub(crate) fn decode_deciders(stored: &[KeyValue]) -> DeciderKeys {
    let decode = |stored: &KeyValue| {
        let record = DeciderRecord::decode(&stored.value).ok()?;
        let decider = DeciderKey {
            entry: record.entry,
            incarnation: record.incarnation,
            epoch: Epoch(stored.revision.0),
        };
        Some((Arc::clone(&stored.key), decider))
    };
    stored.iter().filter_map(decode).collect()
}

/// Decodes the registrations of entries, leaving out invalid ones.
pub(crate) fn decode_entries(stored: &[KeyValue]) -> Arc<[EntryRecord]> {
    let records = stored.iter();
    records
        .filter_map(|stored| EntryRecord::decode(&stored.value).ok())
        .collect()
}

impl ControlView {
    /// The decider key of a zone; `None` if it is absent or invalid.
    pub fn decider(&self, zone: &ZoneName) -> Option<DeciderKey> {
        let key = keys::decider(zone);
        let mut deciders = self.deciders.iter();
        let (_, decider) = deciders.find(|(known, _)| *known == key)?;
        Some(decider.clone())
    }

    /// The epochs of all zones that have a decider key.
    pub fn epochs(&self) -> Vec<ZoneEpoch> {
        let zones = self.config.zones.iter();
        let epochs = zones.filter_map(|zone| {
            let epoch = self.decider(zone)?.epoch;
            Some(ZoneEpoch {
                zone: zone.clone(),
                epoch,
            })
        });
        epochs.collect()
    }

    /// Whether decisions may be made on this view at `now`.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.freshness(now).is_zero()
    }

    /// The view on which this entry's role in a zone is decided.
    pub fn role_view(&self, zone: &ZoneName, draining: bool, now: Timestamp) -> RoleView {
        RoleView {
            decider: self.decider(zone),
            fresh: self.is_fresh(now),
            regressed: self.regressed,
            draining,
        }
    }
}
