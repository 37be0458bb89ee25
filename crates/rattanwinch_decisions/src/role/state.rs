use std::time::Duration;

use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Incarnation;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use super::Peers;
use super::rank_entries;

/// The delay between the takeovers of one rank and the next, above the time that the first one
/// needs to write its key and to be seen.
pub const RANK_DELAY: Duration = Duration::from_millis(300);

/// A decider that isn't known for this long counts as dead: the time in which its registration
/// or its first ping arrives.
const UNKNOWN_FOR: Duration = Duration::from_millis(1500);

rattanwinch_types::value! {
    /// The decider key of a zone, as last read.
    pub struct DeciderKey {
        /// The entry that decides.
        pub entry: EntryName,
        /// Its life; another life of the same entry isn't the decider.
        pub incarnation: Incarnation,
        /// The revision of the key, which is the epoch.
        pub epoch: Epoch,
    }
}

rattanwinch_types::value! {
    /// What an entry knows of the store and of itself when it looks at its role.
    pub struct RoleView {
        /// The decider key; `None` if there is none.
        pub decider: Option<DeciderKey>,
        /// Whether the last control read is fresh.
        pub fresh: bool,
        /// Whether the store has an older state than a process knows of.
        pub regressed: bool,
        /// Whether this entry drains.
        pub draining: bool,
    }
}

impl RoleView {
    /// Whether the entry may take a zone over: its view has to be true and it has to stay.
    #[must_use]
    pub const fn may_take_over(&self) -> bool {
        self.fresh && !self.regressed && !self.draining
    }
}

/// Another entry decides the zone, or none does.
#[derive(Clone, Debug)]
pub struct Following {
    /// Since when the zone is without a decider, as far as this entry knows.
    vacant_since: Option<Timestamp>,
}

/// This entry has written the decider key and asks the agents for their members.
#[derive(Clone, Debug)]
pub struct Adopting {
    epoch: Epoch,
}

/// This entry decides the zone.
#[derive(Clone, Debug)]
pub struct Deciding {
    epoch: Epoch,
}

/// An entry's part in an availability zone; the type parameter says which.
#[derive(Clone, Debug)]
pub struct Role<S> {
    zone: ZoneName,
    own: EntryName,
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
            own: self.own,
            incarnation: self.incarnation,
            stage,
        }
    }

    fn is_own(&self, key: &DeciderKey) -> bool {
        key.entry == self.own && key.incarnation == self.incarnation
    }

    /// Whether another entry has taken over from `epoch`, by the store or by its own word.
    fn is_superseded(&self, epoch: Epoch, view: &RoleView, peers: &Peers) -> bool {
        let replaced = view
            .decider
            .as_ref()
            .is_some_and(|key| key.epoch > epoch && !self.is_own(key));
        replaced || peers.highest_epoch(&self.zone) > Some(epoch)
    }
}

impl Role<Following> {
    /// The role of an entry that has just started.
    #[must_use]
    pub const fn new(zone: ZoneName, own: EntryName, incarnation: Incarnation) -> Self {
        let stage = Following { vacant_since: None };
        Self {
            zone,
            own,
            incarnation,
            stage,
        }
    }

    /// Whether it is this entry's turn to take the zone over; if so, the revision of the decider
    /// key that it has to replace, or `None` in place of it if there is no key.
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
        let gone = view.decider.as_ref().filter(|key| !self.is_own(key));
        let others = peers
            .candidates(now)
            .filter(|entry| gone.is_none_or(|key| key.entry != **entry));
        let mut entries: Vec<_> = others.cloned().collect();
        entries.push(self.own.clone());
        let ranked = rank_entries(&self.zone, entries);
        let rank = ranked.iter().position(|entry| *entry == self.own)?;
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        let key = view.decider.as_ref().map(|key| Revision(key.epoch.0));
        (now >= since + delay).then_some(key)
    }

    /// Since when the zone is without a decider.
    fn vacant_since(&self, view: &RoleView, peers: &Peers, now: Timestamp) -> Option<Timestamp> {
        let known = self.stage.vacant_since.unwrap_or(now);
        let Some(key) = &view.decider else {
            return Some(known);
        };
        // The key names this entry, but it doesn't decide: an earlier life of it wrote the key,
        // or its own role was lost.
        if key.entry == self.own || peers.has_handed_over(&key.entry, &self.zone) {
            return Some(known);
        }
        match peers.suspected_since(&key.entry, key.incarnation, now) {
            Some(since) => Some(self.stage.vacant_since.unwrap_or(since)),
            // An entry that has just started may decide before its registration is read here.
            None if !peers.knows(&key.entry) => {
                let since = self.stage.vacant_since;
                Some(since.unwrap_or(now + UNKNOWN_FOR))
            }
            None => None,
        }
    }

    /// The entry has written the decider key, at `epoch`.
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

    /// The records are read, so that the entry may decide.
    #[must_use]
    pub fn decide(self) -> Role<Deciding> {
        let epoch = self.stage.epoch;
        self.with_stage(Deciding { epoch })
    }

    /// The takeover failed or another entry has taken over.
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

    /// Whether the entry has to give the role up: another one has taken over.
    #[must_use]
    pub fn is_deposed(&self, view: &RoleView, peers: &Peers) -> bool {
        self.is_superseded(self.stage.epoch, view, peers)
    }

    /// The entry gives the role up, or has lost it.
    #[must_use]
    pub fn follow(self) -> Role<Following> {
        self.with_stage(Following { vacant_since: None })
    }
}
