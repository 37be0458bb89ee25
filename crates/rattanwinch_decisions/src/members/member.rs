use std::time::Duration;

use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Digest;
use rattanwinch_types::Epoch;
use rattanwinch_types::MemberKey;

/// The longest time that accelerators are held without a release (design 4.2).
pub const HOLD_LIMIT: Duration = Duration::from_secs(5);

/// How long a running task is kept without a decider's word; it outlasts a decider's takeover and
/// the replacement of an agent (design 4.2).
pub const TASK_LEASE: Duration = Duration::from_secs(30);

/// One task of a gang at this agent; the type parameter says where it stands in its life.
///
/// `Member<Held>` becomes `Member<Running>` by a release, and both become `Member<Ended>`. There
/// is no way back, so an ended member can't run again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<S> {
    /// What stays the same for life.
    pub(super) identity: Identity,
    /// What belongs to the present state.
    pub(super) state: S,
}

rattanwinch_types::value! {
    /// What stays the same through a member's life.
    pub(super) struct Identity {
        /// The member.
        pub key: MemberKey,
        /// The epoch of the decider that held it.
        pub epoch: Epoch,
        /// Its accelerators.
        pub accelerators: AcceleratorSet,
        /// The digest of the payload; `None` for a task that was adopted from the executor.
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

    /// The same member in another state.
    pub(super) fn with_state<T>(self, state: T) -> Member<T> {
        Member {
            identity: self.identity,
            state,
        }
    }
}
