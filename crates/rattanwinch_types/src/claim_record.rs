use crate::Answer;
use crate::Digest;
use crate::Incarnation;
use crate::RequestError;
use crate::TargetName;

/// The outcome of an attempt.
pub type ClaimOutcome = Result<Answer, RequestError>;

crate::value! {
    /// The durable record of a non-idempotent request.
    pub struct ClaimRecord {
        /// The digest of the request.
        pub digest: Digest,
        /// The number of the latest attempt, from 1.
        pub attempt: u32,
        /// The target of the latest attempt.
        pub target: TargetName,
        /// The incarnation of the target's agent that the attempt is sent to.
        pub incarnation: Incarnation,
        /// The outcome of the attempt; `None` until it is recorded.
        pub outcome: Option<ClaimOutcome>,
    }
}
