use std::fmt;
use std::sync::Arc;

/// The maximum length of a name in bytes; names are used in store keys and metric labels.
pub const MAX_NAME_BYTES: usize = 128;

/// A name that is empty, too long, or has a character outside `A-Z a-z 0-9 . _ -`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidName {
    /// The kind of name, such as `organisation`.
    pub kind: &'static str,
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for InvalidName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid {} {:?}: expected 1 to {MAX_NAME_BYTES} of the characters A-Z a-z 0-9 . _ -",
            self.kind, self.text
        )
    }
}

impl std::error::Error for InvalidName {}

/// Returns true for a valid name. A slash is excluded since it would split a store key.
fn is_valid(text: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a valid text.
            ///
            /// # Errors
            ///
            /// [`InvalidName`] if the text is empty, longer than [`MAX_NAME_BYTES`] or has a
            /// character outside `A-Z a-z 0-9 . _ -`.
            pub fn new(text: impl AsRef<str>) -> Result<Self, InvalidName> {
                let text = text.as_ref();
                if is_valid(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    Err(InvalidName { kind: $kind, text: text.to_owned() })
                }
            }

            /// Creates a name that another system has chosen; any text is a name there.
            ///
            /// Store keys and metric labels need a smaller alphabet, so such a name has to be
            /// encoded to become part of one.
            #[must_use]
            pub fn from_text(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = InvalidName;

            fn from_str(text: &str) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(text: String) -> Result<Self, InvalidName> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// An organisation, which owns requests, jobs and guarantees.
    Organisation,
    "organisation"
);
name!(
    /// The caller's id of a request or job, unique within its organisation.
    RequestId,
    "request id"
);
name!(
    /// A target: a VM with an executor, which is also a worker with accelerators.
    TargetName,
    "target"
);
name!(
    /// An availability zone.
    ZoneName,
    "availability zone"
);
name!(
    /// A rack of workers within an availability zone.
    RackName,
    "rack"
);
name!(
    /// An entry process.
    EntryName,
    "entry"
);
name!(
    /// The id of an operator's exception, unique in the configuration.
    ExceptionId,
    "exception id"
);
name!(
    /// The id of a configuration change, chosen by the client that makes it.
    ChangeId,
    "change id"
);
