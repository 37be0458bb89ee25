//! The stored forms of jobs, deciders and entries: JSON values that convert to and from plain
//! types. Reading one checks it.

mod invalid_record;
mod job;
mod outcome;
mod process;

pub use invalid_record::InvalidRecord;
pub use invalid_record::Result;
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

/// The JSON text of a stored form.
fn encode<T: Serialize>(stored: &T) -> Arc<[u8]> {
    let text = serde_json::to_vec(stored).expect("stored forms have string keys only");
    Arc::from(text)
}

/// Reads a stored form.
fn decode<T: DeserializeOwned>(what: &'static str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|error| InvalidRecord::new(what, error.to_string()))
}
