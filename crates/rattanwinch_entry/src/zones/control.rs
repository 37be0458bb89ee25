use rattanwinch_decisions::DeciderKey;
use rattanwinch_decisions::RoleView;
use rattanwinch_platform::keys;
use rattanwinch_platform::records::DeciderRecord;
use rattanwinch_platform::records::EntryRecord;
use rattanwinch_types::Epoch;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneEpoch;
use rattanwinch_types::ZoneName;

use crate::control_view::ControlView;

impl ControlView {
    /// The decider key of a zone; `None` if there is none or it can't be read.
    pub fn decider(&self, zone: &ZoneName) -> Option<DeciderKey> {
        let key = keys::decider(zone);
        let stored = self.deciders.iter().find(|stored| stored.key == key)?;
        let record = DeciderRecord::decode(&stored.value).ok()?;
        Some(DeciderKey {
            entry: record.entry,
            incarnation: record.incarnation,
            epoch: Epoch(stored.revision.0),
        })
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

    /// The registered entries.
    pub fn entry_records(&self) -> impl Iterator<Item = EntryRecord> {
        let records = self.entries.iter();
        records.filter_map(|stored| EntryRecord::decode(&stored.value).ok())
    }

    /// Whether decisions may be made on this view at `now`.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        !self.freshness(now).is_zero()
    }

    /// What the role in a zone is decided on.
    pub fn role_view(&self, zone: &ZoneName, draining: bool, now: Timestamp) -> RoleView {
        RoleView {
            decider: self.decider(zone),
            fresh: self.is_fresh(now),
            regressed: self.regressed,
            draining,
        }
    }
}
