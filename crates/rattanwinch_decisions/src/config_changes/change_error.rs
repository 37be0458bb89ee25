use std::fmt;

use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;

use super::DefaultKey;

rattanwinch_types::value! {
    /// Reason for which a change is refused; nothing was changed.
    pub enum ChangeError {
        /// The reason or the author is missing, too long or has control characters.
        Text {
            /// `reason` or `author`.
            field: &'static str,
            /// Expected text or range.
            expected: &'static str,
        },
        /// An item that the change refers to doesn't exist.
        Unknown {
            /// Kind of the item, such as `organisation`.
            kind: &'static str,
            /// Name of the item.
            name: String,
        },
        /// An item that the change adds exists already.
        Duplicate {
            /// Kind of the item, such as `exception`.
            kind: &'static str,
            /// Name of the item.
            name: String,
        },
        /// An item that the change removes is still referenced.
        InUse {
            /// Kind of the item, such as `availability zone`.
            kind: &'static str,
            /// Name of the item.
            name: String,
            /// Description of the reference.
            referenced_by: String,
        },
        /// A number is out of range.
        OutOfRange {
            /// The field.
            field: &'static str,
            /// The value.
            value: u64,
            /// Expected text or range.
            expected: String,
        },
        /// The change has no effect.
        NoEffect,
    }
}

impl ChangeError {
    /// Error for a default that is out of its range.
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
            Self::Unknown { kind, name } => write!(
                f,
                "{kind} {name:?} isn't in the configuration: expected an existing one"
            ),
            Self::Duplicate { kind, name } => write!(
                f,
                "{kind} {name:?} is already in the configuration: expected a new one"
            ),
            Self::InUse {
                kind,
                name,
                referenced_by,
            } => write!(
                f,
                "{kind} {name:?} is still used by {referenced_by}: remove that first"
            ),
            Self::OutOfRange {
                field,
                value,
                expected,
            } => write!(f, "{field} is {value}: expected {expected}"),
            Self::NoEffect => f.write_str("the change has no effect: expected a new value"),
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
