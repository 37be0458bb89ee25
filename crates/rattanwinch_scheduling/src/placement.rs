use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanwinch_types::TargetName;
use rattanwinch_types::value;
use smallvec::SmallVec;

use crate::Label;
use crate::Resources;
use crate::shares::total_resources;
use crate::step_visits::count_step_visits;
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
        // With each further task the tightest target becomes tighter still, so it is filled at once.
        let (free, max_tasks) = left[index];
        let fitting = usize::try_from(free.max_count(demand.resources)).unwrap_or(usize::MAX);
        let count = fitting.min(max_tasks).min(demand.count - chosen.len());
        left[index].0 = free.minus(total_resources(demand.resources, count));
        left[index].1 -= count;
        if candidate.failed_here {
            failed_here_count += count;
        }
        chosen.extend(std::iter::repeat_n(&candidate.name, count).cloned());
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
    let targets = group.iter().map(|candidate| {
        let occupants_here = occupants.get(&candidate.name);
        PlannedTarget::new(demand, candidate, occupants_here.map_or(&[], Vec::as_slice))
    });
    let mut targets: Vec<PlannedTarget<'_>> = targets.collect();
    let targets_of_sets = targets_of_sets(&targets);
    while plan.targets.len() < demand.count {
        let options = targets.iter().enumerate().filter_map(|(index, target)| {
            let (_, loss) = target.next.as_ref()?;
            let candidate = target.candidate;
            let rank = demand.speed.rank(candidate.speed);
            Some(((*loss, rank, candidate.free.accelerators), index))
        });
        let best = options.min_by_key(|(key, _)| *key);
        let Some(((loss, ..), index)) = best else {
            break;
        };
        let total = plan.loss.plus(loss);
        if total.core_millis > max_lost_work {
            break;
        }
        plan.loss = total;
        plan.targets.push(targets[index].candidate.name.clone());
        let sets = targets[index].take_task(demand);
        for set in sets {
            for &elsewhere in targets_of_sets.get(&set).into_iter().flatten() {
                if elsewhere != index {
                    targets[elsewhere].end_set(set, demand);
                }
            }
            plan.sets.insert(set);
        }
    }
    let required = if demand.gang { demand.count } else { 1 };
    (plan.targets.len() >= required).then_some(plan)
}

/// Returns the targets of each run set.
fn targets_of_sets(targets: &[PlannedTarget<'_>]) -> BTreeMap<usize, SmallVec<[usize; 2]>> {
    let mut of_sets: BTreeMap<usize, SmallVec<[usize; 2]>> = BTreeMap::new();
    for (index, target) in targets.iter().enumerate() {
        for occupant in &target.others {
            of_sets.entry(occupant.set).or_default().push(index);
        }
    }
    of_sets
}

/// A target while a preemption is planned.
struct PlannedTarget<'a> {
    candidate: &'a Candidate,
    /// The number of planned tasks here.
    taken: usize,
    /// What the planned ends leave free beside the planned tasks.
    free: Resources,
    /// The run sets that need not end so far, those with the least loss first.
    others: Vec<&'a Occupant>,
    /// The further run sets that must end for one more task, with their loss; `None` if it has no
    /// room here.
    next: Option<(Vec<usize>, Loss)>,
}

impl<'a> PlannedTarget<'a> {
    fn new(demand: &Demand, candidate: &'a Candidate, occupants: &'a [Occupant]) -> Self {
        count_step_visits(occupants.len());
        let mut others: Vec<_> = occupants.iter().collect();
        others.sort_by_key(|occupant| occupant.loss);
        let mut target = Self {
            candidate,
            taken: 0,
            free: candidate.free,
            others,
            next: None,
        };
        target.update_next(demand);
        target
    }

    /// Plans one more task; returns the run sets that must end for it.
    fn take_task(&mut self, demand: &Demand) -> Vec<usize> {
        let (sets, _) = self.next.take().unwrap_or_default();
        self.taken += 1;
        if !sets.is_empty() {
            let ending: BTreeSet<usize> = sets.iter().copied().collect();
            self.end_sets(|set| ending.contains(&set));
        }
        self.free = self.free.minus(demand.resources);
        self.update_next(demand);
        sets
    }

    /// Takes into account that a run set ends, for a task on another target.
    fn end_set(&mut self, ended: usize, demand: &Demand) {
        self.end_sets(|set| set == ended);
        self.update_next(demand);
    }

    fn end_sets(&mut self, is_ending: impl Fn(usize) -> bool) {
        let free = &mut self.free;
        self.others.retain(|occupant| {
            let ends = is_ending(occupant.set);
            if ends {
                *free = free.plus(occupant.resources);
            }
            !ends
        });
    }

    fn update_next(&mut self, demand: &Demand) {
        self.next = None;
        if self.taken >= self.candidate.max_tasks {
            return;
        }
        let mut free = self.free;
        let mut chosen = Vec::new();
        for occupant in &self.others {
            if free.fits(demand.resources) {
                break;
            }
            free = free.plus(occupant.resources);
            chosen.push(*occupant);
        }
        count_step_visits(chosen.len() + 1);
        if !free.fits(demand.resources) {
            return;
        }
        // A large set that was chosen last may leave earlier ones unneeded.
        let mut needed = Vec::new();
        let mut loss = Loss::default();
        for occupant in chosen.into_iter().rev() {
            let without = free.minus(occupant.resources);
            if without.fits(demand.resources) {
                free = without;
            } else {
                needed.push(occupant.set);
                loss = loss.plus(occupant.loss);
            }
        }
        self.next = Some((needed, loss));
    }
}
