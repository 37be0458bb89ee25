//! Every key in the store; all begin with [`PREFIX`].

use std::sync::Arc;

use rattanwinch_types::ChangeId;
use rattanwinch_types::EntryName;
use rattanwinch_types::RequestKey;
use rattanwinch_types::ZoneName;

/// What every key begins with.
pub const PREFIX: &str = "/rattanwinch/";

/// A key.
pub type Key = Arc<str>;

/// The configuration document.
#[must_use]
pub fn config() -> Key {
    Arc::from("/rattanwinch/config/current")
}

/// The record of one change to the configuration.
#[must_use]
pub fn change(id: &ChangeId) -> Key {
    Arc::from(format!("/rattanwinch/config/changes/{id}"))
}

/// What the records of all changes begin with.
#[must_use]
pub fn changes_prefix() -> Key {
    Arc::from("/rattanwinch/config/changes/")
}

/// Which entry decides a zone; the key's revision is the epoch.
#[must_use]
pub fn decider(zone: &ZoneName) -> Key {
    Arc::from(format!("/rattanwinch/zones/{zone}/decider"))
}

/// What the decider keys of all zones begin with.
#[must_use]
pub fn deciders_prefix() -> Key {
    Arc::from("/rattanwinch/zones/")
}

/// The registration of an entry.
#[must_use]
pub fn entry(name: &EntryName) -> Key {
    Arc::from(format!("/rattanwinch/entries/{name}"))
}

/// What the registrations of all entries begin with.
#[must_use]
pub fn entries_prefix() -> Key {
    Arc::from("/rattanwinch/entries/")
}

/// The claim of a non-idempotent request, or the pointer from a job's id to its zone.
#[must_use]
pub fn request_id(key: &RequestKey) -> Key {
    Arc::from(format!("/rattanwinch/ids/{}/{}", key.organisation, key.id))
}

/// The record of a job.
#[must_use]
pub fn job(zone: &ZoneName, key: &RequestKey) -> Key {
    Arc::from(format!(
        "/rattanwinch/jobs/{zone}/{}/{}",
        key.organisation, key.id
    ))
}

/// What the records of a zone's jobs begin with.
#[must_use]
pub fn jobs_prefix(zone: &ZoneName) -> Key {
    Arc::from(format!("/rattanwinch/jobs/{zone}/"))
}
