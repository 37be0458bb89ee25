//! What is stored under the keys: JSON forms that convert to and from plain types.

mod change_record;
mod claim_record;
mod config_document;
mod invalid_record;

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
