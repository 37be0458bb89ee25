use std::time::Duration;

use rattanwinch_types::Timestamp;

/// How long a decider renews task leases after it sent the last message that was answered by the
/// store or by another entry. The task lease of 30 s outlasts shorter silences.
pub const RENEWS_UNCONFIRMED_FOR: Duration = Duration::from_secs(3);

/// How long after a takeover the replaced decider may still renew: its 3 s, and 1.5 s for which
/// the other entries may not have read of the takeover, rounded up.
pub const REPLACED_RENEWS_FOR: Duration = Duration::from_secs(5);

/// Whether a decider may renew task leases at `now`.
///
/// `confirmed_at` is when it sent the last control read or ping whose response named no higher
/// epoch. A decider that has no such response may have been replaced, unless it is `alone`, the
/// only registered entry.
#[must_use]
pub fn may_renew(confirmed_at: Option<Timestamp>, alone: bool, now: Timestamp) -> bool {
    alone || confirmed_at.is_some_and(|at| now.since(at) < RENEWS_UNCONFIRMED_FOR)
}
