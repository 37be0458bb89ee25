use rattanwinch_types::ClaimOutcome;
use rattanwinch_types::ClaimRecord;
use rattanwinch_types::Revision;

use super::Claim;
use super::Claimed;
use super::Dispatched;
use super::Unclaimed;

rattanwinch_types::value! {
    /// Store response to the write of a claim.
    pub enum WriteResponse {
        /// The claim was written at the revision.
        Applied(Revision),
        /// Another claim exists, last written at the revision.
        Found(ClaimRecord, Revision),
        /// The claim to be replaced no longer exists.
        Missing,
        /// The key is used by a record that isn't a claim.
        InUse,
        /// The outcome is unknown; the write may still take effect.
        Unknown,
    }
}

rattanwinch_types::value! {
    /// Response of a target to a query about an attempt.
    pub enum AttemptQueryResponse {
        /// The attempt ended.
        Ended(ClaimOutcome),
        /// The target didn't know the attempt and has recorded that it will never run.
        NeverRuns,
        /// The incarnation of the target's agent that the attempt was for has ended.
        AgentReplaced,
        /// The target couldn't be queried before the deadline.
        Unreachable,
    }
}

/// Next step of a claim.
#[derive(Debug)]
pub enum ClaimStep {
    /// Pick a target for the next attempt.
    PickTarget(Claim<Unclaimed>),
    /// Send the attempt to its target.
    Dispatch(Claim<Claimed>),
    /// Query the target about the attempt.
    QueryTarget(Claim<Dispatched>),
    /// The request has ended for this caller.
    Done {
        /// Outcome for the caller.
        outcome: ClaimOutcome,
        /// Record to write to the store, and the revision that it replaces.
        record: Option<(ClaimRecord, Revision)>,
    },
}
