use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use imbl::HashMap;
use imbl::HashSet;
use rattanwinch_decisions::pick_target;
use rattanwinch_types::Heartbeat;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::avoided::Avoided;
use crate::target::Target;

/// A target that hasn't been heard for this long is forgotten; it announces itself again.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// How an entry took in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// From an agent that is known.
    Known,
    /// From an agent that is new.
    New,
    /// From a second agent with the name of a target that is heard.
    Duplicate,
}

/// All targets that an entry knows: an immutable value that each change replaces.
#[derive(Clone, Debug, Default)]
struct FleetView {
    /// Every target by its name.
    targets: HashMap<TargetName, Arc<Target>>,
    /// The targets by zone, in the order in which requests draw them.
    by_zone: HashMap<ZoneName, Arc<[Arc<Target>]>>,
    /// The zones that operators have closed.
    closed: HashSet<ZoneName>,
    /// The revision of the configuration that says so.
    closed_revision: Revision,
    /// The targets that operators have excluded.
    excluded: HashSet<TargetName>,
}

/// The targets of the fleet. Requests read the view of the moment without waiting.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    view: ArcSwap<FleetView>,
}

impl Fleet {
    /// Takes in a heartbeat.
    pub fn hear(&self, heartbeat: &Heartbeat, now: Timestamp) -> Heard {
        let known = self
            .view
            .load()
            .targets
            .get(&heartbeat.target)
            .map(Arc::clone);
        match known {
            Some(target) if target.incarnation == heartbeat.incarnation => {
                target.refresh(heartbeat, now);
                Heard::Known
            }
            Some(target) if target.is_heard(now) => Heard::Duplicate,
            _ => {
                let target = Arc::new(Target::new(heartbeat, now));
                self.view.rcu(|view| view.with_target(&target));
                Heard::New
            }
        }
    }

    /// Forgets targets that have been silent for long.
    pub fn forget_silent(&self, now: Timestamp) {
        let view = self.view.load();
        let silent = view.targets.values();
        let silent = silent.filter(|target| now.since(target.heard_at()) > FORGET_AFTER);
        let silent: Vec<_> = silent.map(Arc::clone).collect();
        drop(view);
        for target in silent {
            self.view.rcu(|view| view.without_target(&target));
        }
    }

    /// Replaces the sets of closed zones and of excluded targets, unless they are from an older
    /// revision of the configuration.
    pub fn set_closed(
        &self,
        revision: Revision,
        zones: &HashSet<ZoneName>,
        targets: &HashSet<TargetName>,
    ) {
        self.view.rcu(|view| {
            let mut view = FleetView::clone(view);
            if revision > view.closed_revision {
                view.closed = zones.clone();
                view.excluded = targets.clone();
                view.closed_revision = revision;
            }
            view
        });
    }

    /// The number of targets that are connected.
    pub fn connected(&self) -> usize {
        let view = self.view.load();
        view.targets
            .values()
            .filter(|target| target.connection.is_connected())
            .count()
    }

    /// Every target, in no order.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.view.load().targets.values().map(Arc::clone).collect()
    }

    /// The lowest and the highest configuration revision that a target which is heard acts on.
    pub fn config_revisions(&self, now: Timestamp) -> Option<(Revision, Revision)> {
        let view = self.view.load();
        let heard = view.targets.values().filter(|target| target.is_heard(now));
        let revisions = heard.map(|target| target.config_revision());
        revisions.fold(None, |range, revision| {
            let (lowest, highest) = range.unwrap_or((revision, revision));
            Some((revision.min(lowest), revision.max(highest)))
        })
    }

    /// The targets of a zone.
    pub fn targets_of(&self, zone: &ZoneName) -> Option<Arc<[Arc<Target>]>> {
        self.view.load().by_zone.get(zone).map(Arc::clone)
    }

    /// The zones of which agents are heard.
    pub fn heard_zones(&self, now: Timestamp) -> Vec<ZoneName> {
        let view = self.view.load();
        let heard = view.by_zone.iter().filter(|(_, targets)| {
            let mut targets = targets.iter();
            targets.any(|target| target.is_heard(now))
        });
        heard.map(|(zone, _)| zone.clone()).collect()
    }

    /// The target with the given name.
    pub fn target(&self, name: &TargetName) -> Option<Arc<Target>> {
        self.view.load().targets.get(name).map(Arc::clone)
    }

    /// Picks a target for a plain request: in `home` if one is usable there, else in any other
    /// open zone. What is `avoided` has failed the request before.
    pub fn pick(
        &self,
        home: &ZoneName,
        avoided: &Avoided,
        draw: u64,
        now: Timestamp,
    ) -> Option<Arc<Target>> {
        let view = self.view.load();
        if let Some(target) = view.pick_in(home, avoided, draw, now) {
            return Some(target);
        }
        let others = view.by_zone.keys().filter(|zone| *zone != home);
        let picks = others.filter_map(|zone| view.pick_in(zone, avoided, draw, now));
        picks.min_by_key(|target| target.load(now).in_flight)
    }
}

impl FleetView {
    fn pick_in(
        &self,
        zone: &ZoneName,
        avoided: &Avoided,
        draw: u64,
        now: Timestamp,
    ) -> Option<Arc<Target>> {
        if self.closed.contains(zone) || avoided.zones.contains(zone) {
            return None;
        }
        let targets = self.by_zone.get(zone)?;
        let load = |index: usize| {
            let target = &targets[index];
            let mut load = target.load(now);
            load.usable &= !avoided.targets.contains(&target.name);
            load.usable &= !self.excluded.contains(&target.name);
            load
        };
        pick_target(targets.len(), draw, load).map(|index| Arc::clone(&targets[index]))
    }

    fn with_target(&self, target: &Arc<Target>) -> Self {
        let mut view = self.clone();
        if let Some(old) = view.targets.insert(target.name.clone(), Arc::clone(target)) {
            view.rebuild_zone(&old.zone);
        }
        view.rebuild_zone(&target.zone);
        view
    }

    fn without_target(&self, target: &Arc<Target>) -> Self {
        let mut view = self.clone();
        let same = view
            .targets
            .get(&target.name)
            .is_some_and(|known| Arc::ptr_eq(known, target));
        if same {
            view.targets.remove(&target.name);
            view.rebuild_zone(&target.zone);
        }
        view
    }

    fn rebuild_zone(&mut self, zone: &ZoneName) {
        let members = self.targets.values().filter(|target| target.zone == *zone);
        let mut members: Vec<_> = members.map(Arc::clone).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        self.by_zone.insert(zone.clone(), Arc::from(members));
    }
}
