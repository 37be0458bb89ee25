//! The stored records: JSON types that convert to and from domain types. Decoding validates a
//! record.

mod change_record;
mod claim_record;
mod config_document;
mod invalid_record;
mod job;
mod outcome;
mod process;

pub use change_record::ChangeRecord;
pub use change_record::WireChangeRecord;
pub use claim_record::WireClaimOutcome;
pub use claim_record::WireClaimRecord;
pub use config_document::ConfigDocument;
pub use config_document::InvalidConfig;
pub use config_document::MAX_RECENT_CHANGES;
pub use config_document::WireConfigDocument;
pub use config_document::WireException;
pub use config_document::WireExceptionEffect;
pub use config_document::WireFleetConfig;
pub use config_document::WireFleetDefaults;
pub use config_document::WireGuarantee;
pub use config_document::WireOrganisation;
pub use invalid_record::InvalidRecord;
pub use job::JobPointer;
pub use job::StoredJob;
pub use job::StoredJobPointer;
pub use process::DeciderRecord;
pub use process::EntryRecord;
pub use process::StoredDecider;
pub use process::StoredEntry;

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The result of decoding a record.
type Result<T> = std::result::Result<T, InvalidRecord>;

/// Encodes a stored type as JSON.
fn encode<T: Serialize>(stored: &T) -> Arc<[u8]> {
    let text = serde_json::to_vec(stored).expect("maps in stored types have string keys");
    Arc::from(text)
}

/// Decodes a stored type from JSON.
fn decode<T: DeserializeOwned>(what: &'static str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|error| InvalidRecord::new(what, &error.to_string()))
}
