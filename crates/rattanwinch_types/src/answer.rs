use std::sync::Arc;

use crate::Digest;

/// What an executor answered to a request or a task, known to be whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    text: Arc<str>,
    digest: Digest,
}

impl Answer {
    /// Takes a text that is known to be whole and computes its digest.
    #[must_use]
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        let text = text.into();
        let digest = Digest::of(text.as_bytes());
        Self { text, digest }
    }

    /// Takes a text that travelled, and its digest; `None` if the text was cut or changed.
    #[must_use]
    pub fn verified(text: impl Into<Arc<str>>, digest: Digest) -> Option<Self> {
        let answer = Self::new(text);
        (answer.digest == digest).then_some(answer)
    }

    /// The text.
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
