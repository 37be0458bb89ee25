//! The keys of all records in the store; every key begins with [`PREFIX`].

use std::sync::Arc;

use rattanwinch_types::ChangeId;
use rattanwinch_types::EntryName;
use rattanwinch_types::RequestKey;
use rattanwinch_types::ZoneName;

/// The prefix of every key.
pub const PREFIX: &str = "/rattanwinch/";

/// A key.
pub type Key = Arc<str>;

/// The key of the configuration document.
#[must_use]
pub fn config() -> Key {
    Arc::from("/rattanwinch/config/current")
}

/// The key of the record of one configuration change.
#[must_use]
pub fn change(id: &ChangeId) -> Key {
    Arc::from(format!("/rattanwinch/config/changes/{id}"))
}

/// The prefix of the keys of all configuration changes.
#[must_use]
pub fn changes_prefix() -> Key {
    Arc::from("/rattanwinch/config/changes/")
}

/// The key of a zone's decider record; its modification revision is the decider's epoch.
#[must_use]
pub fn decider(zone: &ZoneName) -> Key {
    Arc::from(format!("/rattanwinch/zones/{zone}/decider"))
}

/// The prefix of the decider keys of all zones.
#[must_use]
pub fn deciders_prefix() -> Key {
    Arc::from("/rattanwinch/zones/")
}

/// The key of an entry's registration.
#[must_use]
pub fn entry(name: &EntryName) -> Key {
    Arc::from(format!("/rattanwinch/entries/{name}"))
}

/// The prefix of the keys of all entry registrations.
#[must_use]
pub fn entries_prefix() -> Key {
    Arc::from("/rattanwinch/entries/")
}

/// The key of the claim of a non-idempotent request, or of the pointer from a job to its zone.
#[must_use]
pub fn request_id(key: &RequestKey) -> Key {
    Arc::from(format!("/rattanwinch/ids/{}/{}", key.organisation, key.id))
}

/// The key of a job record.
#[must_use]
pub fn job(zone: &ZoneName, key: &RequestKey) -> Key {
    Arc::from(format!(
        "/rattanwinch/jobs/{zone}/{}/{}",
        key.organisation, key.id
    ))
}

/// The prefix of the keys of a zone's job records.
#[must_use]
pub fn jobs_prefix(zone: &ZoneName) -> Key {
    Arc::from(format!("/rattanwinch/jobs/{zone}/"))
}
