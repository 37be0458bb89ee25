use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanwinch_types::TargetName;
use rattanwinch_types::value;

use crate::Label;
use crate::Resources;

value! {
    /// A target that may take tasks of a step, and its room.
    pub(crate) struct Candidate {
        pub name: TargetName,
        pub rack: Option<Label>,
        pub free: Resources,
        /// The most tasks of the step that it may still take, besides its room.
        pub most: usize,
        /// A task of the step has failed here, so others are preferred.
        pub failed_here: bool,
    }
}

value! {
    /// What a step asks for.
    pub(crate) struct Demand {
        pub resources: Resources,
        /// The tasks that wait.
        pub count: usize,
        /// All of them start together or none.
        pub gang: bool,
        pub same_rack: bool,
        pub data_rack: Option<Label>,
        /// The step has waited long enough for its best racks; any will do.
        pub any_rack: bool,
    }
}

impl Demand {
    /// The sets of candidates that are worth trying, the best first.
    ///
    /// Tasks of a step that wants one rack, or has its data on one, are several times as slow
    /// elsewhere, so other racks come only after a wait.
    pub(crate) fn groups<'a>(&self, candidates: &'a [Candidate]) -> Vec<Vec<&'a Candidate>> {
        let mut groups = Vec::new();
        if let Some(rack) = &self.data_rack {
            let near = |candidate: &&Candidate| candidate.rack.as_ref() == Some(rack);
            groups.push(candidates.iter().filter(near).collect());
        } else if self.same_rack {
            groups.extend(by_rack(candidates));
        }
        if groups.is_empty() || self.any_rack {
            if self.data_rack.is_some() && self.same_rack {
                groups.extend(by_rack(candidates));
            }
            groups.push(candidates.iter().collect());
        }
        groups
    }
}

fn by_rack(candidates: &[Candidate]) -> Vec<Vec<&Candidate>> {
    let mut racks: BTreeMap<Option<&Label>, Vec<&Candidate>> = BTreeMap::new();
    for candidate in candidates {
        racks
            .entry(candidate.rack.as_ref())
            .or_default()
            .push(candidate);
    }
    let mut racks: Vec<_> = racks.into_values().collect();
    // The rack with the least room first, so that the others stay whole for wide gangs.
    racks.sort_by_key(|rack| {
        let free = rack.iter().map(|candidate| candidate.free.accelerators);
        free.sum::<u64>()
    });
    racks
}

/// Chooses a target for each waiting task: for a gang all or none, else as many as fit.
pub(crate) fn choose(demand: &Demand, candidates: &[Candidate]) -> Vec<TargetName> {
    let mut best = Vec::new();
    let mut best_suspects = usize::MAX;
    for group in demand.groups(candidates) {
        let (chosen, suspects) = fill(demand, &group);
        let enough = if demand.gang { demand.count } else { 1 };
        let better =
            chosen.len() > best.len() || (chosen.len() == best.len() && suspects < best_suspects);
        if chosen.len() >= enough && better {
            best = chosen;
            best_suspects = suspects;
        }
        if best.len() == demand.count && best_suspects == 0 {
            break;
        }
    }
    best
}

/// Fills targets by best fit; gives the choice and how many of it are on suspect targets.
fn fill(demand: &Demand, group: &[&Candidate]) -> (Vec<TargetName>, usize) {
    let mut left: Vec<(Resources, usize)> = group
        .iter()
        .map(|candidate| (candidate.free, candidate.most))
        .collect();
    let mut chosen = Vec::new();
    let mut suspects = 0;
    while chosen.len() < demand.count {
        let fitting = group.iter().enumerate().filter(|&(index, _)| {
            let (free, most) = left[index];
            most > 0 && free.fits(demand.resources)
        });
        let tightest = fitting.min_by_key(|&(index, candidate)| {
            let rest = left[index].0.minus(demand.resources);
            (
                candidate.failed_here,
                rest.accelerators,
                rest.memory_mb,
                rest.cpu_millis,
            )
        });
        let Some((index, candidate)) = tightest else {
            break;
        };
        left[index].0 = left[index].0.minus(demand.resources);
        left[index].1 -= 1;
        suspects += usize::from(candidate.failed_here);
        chosen.push(candidate.name.clone());
    }
    (chosen, suspects)
}

