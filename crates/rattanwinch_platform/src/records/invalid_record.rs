use std::fmt;

/// A stored value that can't be read; says which field and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRecord(String);

impl InvalidRecord {
    /// Names the field and what was expected of it.
    #[must_use]
    pub fn new(field: &str, expected: &str) -> Self {
        Self(format!("stored field {field}: expected {expected}"))
    }
}

impl fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidRecord {}
