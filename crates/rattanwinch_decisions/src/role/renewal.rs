use std::time::Duration;

use rattanwinch_types::Timestamp;

/// How long a decider may renew task leases after it sent the last message that the store or
/// another entry answered. The task lease of 30 s outlasts shorter silences.
pub const RENEWAL_CONFIRMATION_TTL: Duration = Duration::from_secs(3);

/// How long after a takeover the replaced decider may still renew leases: the 3 s of
/// [`RENEWAL_CONFIRMATION_TTL`] plus 1.5 s until the other entries have read of the
/// takeover in the store, rounded up.
pub const MAX_RENEWAL_AFTER_TAKEOVER: Duration = Duration::from_secs(5);

/// Whether a decider may renew task leases at `now`.
///
/// `confirmed_at` is when the decider sent the last control read or ping whose response named no
/// higher epoch. Without such a response it may have been replaced, unless it is `alone`, the only
/// registered entry.
#[must_use]
pub fn may_renew(confirmed_at: Option<Timestamp>, alone: bool, now: Timestamp) -> bool {
    alone || confirmed_at.is_some_and(|at| now.since(at) < RENEWAL_CONFIRMATION_TTL)
}
