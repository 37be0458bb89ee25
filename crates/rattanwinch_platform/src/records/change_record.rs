use std::sync::Arc;

use rattanwinch_types::ChangeId;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use serde_json::Value;

use super::InvalidConfig;

rattanwinch_types::value! {
    /// An accepted configuration change, stored under `config/changes/<change id>`.
    pub struct ChangeRecord {
        /// The id of the change, chosen by the client.
        pub id: ChangeId,
        /// The author of the change.
        pub author: Arc<str>,
        /// The author's reason for the change.
        pub reason: Arc<str>,
        /// When the change was made.
        pub at: Timestamp,
        /// The revision of the document that the change was based on; zero if there was none.
        pub based_on: Revision,
        /// The change in the JSON form of the operator API.
        pub change: Value,
        /// The effects of the change, one sentence each.
        pub effects: Vec<Arc<str>>,
    }
}

impl ChangeRecord {
    /// Whether both records describe the same change, so that one is a retry of the other. Time
    /// and base revision may differ, because a retry after a lost response is sent later and may
    /// have been rebased.
    #[must_use]
    pub fn is_same_change(&self, other: &Self) -> bool {
        self.id == other.id
            && self.author == other.author
            && self.reason == other.reason
            && self.change == other.change
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// [`InvalidConfig`] with the invalid field.
    pub fn from_json(bytes: &[u8]) -> Result<Self, InvalidConfig> {
        let wire: WireChangeRecord = serde_json::from_slice(bytes)
            .map_err(|error| InvalidConfig::new(format!("change record: {error}")))?;
        Self::try_from(wire)
    }

    /// Encodes the record for storage.
    ///
    /// # Panics
    ///
    /// Never: every field has a JSON form.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&WireChangeRecord::from(self.clone()))
            .expect("every field of the record has a JSON form")
    }
}

rattanwinch_types::value! { wire
    /// The JSON form of a [`ChangeRecord`].
    pub struct WireChangeRecord {
        /// The id of the change, chosen by the client.
        pub id: String,
        /// The author of the change.
        pub author: String,
        /// The author's reason for the change.
        pub reason: String,
        /// When the change was made, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// The revision of the document that the change was based on.
        pub based_on: i64,
        /// The change in the JSON form of the operator API.
        pub change: Value,
        /// The effects of the change, one sentence each.
        pub effects: Vec<String>,
    }
}

impl From<ChangeRecord> for WireChangeRecord {
    fn from(record: ChangeRecord) -> Self {
        let effects = record.effects.iter();
        Self {
            id: record.id.into(),
            author: record.author.as_ref().to_owned(),
            reason: record.reason.as_ref().to_owned(),
            at_unix_ms: record.at.as_millis(),
            based_on: record.based_on.0,
            change: record.change,
            effects: effects.map(|text| text.as_ref().to_owned()).collect(),
        }
    }
}

impl TryFrom<WireChangeRecord> for ChangeRecord {
    type Error = InvalidConfig;

    fn try_from(wire: WireChangeRecord) -> Result<Self, InvalidConfig> {
        Ok(Self {
            id: ChangeId::new(wire.id)?,
            author: Arc::from(wire.author),
            reason: Arc::from(wire.reason),
            at: Timestamp::from_millis(wire.at_unix_ms),
            based_on: Revision(wire.based_on),
            change: wire.change,
            effects: wire.effects.into_iter().map(Arc::from).collect(),
        })
    }
}
