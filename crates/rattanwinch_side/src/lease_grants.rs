use std::time::Duration;

use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

/// How long leases are renewed on a target that doesn't answer. By the users' requirements an
/// executor leaves its calls unanswered for up to 6.5 s, which the renewed lease outlasts.
const UNANSWERED_RENEWAL_TIME: Duration = Duration::from_millis(2500);

/// A lease in a request that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    ends_at: Timestamp,
}

/// The leases that were granted to one instance of a target.
///
/// Times are those of the VM's steady clock, which stops with the target's clock while the VM is
/// suspended.
#[derive(Clone, Debug)]
pub struct LeaseGrants {
    answered_at: Timestamp,
    /// The end of the leases in requests that may have been received.
    ends_at: Timestamp,
    /// Leases in requests that may still turn out never to have been sent.
    unsettled: SmallVec<[Grant; 4]>,
}

impl LeaseGrants {
    /// Begins with a target whose former agent may have granted a lease of `longest` just before.
    #[must_use]
    pub fn new(longest: Duration, now: Timestamp) -> Self {
        let mut grants = Self {
            answered_at: now,
            ends_at: now,
            unsettled: SmallVec::new(),
        };
        grants.begin(longest, now);
        grants
    }

    /// Records a lease of `length` in a request that is sent from now on. The request names the end
    /// of the lease, so a delay of the request doesn't prolong it.
    pub fn begin(&mut self, length: Duration, now: Timestamp) -> Grant {
        // The target's clock may be 2% slow.
        let grant = Grant {
            ends_at: now + length * 50 / 49,
        };
        self.unsettled.retain(|earlier| earlier.ends_at > now);
        self.unsettled.push(grant);
        grant
    }

    /// Records whether the request with a lease may have been received. A lease that is never
    /// settled counts as granted.
    pub fn settle(&mut self, grant: Grant, may_be_received: bool) {
        if let Some(index) = self.unsettled.iter().position(|other| *other == grant) {
            self.unsettled.swap_remove(index);
        }
        if may_be_received {
            self.ends_at = self.ends_at.max(grant.ends_at);
        }
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

    /// Returns when all leases have certainly ended.
    #[must_use]
    pub fn end(&self) -> Timestamp {
        let unsettled = self.unsettled.iter().map(|grant| grant.ends_at);
        unsettled.fold(self.ends_at, Timestamp::max)
    }
}
