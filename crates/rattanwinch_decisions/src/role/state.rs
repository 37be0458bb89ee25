use std::time::Duration;

use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use super::Peers;
use super::rank_entries;

/// Delay between the takeover attempts of consecutive ranks, longer than an entry needs to write
/// its key and the next rank needs to observe that.
pub const TAKEOVER_RANK_DELAY: Duration = Duration::from_millis(300);

/// An unknown decider counts as dead after this time, in which its registration or its first ping
/// arrives.
const UNKNOWN_DECIDER_TIMEOUT: Duration = Duration::from_millis(1500);

rattanwinch_types::value! {
    /// Decider key of a zone, as last read.
    pub struct DeciderKey {
        /// Entry that decides the zone.
        pub entry: EntryName,
        /// Incarnation of the entry; another incarnation isn't the decider.
        pub incarnation: Incarnation,
        /// Revision of the key, which is the epoch.
        pub epoch: Epoch,
    }
}

rattanwinch_types::value! {
    /// View of the store and of the entry itself for a check of its role.
    pub struct RoleView {
        /// The decider key; `None` if there is none.
        pub decider: Option<DeciderKey>,
        /// Whether the last control read is fresh.
        pub fresh: bool,
        /// Whether the store's state is older than one that a process has seen.
        pub regressed: bool,
        /// Whether this entry drains.
        pub draining: bool,
    }
}

impl RoleView {
    /// Whether the entry may take over a zone: its view is current and it isn't draining.
    #[must_use]
    pub const fn may_take_over(&self) -> bool {
        self.fresh && !self.regressed && !self.draining
    }
}

/// State in which another entry decides the zone, or none does.
#[derive(Clone, Debug)]
pub struct Following {
    /// Since when the zone has no decider, as far as this entry knows.
    vacant_since: Option<Timestamp>,
}

/// State in which this entry has written the decider key and reads the members from the agents.
#[derive(Clone, Debug)]
pub struct Adopting {
    epoch: Epoch,
}

/// State in which this entry decides the zone.
#[derive(Clone, Debug)]
pub struct Deciding {
    epoch: Epoch,
}

/// Role of an entry in an availability zone; the type parameter is its state.
#[derive(Clone, Debug)]
pub struct Role<S> {
    zone: ZoneName,
    own_name: EntryName,
    incarnation: Incarnation,
    stage: S,
}

impl<S> Role<S> {
    /// The availability zone.
    #[must_use]
    pub const fn zone(&self) -> &ZoneName {
        &self.zone
    }

    fn with_stage<T>(self, stage: T) -> Role<T> {
        Role {
            zone: self.zone,
            own_name: self.own_name,
            incarnation: self.incarnation,
            stage,
        }
    }

    fn is_own(&self, key: &DeciderKey) -> bool {
        key.entry == self.own_name && key.incarnation == self.incarnation
    }

    /// Whether another entry has taken over from `epoch`, according to the store or to its own
    /// messages.
    fn is_superseded(&self, epoch: Epoch, view: &RoleView, peers: &Peers) -> bool {
        let replaced = view
            .decider
            .as_ref()
            .is_some_and(|key| key.epoch > epoch && !self.is_own(key));
        replaced || peers.highest_epoch(&self.zone) > Some(epoch)
    }
}

impl Role<Following> {
    /// Creates the role of an entry that has just started.
    #[must_use]
    pub const fn new(zone: ZoneName, own_name: EntryName, incarnation: Incarnation) -> Self {
        let stage = Following { vacant_since: None };
        Self {
            zone,
            own_name,
            incarnation,
            stage,
        }
    }

    /// Checks whether this entry has to take over the zone now. Returns the revision of the decider
    /// key that it has to replace, or `Some(None)` if there is no key.
    pub fn check_takeover(
        &mut self,
        view: &RoleView,
        peers: &Peers,
        now: Timestamp,
    ) -> Option<Option<Revision>> {
        self.stage.vacant_since = self.vacant_since(view, peers, now);
        let since = self.stage.vacant_since?;
        if !view.may_take_over() {
            return None;
        }
        let other_decider = view.decider.as_ref().filter(|key| !self.is_own(key));
        let others = peers
            .takeover_candidates(now)
            .filter(|entry| other_decider.is_none_or(|key| key.entry != **entry));
        let mut entries: Vec<_> = others.cloned().collect();
        entries.push(self.own_name.clone());
        let ranked = rank_entries(&self.zone, entries);
        let rank = ranked.iter().position(|entry| *entry == self.own_name)?;
        let delay = TAKEOVER_RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        let key = view.decider.as_ref().map(|key| Revision(key.epoch.0));
        (now >= since + delay).then_some(key)
    }

    /// Returns since when the zone has no decider.
    fn vacant_since(&self, view: &RoleView, peers: &Peers, now: Timestamp) -> Option<Timestamp> {
        let known = self.stage.vacant_since.unwrap_or(now);
        let Some(key) = &view.decider else {
            return Some(known);
        };
        // The key names this entry although it isn't deciding: an earlier incarnation wrote the
        // key, or this one was deposed.
        if key.entry == self.own_name || peers.has_handed_over(&key.entry, &self.zone) {
            return Some(known);
        }
        match peers.suspected_since(&key.entry, key.incarnation, now) {
            Some(since) => Some(self.stage.vacant_since.unwrap_or(since)),
            // An entry that has just started may decide before its registration is read here.
            None if !peers.is_known(&key.entry) => {
                let since = self.stage.vacant_since;
                Some(since.unwrap_or(now + UNKNOWN_DECIDER_TIMEOUT))
            }
            None => None,
        }
    }

    /// Continues after the entry has written the decider key, at `epoch`.
    #[must_use]
    pub fn adopt(self, epoch: Epoch) -> Role<Adopting> {
        self.with_stage(Adopting { epoch })
    }
}

impl Role<Adopting> {
    /// The epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.stage.epoch
    }

    /// Whether another entry has taken over in the meantime.
    #[must_use]
    pub fn is_deposed(&self, view: &RoleView, peers: &Peers) -> bool {
        self.is_superseded(self.stage.epoch, view, peers)
    }

    /// Continues as the decider after the records have been read.
    #[must_use]
    pub fn decide(self) -> Role<Deciding> {
        let epoch = self.stage.epoch;
        self.with_stage(Deciding { epoch })
    }

    /// Returns to following after a failed takeover or a takeover by another entry.
    #[must_use]
    pub fn follow(self) -> Role<Following> {
        self.with_stage(Following { vacant_since: None })
    }
}

impl Role<Deciding> {
    /// The epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.stage.epoch
    }

    /// Whether another entry has taken over, so that this one has to stop deciding.
    #[must_use]
    pub fn is_deposed(&self, view: &RoleView, peers: &Peers) -> bool {
        self.is_superseded(self.stage.epoch, view, peers)
    }

    /// Returns to following, voluntarily or after a takeover by another entry.
    #[must_use]
    pub fn follow(self) -> Role<Following> {
        self.with_stage(Following { vacant_since: None })
    }
}
