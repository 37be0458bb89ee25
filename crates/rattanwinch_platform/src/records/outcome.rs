use std::sync::Arc;

use rattanwinch_types::Answer;
use rattanwinch_types::Digest;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;

use super::InvalidRecord;
use super::Result;

rattanwinch_types::value! { wire
    /// The stored form of an [`Answer`], with a digest to detect truncation.
    pub struct StoredAnswer {
        /// The text.
        pub text: String,
        /// The digest of the text, in hexadecimal.
        pub digest: String,
    }
}

impl From<&Answer> for StoredAnswer {
    fn from(answer: &Answer) -> Self {
        Self {
            text: answer.text().as_ref().to_owned(),
            digest: answer.digest().to_hex(),
        }
    }
}

impl TryFrom<StoredAnswer> for Answer {
    type Error = InvalidRecord;

    fn try_from(stored: StoredAnswer) -> Result<Self> {
        let invalid = || InvalidRecord::new("digest", "the digest of the text");
        let digest = Digest::parse_hex(&stored.digest).ok_or_else(invalid)?;
        Self::verified(stored.text, digest).ok_or_else(invalid)
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a [`RequestError`].
    pub struct StoredError {
        /// The name of the verdict.
        pub verdict: String,
        /// The name of the error kind.
        pub kind: String,
        /// The error message.
        pub message: String,
    }
}

impl From<&RequestError> for StoredError {
    fn from(error: &RequestError) -> Self {
        Self {
            verdict: error.verdict.as_str().to_owned(),
            kind: error.kind.as_str().to_owned(),
            message: error.message.to_string(),
        }
    }
}

impl TryFrom<StoredError> for RequestError {
    type Error = InvalidRecord;

    fn try_from(stored: StoredError) -> Result<Self> {
        let verdict = Verdict::parse(&stored.verdict)
            .ok_or_else(|| InvalidRecord::new("verdict", "not_run, may_have_run or ran"))?;
        let kind = ErrorKind::parse(&stored.kind)
            .ok_or_else(|| InvalidRecord::new("kind", "a known class of error"))?;
        let message = Arc::from(stored.message);
        Ok(Self {
            verdict,
            kind,
            message,
        })
    }
}

rattanwinch_types::value! { wire
    /// The stored form of a job's outcome.
    #[serde(rename_all = "snake_case")]
    pub enum StoredOutcome {
        /// The job succeeded; contains the answers of all tasks.
        Answered(Vec<StoredAnswer>),
        /// The job failed or was rejected.
        Refused(StoredError),
    }
}

impl From<&std::result::Result<Vec<Answer>, RequestError>> for StoredOutcome {
    fn from(outcome: &std::result::Result<Vec<Answer>, RequestError>) -> Self {
        match outcome {
            Ok(answers) => Self::Answered(answers.iter().map(StoredAnswer::from).collect()),
            Err(error) => Self::Refused(error.into()),
        }
    }
}

impl TryFrom<StoredOutcome> for std::result::Result<Vec<Answer>, RequestError> {
    type Error = InvalidRecord;

    fn try_from(stored: StoredOutcome) -> Result<Self> {
        Ok(match stored {
            StoredOutcome::Answered(answers) => {
                let answers = answers.into_iter().map(Answer::try_from);
                Ok(answers.collect::<Result<_>>()?)
            }
            StoredOutcome::Refused(error) => Err(error.try_into()?),
        })
    }
}
