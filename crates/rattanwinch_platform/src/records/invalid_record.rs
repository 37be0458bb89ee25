use std::fmt;

/// The error of decoding a stored value; names the field and the expected value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRecord(String);

impl InvalidRecord {
    /// Creates an error for a field.
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
