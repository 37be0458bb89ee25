use std::time::Duration;

use rattanwinch_types::Timestamp;

/// How long leases are renewed on a target that doesn't answer. By the users' requirements an
/// executor leaves its calls unanswered for up to 6.5 s, which the renewed lease outlasts.
const UNANSWERED_RENEWAL_TIME: Duration = Duration::from_millis(2500);

/// The leases that were granted to one instance of a target.
///
/// Times are those of the VM's steady clock, which stops with the target's clock while the VM is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct LeaseGrants {
    answered_at: Timestamp,
    ended_at: Timestamp,
}

impl LeaseGrants {
    /// Begins with a target whose former agent may have granted a lease of `longest` just before.
    #[must_use]
    pub fn new(longest: Duration, now: Timestamp) -> Self {
        let mut grants = Self {
            answered_at: now,
            ended_at: now,
        };
        grants.record_grant(longest, now);
        grants
    }

    /// Records that a lease of `length` may be granted by a request sent from now on. The request
    /// names the end of the lease, so a delay of the request doesn't prolong it.
    pub fn record_grant(&mut self, length: Duration, now: Timestamp) {
        // The target's clock may be 2% slow.
        self.ended_at = self.ended_at.max(now + length * 50 / 49);
    }

    /// Records an answer of the target.
    pub const fn record_answer(&mut self, now: Timestamp) {
        self.answered_at = now;
    }

    /// Returns true if leases may be renewed: the target has answered recently.
    #[must_use]
    pub fn may_renew(&self, now: Timestamp) -> bool {
        now.since(self.answered_at) < UNANSWERED_RENEWAL_TIME
    }

    /// Returns true if all leases have certainly ended.
    #[must_use]
    pub fn have_ended(&self, now: Timestamp) -> bool {
        now > self.ended_at
    }
}
