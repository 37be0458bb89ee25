use rattanwinch_types::ClaimOutcome;
use rattanwinch_types::ClaimRecord;
use rattanwinch_types::Revision;

use super::Claim;
use super::Claimed;
use super::Dispatched;
use super::Unclaimed;

rattanwinch_types::value! {
    /// What the store answered to the write of a claim.
    pub enum WriteResponse {
        /// The claim was written at the revision.
        Applied(Revision),
        /// There is another claim, last written at the revision.
        Found(ClaimRecord, Revision),
        /// The claim that this one was to replace is gone.
        Missing,
        /// The key is in use by something that isn't a claim.
        InUse,
        /// Nothing is known; the write may still take effect.
        Unknown,
    }
}

rattanwinch_types::value! {
    /// What a target answered when it was asked about an attempt.
    pub enum AttemptQueryResponse {
        /// The attempt ended.
        Ended(ClaimOutcome),
        /// The target had never heard of it and has recorded that it will never run.
        NeverRuns,
        /// The life of the target's agent that the attempt was for has ended.
        AgentReplaced,
        /// The target couldn't be asked before the deadline.
        Unreachable,
    }
}

/// What a claim needs next.
#[derive(Debug)]
pub enum ClaimStep {
    /// A target has to be picked for the next attempt.
    PickTarget(Claim<Unclaimed>),
    /// The attempt has to be sent to its target.
    Dispatch(Claim<Claimed>),
    /// The target has to be asked about the attempt.
    QueryTarget(Claim<Dispatched>),
    /// The request has ended for this caller.
    Done {
        /// What the caller gets.
        outcome: ClaimOutcome,
        /// What should be recorded in the store, over which revision.
        record: Option<(ClaimRecord, Revision)>,
    },
}
