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

use crate::retry_exclusions::RetryExclusions;
use crate::target::Target;

/// How long a target without heartbeats is kept; a later heartbeat adds it again.
const TARGET_RETENTION: Duration = Duration::from_secs(300);

/// The outcome of recording a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatOutcome {
    /// The agent is known.
    Known,
    /// The agent is new.
    New,
    /// A second agent uses the name of a live target.
    Duplicate,
}

/// An immutable snapshot of all known targets; every change replaces it.
#[derive(Clone, Debug, Default)]
struct FleetView {
    /// Every target by its name.
    targets: HashMap<TargetName, Arc<Target>>,
    /// The targets by zone, sorted by name; routing samples them by index.
    by_zone: HashMap<ZoneName, Arc<[Arc<Target>]>>,
    /// Zones that operators have closed.
    closed_zones: HashSet<ZoneName>,
    /// The configuration revision of the closed zones and excluded targets.
    closures_revision: Revision,
    /// Targets that operators have excluded.
    excluded_targets: HashSet<TargetName>,
}

/// The targets of the fleet. Requests read the current snapshot without blocking.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    view: ArcSwap<FleetView>,
}

impl Fleet {
    /// Records a heartbeat.
    pub fn record_heartbeat(&self, heartbeat: &Heartbeat, now: Timestamp) -> HeartbeatOutcome {
        let known = self
            .view
            .load()
            .targets
            .get(&heartbeat.target)
            .map(Arc::clone);
        match known {
            Some(target) if target.incarnation == heartbeat.incarnation => {
                target.apply_heartbeat(heartbeat, now);
                HeartbeatOutcome::Known
            }
            Some(target) if target.is_live(now) => HeartbeatOutcome::Duplicate,
            _ => {
                let target = Arc::new(Target::new(heartbeat, now));
                self.view.rcu(|view| view.with_target(&target));
                HeartbeatOutcome::New
            }
        }
    }

    /// Removes targets without heartbeats for [`TARGET_RETENTION`].
    pub fn remove_silent(&self, now: Timestamp) {
        let view = self.view.load();
        let silent = view.targets.values();
        let silent =
            silent.filter(|target| now.since(target.last_heartbeat_at()) > TARGET_RETENTION);
        let silent: Vec<_> = silent.map(Arc::clone).collect();
        drop(view);
        for target in silent {
            self.view.rcu(|view| view.without_target(&target));
        }
    }

    /// Replaces the sets of closed zones and of excluded targets, unless they are from an older
    /// revision of the configuration.
    pub fn set_closures(
        &self,
        revision: Revision,
        zones: &HashSet<ZoneName>,
        targets: &HashSet<TargetName>,
    ) {
        self.view.rcu(|view| {
            let mut view = FleetView::clone(view);
            if revision > view.closures_revision {
                view.closed_zones = zones.clone();
                view.excluded_targets = targets.clone();
                view.closures_revision = revision;
            }
            view
        });
    }

    /// The number of targets that are connected.
    pub fn connected_count(&self) -> usize {
        let view = self.view.load();
        view.targets
            .values()
            .filter(|target| target.connection.is_connected())
            .count()
    }

    /// All targets, in no particular order.
    pub fn targets(&self) -> Vec<Arc<Target>> {
        self.view.load().targets.values().map(Arc::clone).collect()
    }

    /// The lowest and the highest configuration revision of the live targets.
    pub fn config_revisions(&self, now: Timestamp) -> Option<(Revision, Revision)> {
        let view = self.view.load();
        let live = view.targets.values().filter(|target| target.is_live(now));
        let revisions = live.map(|target| target.config_revision());
        revisions.fold(None, |range, revision| {
            let (lowest, highest) = range.unwrap_or((revision, revision));
            Some((revision.min(lowest), revision.max(highest)))
        })
    }

    /// The targets of a zone.
    pub fn targets_in_zone(&self, zone: &ZoneName) -> Option<Arc<[Arc<Target>]>> {
        self.view.load().by_zone.get(zone).map(Arc::clone)
    }

    /// The zones that have a live target.
    pub fn live_zones(&self, now: Timestamp) -> Vec<ZoneName> {
        let view = self.view.load();
        let live = view.by_zone.iter().filter(|(_, targets)| {
            let mut targets = targets.iter();
            targets.any(|target| target.is_live(now))
        });
        live.map(|(zone, _)| zone.clone()).collect()
    }

    /// The target with the given name.
    pub fn target(&self, name: &TargetName) -> Option<Arc<Target>> {
        self.view.load().targets.get(name).map(Arc::clone)
    }

    /// Picks a target for a plain request, outside `exclusions`: one in `local_zone` if a target
    /// there is usable, otherwise the least loaded pick of the other open zones.
    pub fn pick(
        &self,
        local_zone: &ZoneName,
        exclusions: &RetryExclusions,
        random: u64,
        now: Timestamp,
    ) -> Option<Arc<Target>> {
        let view = self.view.load();
        if let Some(target) = view.pick_in(local_zone, exclusions, random, now) {
            return Some(target);
        }
        let others = view.by_zone.keys().filter(|zone| *zone != local_zone);
        let picks = others.filter_map(|zone| view.pick_in(zone, exclusions, random, now));
        picks.min_by_key(|target| target.load(now).in_flight)
    }
}

impl FleetView {
    fn pick_in(
        &self,
        zone: &ZoneName,
        exclusions: &RetryExclusions,
        random: u64,
        now: Timestamp,
    ) -> Option<Arc<Target>> {
        if self.closed_zones.contains(zone) || exclusions.zones.contains(zone) {
            return None;
        }
        let targets = self.by_zone.get(zone)?;
        let load = |index: usize| {
            let target = &targets[index];
            let mut load = target.load(now);
            load.usable &= !exclusions.targets.contains(&target.name);
            load.usable &= !self.excluded_targets.contains(&target.name);
            load
        };
        pick_target(targets.len(), random, load).map(|index| Arc::clone(&targets[index]))
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
