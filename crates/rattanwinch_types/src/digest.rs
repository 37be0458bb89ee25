use std::fmt;

use sha2::Digest as _;
use sha2::Sha256;

/// A SHA-256 digest, used to compare requests and answers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of a byte string.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Computes the digest of several fields.
    ///
    /// Each field is preceded by its length, so that field boundaries are unambiguous.
    #[must_use]
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        Self(hasher.finalize().into())
    }

    /// Formats the digest as 64 lower-case hexadecimal characters.
    #[must_use]
    pub fn to_hex(self) -> String {
        use fmt::Write as _;
        self.0
            .iter()
            .fold(String::with_capacity(64), |mut text, byte| {
                let _ = write!(text, "{byte:02x}");
                text
            })
    }

    /// Parses 64 hexadecimal characters; `None` for any other text.
    #[must_use]
    pub fn parse_hex(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.to_hex()[..16])
    }
}
