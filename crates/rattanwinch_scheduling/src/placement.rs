use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanwinch_types::TargetName;
use rattanwinch_types::value;

use crate::Label;
use crate::Resources;
use crate::target_speeds::SpeedClass;
use crate::target_speeds::SpeedPreference;

value! {
    /// A target that may run tasks of a step, with its free resources.
    pub(crate) struct Candidate {
        pub name: TargetName,
        pub rack: Option<Label>,
        pub free: Resources,
        /// The maximum number of further tasks of the step, regardless of free resources.
        pub max_tasks: usize,
        /// A task of the step has failed on the target, so other targets are preferred.
        pub failed_here: bool,
        pub speed: SpeedClass,
    }
}

value! {
    /// The resource request of a waiting step.
    pub(crate) struct Demand {
        pub resources: Resources,
        /// The number of waiting tasks.
        pub count: usize,
        /// Either all tasks start together, or none.
        pub gang: bool,
        pub same_rack: bool,
        pub data_rack: Option<Label>,
        /// The step has waited long enough for its preferred racks; any rack is accepted.
        pub any_rack: bool,
        pub speed: SpeedPreference,
    }
}

impl Demand {
    /// Groups the candidates by preference, the best group first.
    ///
    /// Tasks of a step with rack or data locality are several times slower elsewhere, so other
    /// racks are used only after a wait.
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
    // The rack with the least free accelerators first, to keep the others free for wide gangs.
    racks.sort_by_key(|rack| {
        let free = rack.iter().map(|candidate| candidate.free.accelerators);
        free.fold(0, u64::saturating_add)
    });
    racks
}

/// Chooses targets for the waiting tasks: for a gang all or none, otherwise as many as fit.
pub(crate) fn choose_targets(demand: &Demand, candidates: &[Candidate]) -> Vec<TargetName> {
    let mut best = Vec::new();
    let mut best_failed_here_count = usize::MAX;
    for group in demand.groups(candidates) {
        let (chosen, failed_here_count) = best_fit(demand, &group);
        let required = if demand.gang { demand.count } else { 1 };
        let better = chosen.len() > best.len()
            || (chosen.len() == best.len() && failed_here_count < best_failed_here_count);
        if chosen.len() >= required && better {
            best = chosen;
            best_failed_here_count = failed_here_count;
        }
        if best.len() == demand.count && best_failed_here_count == 0 {
            break;
        }
    }
    best
}

/// Places tasks by their preferred speed, then by best fit; returns the targets and how many tasks
/// go where one has failed.
fn best_fit(demand: &Demand, group: &[&Candidate]) -> (Vec<TargetName>, usize) {
    if demand.gang && demand.speed == SpeedPreference::Fast {
        return fastest_gang(demand, group);
    }
    best_fit_by(demand, group, demand.speed)
}

/// Places a gang so that its slowest target is as fast as possible. The other members gain nothing
/// by faster targets than that one, which are left to other work.
fn fastest_gang(demand: &Demand, group: &[&Candidate]) -> (Vec<TargetName>, usize) {
    let mut placed = (Vec::new(), 0);
    for slowest in SpeedClass::DESCENDING {
        let fast_enough = group
            .iter()
            .copied()
            .filter(|candidate| candidate.speed >= slowest);
        let fast_enough: Vec<_> = fast_enough.collect();
        placed = best_fit_by(demand, &fast_enough, SpeedPreference::Slow);
        if placed.0.len() == demand.count {
            break;
        }
    }
    placed
}

fn best_fit_by(
    demand: &Demand,
    group: &[&Candidate],
    preference: SpeedPreference,
) -> (Vec<TargetName>, usize) {
    let mut left: Vec<(Resources, usize)> = group
        .iter()
        .map(|candidate| (candidate.free, candidate.max_tasks))
        .collect();
    let mut chosen = Vec::new();
    let mut failed_here_count = 0;
    while chosen.len() < demand.count {
        let fitting = group.iter().enumerate().filter(|&(index, _)| {
            let (free, max_tasks) = left[index];
            max_tasks > 0 && free.fits(demand.resources)
        });
        let tightest = fitting.min_by_key(|&(index, candidate)| {
            let remaining = left[index].0.minus(demand.resources);
            (
                candidate.failed_here,
                preference.rank(candidate.speed),
                remaining.accelerators,
                remaining.memory_mb,
                remaining.cpu_millis,
            )
        });
        let Some((index, candidate)) = tightest else {
            break;
        };
        left[index].0 = left[index].0.minus(demand.resources);
        left[index].1 -= 1;
        failed_here_count += usize::from(candidate.failed_here);
        chosen.push(candidate.name.clone());
    }
    (chosen, failed_here_count)
}

