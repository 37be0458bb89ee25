//! Takeovers of an availability zone by entries that see each other through a lossy network.

use std::net::SocketAddr;
use std::time::Duration;

use arbitrary::Unstructured;
use rattanwinch_decisions::DeciderKey;
use rattanwinch_decisions::Deciding;
use rattanwinch_decisions::Following;
use rattanwinch_decisions::PEER_SUSPECT_TIMEOUT;
use rattanwinch_decisions::PING_INTERVAL;
use rattanwinch_decisions::Peers;
use rattanwinch_decisions::RANK_DELAY;
use rattanwinch_decisions::Role;
use rattanwinch_decisions::RoleView;
use rattanwinch_testing::PropertyTest;
use rattanwinch_types::EntryName;
use rattanwinch_types::Epoch;
use rattanwinch_types::Incarnation;
use rattanwinch_types::PeerState;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use rattanwinch_types::ZoneSummary;

fn zone() -> ZoneName {
    ZoneName::new("az-1").expect("valid")
}

enum AnyRole {
    Following(Role<Following>),
    Deciding(Role<Deciding>),
}

struct Entry {
    name: EntryName,
    role: Option<AnyRole>,
    peers: Peers,
    alive: bool,
    draining: bool,
    fresh: bool,
}

impl Entry {
    fn new(index: usize) -> Self {
        let name = EntryName::new(format!("entry-{index}")).expect("valid");
        let role = Role::new(zone(), name.clone(), Incarnation(1));
        Self {
            name,
            role: Some(AnyRole::Following(role)),
            peers: Peers::default(),
            alive: true,
            draining: false,
            fresh: true,
        }
    }

    fn epoch(&self) -> Option<Epoch> {
        match &self.role {
            Some(AnyRole::Deciding(role)) => Some(role.epoch()),
            _ => None,
        }
    }

    fn state(&self) -> PeerState {
        let summary = |epoch| ZoneSummary {
            zone: zone(),
            epoch,
            free_blocks: [0; 4],
            accelerators: 0,
            waiting: 0,
            guarantees: Vec::new(),
        };
        PeerState::builder()
            .entry(self.name.clone())
            .incarnation(Incarnation(1))
            .address(SocketAddr::from(([127, 0, 0, 1], 1)))
            .config_revision(Revision(1))
            .draining(self.draining)
            .zones(self.epoch().map(summary).into_iter().collect())
            .build()
    }
}

struct World {
    now: Timestamp,
    key: Option<DeciderKey>,
    revision: i64,
    entries: Vec<Entry>,
}

impl World {
    fn new(count: usize) -> Self {
        let mut entries: Vec<_> = (0..count).map(Entry::new).collect();
        let names: Vec<_> = entries.iter().map(|entry| entry.name.clone()).collect();
        let now = Timestamp::from_millis(10_000);
        for entry in &mut entries {
            let others = names.iter().filter(|name| **name != entry.name);
            let others: Vec<_> = others.cloned().collect();
            entry.peers.set_registered(&others, now);
        }
        Self {
            now,
            key: None,
            revision: 1,
            entries,
        }
    }

    /// All live entries ping each other, then look at their roles; `lost` drops pings.
    fn round(&mut self, mut lost: impl FnMut() -> bool) {
        self.now = self.now + PING_INTERVAL / 5;
        for from in 0..self.entries.len() {
            if !self.entries[from].alive {
                continue;
            }
            let state = self.entries[from].state();
            for to in 0..self.entries.len() {
                if to != from && !lost() {
                    self.entries[to].peers.record_state(state.clone(), self.now);
                }
            }
        }
        (0..self.entries.len()).for_each(|index| self.look(index));
    }

    fn look(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let view = RoleView {
            decider: self.key.clone(),
            fresh: entry.fresh,
            regressed: false,
            draining: entry.draining,
        };
        let role = entry.role.take().filter(|_| entry.alive);
        entry.role = match role {
            Some(AnyRole::Following(mut role)) => {
                match role.check_takeover(&view, &entry.peers, self.now) {
                    Some(replaced) => {
                        assert!(entry.fresh && !entry.draining, "took over while unable");
                        let found = self.key.as_ref().map(|key| Revision(key.epoch.0));
                        assert_eq!(replaced, found, "the view is current in this model");
                        self.revision += 1;
                        let epoch = Epoch(self.revision);
                        self.key = Some(DeciderKey {
                            entry: entry.name.clone(),
                            incarnation: Incarnation(1),
                            epoch,
                        });
                        Some(AnyRole::Deciding(role.adopt(epoch).decide()))
                    }
                    None => Some(AnyRole::Following(role)),
                }
            }
            Some(AnyRole::Deciding(role)) if role.is_deposed(&view, &entry.peers) => {
                Some(AnyRole::Following(role.follow()))
            }
            other => other,
        };
    }

