use rattanwinch_types::Answer;
use rattanwinch_types::ClaimOutcome;
use rattanwinch_types::ClaimRecord;
use rattanwinch_types::Digest;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Incarnation;
use rattanwinch_types::RequestError;
use rattanwinch_types::TargetName;
use rattanwinch_types::Verdict;

use super::InvalidRecord;

rattanwinch_types::value! { wire
    /// The claim of a non-idempotent request, under `ids/<organisation>/<id>`.
    #[serde(deny_unknown_fields)]
    pub struct WireClaimRecord {
        /// SHA-256 of what was asked, in hexadecimal.
        pub request_sha256: String,
        /// The number of the latest attempt, from 1.
        pub attempt: u32,
        /// The target of that attempt.
        pub target: String,
        /// The life of the target's agent that the attempt is for.
        pub incarnation: u64,
        /// How it ended, once that is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub outcome: Option<WireClaimOutcome>,
    }
}

rattanwinch_types::value! { wire
    /// How an attempt ended.
    pub enum WireClaimOutcome {
        /// It ran; the text is the answer.
        Answered(String),
        /// It ended with an error.
        Failed {
            /// Whether it may have run.
            verdict: String,
            /// The class of the error.
            kind: String,
            /// The text for people.
            message: String,
        },
    }
}

impl From<ClaimOutcome> for WireClaimOutcome {
    fn from(outcome: ClaimOutcome) -> Self {
        match outcome {
            Ok(answer) => Self::Answered(answer.text().as_ref().to_owned()),
            Err(error) => Self::Failed {
                verdict: error.verdict.as_str().to_owned(),
                kind: error.kind.as_str().to_owned(),
                message: error.message.to_string(),
            },
        }
    }
}

impl From<WireClaimOutcome> for ClaimOutcome {
    /// Reads an outcome; an unknown verdict counts as the one that promises least.
    fn from(wire: WireClaimOutcome) -> Self {
        match wire {
            WireClaimOutcome::Answered(text) => Ok(Answer::new(text)),
            WireClaimOutcome::Failed {
                verdict,
                kind,
                message,
            } => Err(RequestError::new(
                Verdict::parse(&verdict).unwrap_or(Verdict::MayHaveRun),
                ErrorKind::parse(&kind).unwrap_or(ErrorKind::Failed),
                message,
            )),
        }
    }
}

impl From<ClaimRecord> for WireClaimRecord {
    fn from(record: ClaimRecord) -> Self {
        Self {
            request_sha256: record.digest.to_hex(),
            attempt: record.attempt,
            target: record.target.into(),
            incarnation: record.incarnation.0,
            outcome: record.outcome.map(WireClaimOutcome::from),
        }
    }
}

impl TryFrom<WireClaimRecord> for ClaimRecord {
    type Error = InvalidRecord;

    fn try_from(wire: WireClaimRecord) -> Result<Self, InvalidRecord> {
        let digest = Digest::parse_hex(&wire.request_sha256);
        Ok(Self {
            digest: digest.ok_or_else(|| InvalidRecord::new("request_sha256", "64 hex digits"))?,
            attempt: wire.attempt,
            target: TargetName::new(wire.target)
                .map_err(|_| InvalidRecord::new("target", "a target name"))?,
            incarnation: Incarnation(wire.incarnation),
            outcome: wire.outcome.map(ClaimOutcome::from),
        })
    }
}

impl WireClaimRecord {
    /// Reads the stored bytes.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if they aren't a claim.
    pub fn parse(bytes: &[u8]) -> Result<ClaimRecord, InvalidRecord> {
        let wire: Self = serde_json::from_slice(bytes)
            .map_err(|error| InvalidRecord::new("record", &error.to_string()))?;
        ClaimRecord::try_from(wire)
    }

    /// The bytes to store.
    ///
    /// # Panics
    ///
    /// Never: the record has nothing that JSON can't hold.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim is representable in JSON")
    }
}
