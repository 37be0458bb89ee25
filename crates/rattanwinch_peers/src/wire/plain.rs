use std::sync::Arc;

use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Digest;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Organisation;
use rattanwinch_types::PlainRequest;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;

use super::InvalidMessage;
use super::WireRequestError;

rattanwinch_types::value! { wire
    /// A [`RequestKey`] as it travels.
    pub struct WireRequestKey {
        /// The organisation.
        pub organisation: String,
        /// The caller's id.
        pub id: String,
    }
}

impl From<RequestKey> for WireRequestKey {
    fn from(key: RequestKey) -> Self {
        Self {
            organisation: key.organisation.into(),
            id: key.id.into(),
        }
    }
}

impl TryFrom<WireRequestKey> for RequestKey {
    type Error = InvalidMessage;

    fn try_from(wire: WireRequestKey) -> Result<Self, InvalidMessage> {
        let organisation = Organisation::new(wire.organisation)?;
        let id = RequestId::new(wire.id)?;
        Ok(Self { organisation, id })
    }
}

rattanwinch_types::value! { wire
    /// An [`AttemptKey`] as it travels.
    pub struct WireAttemptKey {
        /// The request or job.
        pub key: WireRequestKey,
        /// The number of the attempt, from 1.
        pub attempt: u32,
    }
}

impl From<AttemptKey> for WireAttemptKey {
    fn from(attempt: AttemptKey) -> Self {
        Self {
            key: attempt.key.into(),
            attempt: attempt.attempt,
        }
    }
}

impl TryFrom<WireAttemptKey> for AttemptKey {
    type Error = InvalidMessage;

    fn try_from(wire: WireAttemptKey) -> Result<Self, InvalidMessage> {
        Ok(Self {
            key: wire.key.try_into()?,
            attempt: wire.attempt,
        })
    }
}

rattanwinch_types::value! { wire
    /// One attempt at a plain request, for the agent with the given incarnation only.
    pub struct WirePlainAttempt {
        /// The request's organisation and id, and the number of the attempt.
        pub attempt: WireAttemptKey,
        /// The agent's incarnation that the attempt was claimed for.
        pub incarnation: u64,
        /// Whether running it twice does no harm.
        pub idempotent: bool,
        /// When the caller stops waiting, in milliseconds since the Unix epoch.
        pub deadline_unix_ms: u64,
        /// The text for the executor.
        pub payload: String,
    }
}

impl WirePlainAttempt {
    /// Packs an attempt at a request.
    #[must_use]
    pub fn new(req: &PlainRequest, attempt: u32, incarnation: Incarnation) -> Self {
        let attempt = AttemptKey {
            key: req.key.clone(),
            attempt,
        };
        Self {
            attempt: attempt.into(),
            incarnation: incarnation.0,
            idempotent: req.idempotent,
            deadline_unix_ms: req.deadline.as_millis(),
            payload: req.payload.as_ref().to_owned(),
        }
    }
}

impl TryFrom<WirePlainAttempt> for PlainRequest {
    type Error = InvalidMessage;

    fn try_from(wire: WirePlainAttempt) -> Result<Self, InvalidMessage> {
        Ok(Self {
            key: wire.attempt.key.try_into()?,
            idempotent: wire.idempotent,
            first_submission: false,
            deadline: Timestamp::from_millis(wire.deadline_unix_ms),
            payload: Arc::from(wire.payload),
        })
    }
}

rattanwinch_types::value! { wire
    /// An [`Answer`] as it travels, with the digest that shows whether it is whole.
    pub struct WireAnswer {
        /// The text.
        pub text: String,
        /// SHA-256 of the text, in hexadecimal.
        pub sha256: String,
    }
}

impl From<Answer> for WireAnswer {
    fn from(answer: Answer) -> Self {
        Self {
            text: answer.text().as_ref().to_owned(),
            sha256: answer.digest().to_hex(),
        }
    }
}

impl TryFrom<WireAnswer> for Answer {
    type Error = InvalidMessage;

    fn try_from(wire: WireAnswer) -> Result<Self, InvalidMessage> {
        Digest::parse_hex(&wire.sha256)
            .and_then(|digest| Self::verified(wire.text, digest))
            .ok_or_else(|| InvalidMessage::new("sha256", "the digest of the text"))
    }
}

rattanwinch_types::value! { wire
    /// What became of an attempt at a non-idempotent request.
    pub enum WireAttemptOutcome {
        /// It ran.
        Answered(WireAnswer),
        /// It ended without an answer.
        Refused(WireRequestError),
        /// The agent had never heard of it and has recorded that it will never run.
        NeverRuns,
    }
}

impl From<Result<Answer, RequestError>> for WireAttemptOutcome {
    fn from(outcome: Result<Answer, RequestError>) -> Self {
        match outcome {
            Ok(answer) => Self::Answered(answer.into()),
            Err(error) => Self::Refused(error.into()),
        }
    }
}
