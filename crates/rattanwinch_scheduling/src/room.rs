use std::collections::BTreeMap;

use rattanwinch_types::TargetName;

use crate::Resources;

/// The resources of one target during a placement pass.
#[derive(Clone, Copy, Debug)]
struct TargetRoom {
    /// Not occupied by any run.
    free: Resources,
    /// Occupied by runs that are about to end.
    leaving: Resources,
    /// Held for waiting steps.
    held: Resources,
}

impl TargetRoom {
    /// What is left once the leaving runs have ended and the holds are used.
    fn eventual(&self) -> Resources {
        self.free.plus(self.leaving).minus(self.held)
    }

    fn now(&self) -> Resources {
        self.free.min(self.eventual())
    }
}

/// The resources of all targets that may get new tasks, during one placement pass.
///
/// A hold covers free resources and those of leaving runs, so no other step is placed there or
/// counts on the same leaving runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Room {
    targets: BTreeMap<TargetName, TargetRoom>,
}

/// Which resources of a target count as available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Those that a task can occupy at once.
    Now,
    /// Also those of leaving runs.
    Eventual,
}

impl Room {
    pub(crate) fn new(capacities: impl Iterator<Item = (TargetName, Resources)>) -> Self {
        let targets = capacities.map(|(name, free)| {
            let room = TargetRoom {
                free,
                leaving: Resources::NONE,
                held: Resources::NONE,
            };
            (name, room)
        });
        Self {
            targets: targets.collect(),
        }
    }

    fn update(&mut self, target: &TargetName, change: impl FnOnce(&mut TargetRoom)) {
        // Runs and holds on targets that get no new tasks take no room here.
        if let Some(room) = self.targets.get_mut(target) {
            change(room);
        }
    }

    /// Counts the resources as occupied by a run.
    pub(crate) fn occupy(&mut self, target: &TargetName, resources: Resources) {
        self.update(target, |room| room.free = room.free.minus(resources));
    }

    /// Counts the resources of a run as leaving.
    pub(crate) fn mark_leaving(&mut self, target: &TargetName, resources: Resources) {
        self.update(target, |room| room.leaving = room.leaving.plus(resources));
    }

    pub(crate) fn hold(&mut self, target: &TargetName, resources: Resources) {
        self.update(target, |room| room.held = room.held.plus(resources));
    }

    pub(crate) fn release(&mut self, target: &TargetName, resources: Resources) {
        self.update(target, |room| room.held = room.held.minus(resources));
    }

    /// Returns the available resources of a target; `None` if it may get no new tasks.
    pub(crate) fn available(
        &self,
        target: &TargetName,
        availability: Availability,
    ) -> Option<Resources> {
        let room = self.targets.get(target)?;
        Some(match availability {
            Availability::Now => room.now(),
            Availability::Eventual => room.eventual(),
        })
    }

    /// Returns the resources of a target that no run occupies, held or not; none if it may get no
    /// new tasks.
    pub(crate) fn free(&self, target: &TargetName) -> Resources {
        self.targets
            .get(target)
            .map_or(Resources::NONE, |room| room.free)
    }

    /// Returns true if any target has the resources available now.
    pub(crate) fn fits(&self, resources: Resources) -> bool {
        let mut targets = self.targets.values();
        targets.any(|room| room.now().fits(resources))
    }

    pub(crate) fn iter(
        &self,
        availability: Availability,
    ) -> impl Iterator<Item = (&TargetName, Resources)> {
        self.targets.iter().map(move |(name, room)| {
            let available = match availability {
                Availability::Now => room.now(),
                Availability::Eventual => room.eventual(),
            };
            (name, available)
        })
    }
}
