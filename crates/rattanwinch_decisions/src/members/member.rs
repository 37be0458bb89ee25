use std::time::Duration;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Digest;
use rattanwinch_types::Epoch;
use rattanwinch_types::MemberKey;

/// Maximum time that accelerators are held without a release (design 4.2).
pub const MAX_HOLD_DURATION: Duration = Duration::from_secs(5);

/// Lease of a running task, which heartbeat responses of the decider renew; it outlasts a takeover
/// and the replacement of an agent (design 4.2).
pub const TASK_LEASE: Duration = Duration::from_secs(30);

/// A gang's task at this agent; the type parameter is its state.
///
/// A release turns `Member<Held>` into `Member<Running>`, and both end as `Member<Ended>`. No
/// transition leads back, so an ended member can't run again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<S> {
    /// Data that doesn't change with the state.
    pub(super) identity: Identity,
    /// State-specific data.
    pub(super) state: S,
}

rattanwinch_types::value! {
    /// Data of a member that is the same in all states.
    pub(super) struct Identity {
        /// The member.
        pub key: MemberKey,
        /// The epoch of the decider that held it.
        pub epoch: Epoch,
        /// Its accelerators.
        pub accelerators: AcceleratorSet,
        /// Digest of the payload; `None` for a task adopted from the executor.
        pub payload: Option<Digest>,
    }
}

impl<S> Member<S> {
    /// The member's key.
    #[must_use]
    pub const fn key(&self) -> &MemberKey {
        &self.identity.key
    }

    /// The epoch of the decider that held it.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.identity.epoch
    }

    /// Its accelerators.
    #[must_use]
    pub const fn accelerators(&self) -> AcceleratorSet {
        self.identity.accelerators
    }

    /// Returns the member in another state.
    pub(super) fn with_state<T>(self, state: T) -> Member<T> {
        Member {
            identity: self.identity,
            state,
        }
    }
}