value! { copy
    /// What is lost by stopping runs. The fewest tasks that were stopped too often come first, then
    /// the least cost of jobs that become late, then the least work.
    #[derive(Default)]
    pub(crate) struct Loss {
        /// The number of tasks that have been stopped for others too often already.
        pub worn_out: u32,
        /// The cost to callers of jobs that become late, shared out over their tasks.
        pub lateness: u64,
        /// The lost work, and that lost by earlier stops of the same tasks.
        pub core_millis: u64,
    }
}

impl Loss {
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            worn_out: self.worn_out.saturating_add(other.worn_out),
            lateness: self.lateness.saturating_add(other.lateness),
            core_millis: self.core_millis.saturating_add(other.core_millis),
        }
    }
}

value! {
    /// The part of a run set on one target.
    pub(crate) struct Occupant {
        /// The index of the run set.
        pub set: usize,
        /// The resources that the run set occupies on this target.
        pub resources: Resources,
        /// What is lost by stopping the whole set.
        pub loss: Loss,
    }
}

value! {
    /// The planned targets of a blocked step, and the run sets that must end first.
    pub(crate) struct PreemptionPlan {
        /// The target of each task.
        pub targets: Vec<TargetName>,
        /// The run sets that must end first.
        pub sets: BTreeSet<usize>,
        pub loss: Loss,
    }
}

/// Plans the preemption with the least loss: for a gang all tasks or none, otherwise as many tasks as
/// possible. Returns `None` if no task can be placed for at most `max_lost_work`, in core-milliseconds.
pub(crate) fn plan_preemption(
    demand: &Demand,
    candidates: &[Candidate],
    occupants: &BTreeMap<TargetName, Vec<Occupant>>,
    max_lost_work: u64,
) -> Option<PreemptionPlan> {
    let groups = demand.groups(candidates);
    let plans = groups
        .iter()
        .filter_map(|group| plan_group(demand, group, occupants, max_lost_work));
    plans.min_by_key(|plan| (Reverse(plan.targets.len()), plan.loss, plan.sets.len()))
}

fn plan_group(
    demand: &Demand,
    group: &[&Candidate],
    occupants: &BTreeMap<TargetName, Vec<Occupant>>,
    max_lost_work: u64,
) -> Option<PreemptionPlan> {
    let mut plan = PreemptionPlan {
        targets: Vec::new(),
        sets: BTreeSet::new(),
        loss: Loss::default(),
    };
    let mut taken: BTreeMap<&TargetName, usize> = BTreeMap::new();
    while plan.targets.len() < demand.count {
        let options = group.iter().filter_map(|candidate| {
            let taken = taken.get(&candidate.name).copied().unwrap_or(0);
            let occupants_here = occupants
                .get(&candidate.name)
                .map_or(&[][..], Vec::as_slice);
            let (sets, loss) =
                preempt_for_one_task(demand, candidate, taken, occupants_here, &plan.sets)?;
            let rank = demand.speed.rank(candidate.speed);
            Some(((loss, rank, candidate.free.accelerators), *candidate, sets))
        });
        let best = options.min_by_key(|(key, ..)| *key);
        let Some(((loss, ..), candidate, sets)) = best else {
            break;
        };
        let total = plan.loss.plus(loss);
        if total.core_millis > max_lost_work {
            break;
        }
        *taken.entry(&candidate.name).or_default() += 1;
        plan.targets.push(candidate.name.clone());
        plan.sets.extend(sets);
        plan.loss = total;
    }
    let required = if demand.gang { demand.count } else { 1 };
    (plan.targets.len() >= required).then_some(plan)
}

/// Returns the further run sets that must end for one more task on a target, with their loss.
fn preempt_for_one_task(
    demand: &Demand,
    candidate: &Candidate,
    taken: usize,
    occupants_here: &[Occupant],
    ending: &BTreeSet<usize>,
) -> Option<(BTreeSet<usize>, Loss)> {
    if taken >= candidate.max_tasks {
        return None;
    }
    let mut free = candidate.free;
    for occupant in occupants_here
        .iter()
        .filter(|occupant| ending.contains(&occupant.set))
    {
        free = free.plus(occupant.resources);
    }
    for _ in 0..taken {
        free = free.minus(demand.resources);
    }
    let mut others: Vec<_> = occupants_here
        .iter()
        .filter(|occupant| !ending.contains(&occupant.set))
        .collect();
    others.sort_by_key(|occupant| occupant.loss);
    let mut chosen = Vec::new();
    for occupant in others {
        if free.fits(demand.resources) {
            break;
        }
        free = free.plus(occupant.resources);
        chosen.push(occupant);
    }
    if !free.fits(demand.resources) {
        return None;
    }
    // A large set that was chosen last may leave earlier ones unneeded.
    for index in (0..chosen.len()).rev() {
        let without = free.minus(chosen[index].resources);
        if without.fits(demand.resources) {
            free = without;
            chosen.remove(index);
        }
    }
    let loss = chosen
        .iter()
        .fold(Loss::default(), |total, occupant| total.plus(occupant.loss));
    let sets = chosen.into_iter().map(|occupant| occupant.set).collect();
    Some((sets, loss))
}