    fn decider(&self) -> Option<usize> {
        let key = self.key.as_ref()?;
        let found = self
            .entries
            .iter()
            .position(|entry| entry.name == key.entry);
        found.filter(|index| self.entries[*index].epoch() == Some(key.epoch))
    }

    /// Runs without faults until a live entry decides; how long that took.
    fn settle(&mut self) -> Duration {
        let since = self.now;
        while self
            .decider()
            .is_none_or(|index| !self.entries[index].alive)
        {
            assert!(
                self.now.since(since) < Duration::from_secs(10),
                "no takeover"
            );
            self.round(|| false);
        }
        self.now.since(since)
    }
}

/// Guards against a takeover that is too slow for urgent work (2.8 s), also when the entry that
/// is next in line dies at the same time.
#[test]
fn a_dead_decider_is_replaced_in_time() {
    let mut world = World::new(4);
    world.settle();
    (0..20).for_each(|_| world.round(|| false));
    for _ in 0..2 {
        let decider = world.decider().expect("one decides");
        world.entries[decider].alive = false;
        let other = (0..4).find(|index| world.entries[*index].alive && *index != decider);
        if world.entries.iter().filter(|entry| entry.alive).count() == 3 {
            world.entries[other.expect("three are left")].alive = false;
        }
        let took = world.settle();
        assert!(took <= PEER_SUSPECT_TIMEOUT + RANK_DELAY, "took {took:?}");
        (0..40).for_each(|_| world.round(|| false));
    }
}

/// Guards against a planned stop that leaves the zone without a decider until it is suspected.
#[test]
fn a_draining_decider_is_replaced_at_once() {
    let mut world = World::new(3);
    world.settle();
    (0..20).for_each(|_| world.round(|| false));
    let decider = world.decider().expect("one decides");
    world.entries[decider].draining = true;
    if let Some(AnyRole::Deciding(role)) = world.entries[decider].role.take() {
        world.entries[decider].role = Some(AnyRole::Following(role.follow()));
    }
    let took = world.settle();
    assert!(took <= RANK_DELAY, "took {took:?}");
    assert_ne!(world.decider(), Some(decider));
}

/// Guards against entries that are unable to decide and take over, against epochs that go back,
/// and against a zone that stays without a decider once the network works again.
#[test]
fn random_faults_leave_one_decider() {
    let run = PropertyTest::new("roles")
        .with_seeds(100)
        .with_entropy_bytes(4096);
    run.run(|u| {
        let (mut world, mut steps) = (World::new(4), 0);
        while !u.is_empty() {
            steps += 1;
            fault(&mut world, u)?;
            let (loss, before) = (u.int_in_range(0..=100_u8)?, world.revision);
            let mut draws = u.bytes(16.min(u.len()))?.iter().cycle();
            world.round(|| draws.next().is_some_and(|draw| draw % 100 < loss));
            assert!(world.revision >= before, "the epoch went back");
        }
        for entry in &mut world.entries {
            (entry.fresh, entry.draining) = (true, false);
        }
        world.entries[0].alive = true;
        if world.entries[0].role.is_none() {
            let role = Role::new(zone(), world.entries[0].name.clone(), Incarnation(1));
            world.entries[0].role = Some(AnyRole::Following(role));
        }
        world.settle();
        (0..40).for_each(|_| world.round(|| false));
        let deciding = world.entries.iter().filter(|entry| entry.epoch().is_some());
        assert_eq!(deciding.count(), 1, "one entry decides");
        Ok(steps)
    });
}

fn fault(world: &mut World, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let index = u.int_in_range(0..=world.entries.len() - 1)?;
    let entry = &mut world.entries[index];
    match u.int_in_range(0..=40_u8)? {
        0 => entry.alive = false,
        1 | 2 => entry.fresh = !entry.fresh,
        3 => entry.draining = true,
        _ => {}
    }
    Ok(())
}
