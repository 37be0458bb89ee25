use std::sync::Arc;

use rattanwinch_types::ChangeId;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use serde_json::Value;

use super::InvalidConfig;

rattanwinch_types::value! {
    /// The value under `config/changes/<change id>`: one accepted change of the configuration.
    pub struct ChangeRecord {
        /// The id that the author's program gave the change.
        pub id: ChangeId,
        /// Who made it.
        pub author: Arc<str>,
        /// Why, in the author's words.
        pub reason: Arc<str>,
        /// When it was made.
        pub at: Timestamp,
        /// The revision of the document that it was based on; zero if there was none.
        pub based_on: Revision,
        /// The change itself, in the JSON form of the interface towards operators.
        pub change: Value,
        /// What it changed, a sentence each.
        pub effects: Vec<Arc<str>>,
    }
}

impl ChangeRecord {
    /// True if both ask for the same, so that one is a repetition of the other. The time and the
    /// base may differ: a repetition after a lost answer is sent later and may have been rebased.
    #[must_use]
    pub fn is_same_change(&self, other: &Self) -> bool {
        self.id == other.id
            && self.author == other.author
            && self.reason == other.reason
            && self.change == other.change
    }

    /// Reads the stored JSON.
    ///
    /// # Errors
    ///
    /// [`InvalidConfig`] that says which field is wrong.
    pub fn from_json(bytes: &[u8]) -> Result<Self, InvalidConfig> {
        let wire: WireChangeRecord = serde_json::from_slice(bytes)
            .map_err(|error| InvalidConfig::new(format!("change record: {error}")))?;
        Self::try_from(wire)
    }

    /// Writes the JSON to store.
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
    /// A [`ChangeRecord`] in JSON.
    pub struct WireChangeRecord {
        /// The id that the author's program gave the change.
        pub id: String,
        /// Who made it.
        pub author: String,
        /// Why, in the author's words.
        pub reason: String,
        /// When it was made, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// The revision of the document that it was based on.
        pub based_on: i64,
        /// The change itself.
        pub change: Value,
        /// What it changed, a sentence each.
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
