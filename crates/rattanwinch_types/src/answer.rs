use std::sync::Arc;

use crate::Digest;

/// An executor's answer to a request or a task, verified to be complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    text: Arc<str>,
    digest: Digest,
}

impl Answer {
    /// Creates an answer from a complete text and computes its digest.
    #[must_use]
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        let digest = Digest::of(text.as_bytes());
        Self { text, digest }
    }

    /// Creates an answer from a received text; `None` if the text does not match the digest.
    #[must_use]
    pub fn verified(text: impl Into<Arc<str>>, digest: Digest) -> Option<Self> {
        let answer = Self::new(text);
        (answer.digest == digest).then_some(answer)
    }

    /// The answer text.
    #[must_use]
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The digest of the text.
    #[must_use]
    pub const fn digest(&self) -> Digest {
        self.digest
    }
}