value! {
    /// Runs that can only be stopped together, such as the members of a gang.
    pub(crate) struct Occupant {
        /// Which set of runs it belongs to.
        pub set: usize,
        /// What the part of the set on this target holds.
        pub holds: Resources,
        /// What is lost with the whole set; `None` if it may not be stopped.
        pub loss: Option<u64>,
    }
}

value! {
    /// Where the tasks of a blocked step will go, and which runs are in their way.
    pub(crate) struct Plan {
        /// The target of each task.
        pub slots: Vec<TargetName>,
        /// The sets of runs that have to end first.
        pub sets: BTreeSet<usize>,
        pub loss: u64,
    }
}

/// Plans room for the tasks of a step at the least loss: for a gang all or none, else as many as
/// there can be room for. `None` if there is no way.
pub(crate) fn plan(
    demand: &Demand,
    candidates: &[Candidate],
    occupants: &BTreeMap<TargetName, Vec<Occupant>>,
) -> Option<Plan> {
    let groups = demand.groups(candidates);
    let plans = groups
        .iter()
        .filter_map(|group| plan_group(demand, group, occupants));
    plans.min_by_key(|plan| (Reverse(plan.slots.len()), plan.loss, plan.sets.len()))
}

fn plan_group(
    demand: &Demand,
    group: &[&Candidate],
    occupants: &BTreeMap<TargetName, Vec<Occupant>>,
) -> Option<Plan> {
    let mut plan = Plan {
        slots: Vec::new(),
        sets: BTreeSet::new(),
        loss: 0,
    };
    let mut taken: BTreeMap<&TargetName, usize> = BTreeMap::new();
    while plan.slots.len() < demand.count {
        let options = group.iter().filter_map(|candidate| {
            let taken = taken.get(&candidate.name).copied().unwrap_or(0);
            let here = occupants
                .get(&candidate.name)
                .map_or(&[][..], Vec::as_slice);
            let (sets, loss) = slot(demand, candidate, taken, here, &plan.sets)?;
            Some((loss, candidate.free.accelerators, *candidate, sets))
        });
        let best = options.min_by_key(|option| (option.0, option.1));
        let Some((loss, _, candidate, sets)) = best else {
            break;
        };
        *taken.entry(&candidate.name).or_default() += 1;
        plan.slots.push(candidate.name.clone());
        plan.sets.extend(sets);
        plan.loss += loss;
    }
    let enough = if demand.gang { demand.count } else { 1 };
    (plan.slots.len() >= enough).then_some(plan)
}

/// The further sets that must end for one more task on a target, and what is lost with them.
fn slot(
    demand: &Demand,
    candidate: &Candidate,
    taken: usize,
    here: &[Occupant],
    ending: &BTreeSet<usize>,
) -> Option<(BTreeSet<usize>, u64)> {
    if taken >= candidate.most {
        return None;
    }
    let mut free = candidate.free;
    for occupant in here
        .iter()
        .filter(|occupant| ending.contains(&occupant.set))
    {
        free = free.plus(occupant.holds);
    }
    for _ in 0..taken {
        free = free.minus(demand.resources);
    }
    let mut others: Vec<_> = here
        .iter()
        .filter(|occupant| !ending.contains(&occupant.set))
        .filter_map(|occupant| occupant.loss.map(|loss| (loss, occupant)))
        .collect();
    others.sort_by_key(|(loss, _)| *loss);
    let mut sets = BTreeSet::new();
    let mut total = 0;
    for (loss, occupant) in others {
        if free.fits(demand.resources) {
            break;
        }
        free = free.plus(occupant.holds);
        sets.insert(occupant.set);
        total += loss;
    }
    free.fits(demand.resources).then_some((sets, total))
}
