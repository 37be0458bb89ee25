use std::fmt;
use std::sync::Arc;

/// What reading a record returns.
pub type Result<T> = std::result::Result<T, InvalidRecord>;

/// A stored value that isn't what its key promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRecord {
    /// The kind of record.
    pub what: &'static str,
    /// What was wrong with it.
    pub message: Arc<str>,
}

impl InvalidRecord {
    /// An error about a record of the given kind.
    #[must_use]
    pub fn new(what: &'static str, message: impl AsRef<str>) -> Self {
        Self {
            what,
            message: Arc::from(message.as_ref()),
        }
    }
}

impl fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid {} in the store: {}", self.what, self.message)
    }
}

impl std::error::Error for InvalidRecord {}
