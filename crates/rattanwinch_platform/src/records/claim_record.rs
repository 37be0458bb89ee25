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
        /// SHA-256 of the request, in hexadecimal.
        pub request_sha256: String,
        /// The number of the latest attempt, from 1.
        pub attempt: u32,
        /// The target of that attempt.
        pub target: String,
        /// The incarnation of the target's agent to which the attempt was sent.
        pub incarnation: u64,
        /// The outcome of the attempt, once it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub outcome: Option<WireClaimOutcome>,
    }
}

rattanwinch_types::value! { wire
    /// The outcome of an attempt.
    pub enum WireClaimOutcome {
        /// The attempt ran and returned this answer.
        Answered(String),
        /// The attempt failed.
        Failed {
            /// Whether the request may have run.
            verdict: String,
            /// The error kind.
            kind: String,
            /// The error message.
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
    /// Decodes an outcome; an unknown verdict counts as "may have run".
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
    /// Decodes a stored claim.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if the bytes are not a valid claim.
    pub fn parse(bytes: &[u8]) -> Result<ClaimRecord, InvalidRecord> {
        let wire: Self = serde_json::from_slice(bytes)
            .map_err(|error| InvalidRecord::new("record", &error.to_string()))?;
        ClaimRecord::try_from(wire)
    }

    /// Encodes the claim for storage.
    ///
    /// # Panics
    ///
    /// Never: every field of the record is representable in JSON.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim is representable in JSON")
    }
}
