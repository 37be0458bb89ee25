use crate::Answer;
use crate::Digest;
use crate::Incarnation;
use crate::RequestError;
use crate::TargetName;

/// How an attempt ended.
pub type ClaimOutcome = Result<Answer, RequestError>;

crate::value! {
    /// What the store keeps of a non-idempotent request.
    pub struct ClaimRecord {
        /// The digest of what was asked.
        pub digest: Digest,
        /// The number of the latest attempt, from 1.
        pub attempt: u32,
        /// The target of that attempt.
        pub target: TargetName,
        /// The life of the target's agent that the attempt is for.
        pub incarnation: Incarnation,
        /// How the attempt ended, once that has been recorded.
        pub outcome: Option<ClaimOutcome>,
    }
}
