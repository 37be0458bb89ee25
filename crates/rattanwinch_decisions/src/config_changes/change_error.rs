use std::fmt;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;

use super::DefaultKey;

rattanwinch_types::value! {
    /// Why a change is refused; nothing was changed.
    pub enum ChangeError {
        /// The reason or the author is missing, too long or has control characters.
        Text {
            /// `reason` or `author`.
            field: &'static str,
            /// What was expected.
            expected: &'static str,
        },
        /// Something that the change names doesn't exist.
        Unknown {
            /// What it is, such as `organisation`.
            what: &'static str,
            /// Its name.
            name: String,
        },
        /// Something that the change adds exists already.
        Duplicate {
            /// What it is, such as `exception`.
            what: &'static str,
            /// Its name.
            name: String,
        },
        /// Something that the change removes is still referred to.
        InUse {
            /// What it is, such as `availability zone`.
            what: &'static str,
            /// Its name.
            name: String,
            /// What refers to it.
            by: String,
        },
        /// A number is out of range.
        OutOfRange {
            /// The field.
            field: &'static str,
            /// The value.
            value: u64,
            /// What was expected.
            expected: String,
        },
        /// The change changes nothing.
        NoEffect,
    }
}

impl ChangeError {
    /// A default that is out of its range.
    pub(super) fn default_out_of_range(key: DefaultKey, value: u64) -> Self {
        let range = key.range();
        Self::OutOfRange {
            field: key.as_str(),
            value,
            expected: format!("{} to {}", range.start(), range.end()),
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text { field, expected } => write!(f, "{field}: expected {expected}"),
            Self::Unknown { what, name } => write!(
                f,
                "{what} {name:?} isn't in the configuration: expected one that is"
            ),
            Self::Duplicate { what, name } => write!(
                f,
                "{what} {name:?} is in the configuration already: expected a new one"
            ),
            Self::InUse { what, name, by } => write!(
                f,
                "{what} {name:?} is still used by {by}: expected that to be removed first"
            ),
            Self::OutOfRange {
                field,
                value,
                expected,
            } => write!(f, "{field} is {value}: expected {expected}"),
            Self::NoEffect => f.write_str("the change changes nothing: expected a new value"),
        }
    }
}

impl std::error::Error for ChangeError {}

impl From<ChangeError> for RequestError {
    fn from(error: ChangeError) -> Self {
        let kind = match &error {
            ChangeError::Unknown { .. } => ErrorKind::NotFound,
            ChangeError::Duplicate { .. } | ChangeError::InUse { .. } => ErrorKind::Conflict,
            ChangeError::Text { .. } | ChangeError::OutOfRange { .. } | ChangeError::NoEffect => {
                ErrorKind::Invalid
            }
        };
        Self::not_run(kind, error.to_string())
    }
}
