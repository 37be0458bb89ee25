//! The life cycle of a claim: how a non-idempotent plain request runs at most once.
//!
//! A claim of an attempt is written to the store before the attempt is sent to its target. Whoever
//! finds a claim asks that target about that attempt; a target that doesn't know the attempt
//! records that it will never run, and only then is another attempt claimed.

mod claim;
mod claim_step;

pub use claim::Claim;
pub use claim::Claimed;
pub use claim::Dispatched;
pub use claim::Proposed;
pub use claim::Unclaimed;
pub use claim_step::AttemptQueryResponse;
pub use claim_step::ClaimStep;
pub use claim_step::WriteResponse;
