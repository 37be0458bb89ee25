use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::Verdict;

use super::InvalidMessage;

rattanwinch_types::value! { wire
    /// A [`RequestError`] as it travels.
    pub struct WireRequestError {
        /// `not_run`, `may_have_run` or `ran`.
        pub verdict: String,
        /// The class of the error.
        pub kind: String,
        /// The text for people.
        pub message: String,
    }
}

impl From<RequestError> for WireRequestError {
    fn from(error: RequestError) -> Self {
        Self {
            verdict: error.verdict.as_str().to_owned(),
            kind: error.kind.as_str().to_owned(),
            message: error.message.to_string(),
        }
    }
}

impl TryFrom<WireRequestError> for RequestError {
    type Error = InvalidMessage;

    fn try_from(wire: WireRequestError) -> Result<Self, InvalidMessage> {
        let verdict = Verdict::parse(&wire.verdict)
            .ok_or_else(|| InvalidMessage::new("verdict", "not_run, may_have_run or ran"))?;
        let kind = ErrorKind::parse(&wire.kind)
            .ok_or_else(|| InvalidMessage::new("kind", "a known class of error"))?;
        Ok(Self::new(verdict, kind, wire.message))
    }
}
