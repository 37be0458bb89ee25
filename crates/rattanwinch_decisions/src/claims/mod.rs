//! Life cycle of a claim, which ensures that a non-idempotent plain request runs at most once.
//!
//! The claim of an attempt is written to the store before the attempt is sent to its target. An
//! entry that finds a claim queries that target about the attempt. A target that doesn't know the
//! attempt records that it will never run, and only then is another attempt claimed.

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
