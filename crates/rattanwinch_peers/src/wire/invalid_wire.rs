use std::fmt;

use rattanwinch_types::InvalidName;
use rattanwinch_types::InvalidShape;

/// A message whose fields don't make sense, with what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidMessage(String);

impl InvalidMessage {
    /// Names the field and what was expected of it.
    #[must_use]
    pub fn new(field: &str, expected: &str) -> Self {
        Self(format!("field {field}: expected {expected}"))
    }
}

impl fmt::Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidMessage {}

impl From<InvalidName> for InvalidMessage {
    fn from(error: InvalidName) -> Self {
        Self(error.to_string())
    }
}

impl From<InvalidShape> for InvalidMessage {
    fn from(error: InvalidShape) -> Self {
        Self(error.to_string())
    }
}
