use std::fmt;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::StepDescription;
use crate::run_set::core_millis;
use crate::scheduler::occupied_resources;
use crate::shares::Load;
use crate::shares::total_resources;
use crate::step_visits::count_step_visits;

/// The steps of a job, in the order of their numbers.
///
/// What follows from the steps alone is computed once, when they are collected: the scheduler reads
/// it for each waiting step of each placement pass. Clones share it.
#[derive(Clone)]
pub struct JobSteps {
    steps: Arc<[StepDescription]>,
    facts: Arc<StepFacts>,
}

/// What follows from the steps of a job alone. Links to steps that are not earlier are ignored; a job
/// with such links is refused.
struct StepFacts {
    /// The number of distinct steps that each step depends on.
    dependency_counts: Vec<u32>,
    /// The steps that depend on each step, one step after the other.
    dependents: Vec<u32>,
    /// Where the dependents of each step begin, and the end of the last ones.
    first_dependents: Vec<u32>,
    /// The position of the first task of each step within an occurrence.
    first_tasks: Vec<usize>,
    tasks: usize,
    /// The estimated run time of the critical path that begins with each step.
    paths: Vec<Duration>,
    critical_path: Duration,
    /// The load of each step and all later ones, and that of none.
    loads_from: Vec<Load>,
    weight: u64,
    max_step_accelerators: u64,
    has_long_running: bool,
    is_well_formed: bool,
    /// Steps without dependencies that differ in what they require; at most
    /// [`MAX_FIRST_STEPS`].
    first_steps: SmallVec<[u32; 4]>,
    has_more_first_steps: bool,
}

/// The number of different first steps that are told apart.
const MAX_FIRST_STEPS: usize = 16;

impl StepFacts {
    fn new(steps: &[StepDescription]) -> Self {
        let mut facts = Self {
            dependency_counts: Vec::with_capacity(steps.len()),
            dependents: Vec::new(),
            first_dependents: Vec::with_capacity(steps.len() + 1),
            first_tasks: Vec::with_capacity(steps.len()),
            tasks: 0,
            paths: Vec::new(),
            critical_path: Duration::ZERO,
            loads_from: vec![Load::NONE; steps.len() + 1],
            weight: 0,
            max_step_accelerators: 0,
            has_long_running: false,
            is_well_formed: !steps.is_empty(),
            first_steps: SmallVec::new(),
            has_more_first_steps: false,
        };
        facts.link(steps);
        for (number, step) in steps.iter().enumerate() {
            facts.first_tasks.push(facts.tasks);
            facts.tasks = facts.tasks.saturating_add(step.count as usize);
            facts.has_long_running |= step.long_running;
            facts.is_well_formed &= step.count > 0;
            let accelerators = u64::from(step.count).saturating_mul(step.resources.accelerators);
            facts.max_step_accelerators = facts.max_step_accelerators.max(accelerators);
            let resources = total_resources(occupied_resources(step), step.count as usize);
            let work = core_millis(resources, step.estimated_run_time);
            facts.weight = facts.weight.saturating_add(work);
            if facts.dependency_counts[number] == 0 {
                facts.add_first_step(steps, number);
            }
        }
        for (number, step) in steps.iter().enumerate().rev() {
            let resources = total_resources(occupied_resources(step), step.count as usize);
            let load = Load::new(resources, step.estimated_run_time);
            facts.loads_from[number] = facts.loads_from[number + 1].plus(load);
        }
        facts.paths = facts.paths_by(|number| steps[number].estimated_run_time);
        facts.critical_path = facts.paths.iter().copied().max().unwrap_or_default();
        facts
    }

    /// Collects the links between steps, each once.
    fn link(&mut self, steps: &[StepDescription]) {
        let mut links: Vec<(u32, u32)> = Vec::new();
        let mut earlier: Vec<u32> = Vec::new();
        for (number, step) in (0_u32..).zip(steps) {
            earlier.clear();
            earlier.extend(step.depends_on.iter().filter(|&&before| before < number));
            self.is_well_formed &= earlier.len() == step.depends_on.len();
            earlier.sort_unstable();
            earlier.dedup();
            let count = u32::try_from(earlier.len()).unwrap_or(u32::MAX);
            self.dependency_counts.push(count);
            links.extend(earlier.iter().map(|&before| (before, number)));
        }
        links.sort_unstable();
        let mut links = links.into_iter().peekable();
        for (number, _) in (0_u32..).zip(steps) {
            let begin = u32::try_from(self.dependents.len()).unwrap_or(u32::MAX);
            self.first_dependents.push(begin);
            while let Some((_, dependent)) = links.next_if(|(before, _)| *before == number) {
                self.dependents.push(dependent);
            }
        }
        let end = u32::try_from(self.dependents.len()).unwrap_or(u32::MAX);
        self.first_dependents.push(end);
    }

    fn add_first_step(&mut self, steps: &[StepDescription], number: usize) {
        let requirements = |step: &StepDescription| {
            let label = step.required_label.clone();
            (
                occupied_resources(step),
                step.count,
                step.max_per_target,
                label,
            )
        };
        let new = requirements(&steps[number]);
        let mut known = self.first_steps.iter();
        if known.any(|&known| requirements(&steps[known as usize]) == new) {
            return;
        }
        if self.first_steps.len() < MAX_FIRST_STEPS {
            let number = u32::try_from(number).unwrap_or(u32::MAX);
            self.first_steps.push(number);
        } else {
            self.has_more_first_steps = true;
        }
    }

    fn dependents(&self, number: usize) -> &[u32] {
        let begin = self.first_dependents.get(number).copied();
        let end = self.first_dependents.get(number + 1).copied();
        let range = begin
            .zip(end)
            .map(|(begin, end)| begin as usize..end as usize);
        range
            .and_then(|range| self.dependents.get(range))
            .unwrap_or_default()
    }

    fn paths_by(&self, run_time: impl Fn(usize) -> Duration) -> Vec<Duration> {
        let mut paths = vec![Duration::ZERO; self.dependency_counts.len()];
        count_step_visits(paths.len() + self.dependents.len());
        // Steps depend only on earlier ones, so in reverse order all dependents come first.
        for number in (0..paths.len()).rev() {
            let dependents = self.dependents(number).iter();
            let longest = dependents.map(|&dependent| paths[dependent as usize]).max();
            paths[number] = longest.unwrap_or_default().saturating_add(run_time(number));
        }
        paths
    }
}

impl JobSteps {
    /// Returns the number of distinct steps that a step depends on.
    pub(crate) fn dependency_count(&self, step: u32) -> u32 {
        let counts = &self.facts.dependency_counts;
        counts.get(step as usize).copied().unwrap_or(0)
    }

    /// Returns the steps that depend on a step.
    pub(crate) fn dependents(&self, step: u32) -> &[u32] {
        self.facts.dependents(step as usize)
    }

    /// Returns the position of the first task of a step within an occurrence.
    pub(crate) fn first_task(&self, step: u32) -> Option<usize> {
        self.facts.first_tasks.get(step as usize).copied()
    }

    /// Returns the step and the index of the task at a position within an occurrence.
    pub(crate) fn task_at(&self, position: usize) -> (u32, u32) {
        let first_tasks = &self.facts.first_tasks;
        let step = first_tasks.partition_point(|&first| first <= position);
        let step = step.saturating_sub(1);
        let index = position - first_tasks.get(step).copied().unwrap_or(0);
        let number = |number| u32::try_from(number).unwrap_or(u32::MAX);
        (number(step), number(index))
    }

    /// Returns the number of tasks of an occurrence.
    pub(crate) fn task_count(&self) -> usize {
        self.facts.tasks
    }

    /// Returns the estimated run time of the critical path that begins with a step.
    pub(crate) fn path_from(&self, step: u32) -> Duration {
        let paths = &self.facts.paths;
        paths.get(step as usize).copied().unwrap_or_default()
    }

    /// Returns the estimated run time of the critical path.
    pub(crate) fn critical_path(&self) -> Duration {
        self.facts.critical_path
    }

    /// Computes the run times of the critical paths that begin with each step from the run times of
    /// the steps, in time linear in the steps and their links.
    pub(crate) fn paths_by(&self, run_times: &[Duration]) -> Vec<Duration> {
        let run_time = |number: usize| run_times.get(number).copied().unwrap_or_default();
        self.facts.paths_by(run_time)
    }

    /// Returns the load of the steps from number `first` on.
    pub(crate) fn load_from(&self, first: u32) -> Load {
        let loads = &self.facts.loads_from;
        loads.get(first as usize).copied().unwrap_or(Load::NONE)
    }

    /// Returns the work of all steps, in core-milliseconds.
    pub(crate) fn weight(&self) -> u64 {
        self.facts.weight
    }

    pub(crate) fn max_step_accelerators(&self) -> u64 {
        self.facts.max_step_accelerators
    }

    pub(crate) fn has_long_running(&self) -> bool {
        self.facts.has_long_running
    }

    /// Returns true if steps depend only on earlier ones and none is empty.
    pub(crate) fn is_well_formed(&self) -> bool {
        self.facts.is_well_formed
    }

    /// Returns the steps without dependencies, one of each that requires the same; `None` if there
    /// are too many to tell apart.
    pub(crate) fn first_steps(&self) -> Option<impl Iterator<Item = &StepDescription>> {
        let numbers = self.facts.first_steps.iter();
        (!self.facts.has_more_first_steps).then(|| numbers.map(|&number| &self[number as usize]))
    }
}

impl From<Vec<StepDescription>> for JobSteps {
    fn from(steps: Vec<StepDescription>) -> Self {
        Self {
            facts: Arc::new(StepFacts::new(&steps)),
            steps: steps.into(),
        }
    }
}

impl From<&[StepDescription]> for JobSteps {
    fn from(steps: &[StepDescription]) -> Self {
        Self::from(steps.to_vec())
    }
}

impl<const COUNT: usize> From<[StepDescription; COUNT]> for JobSteps {
    fn from(steps: [StepDescription; COUNT]) -> Self {
        Self::from(Vec::from(steps))
    }
}

impl FromIterator<StepDescription> for JobSteps {
    fn from_iter<I: IntoIterator<Item = StepDescription>>(steps: I) -> Self {
        Self::from(Vec::from_iter(steps))
    }
}

impl Deref for JobSteps {
    type Target = [StepDescription];

    fn deref(&self) -> &Self::Target {
        &self.steps
    }
}

impl PartialEq for JobSteps {
    fn eq(&self, other: &Self) -> bool {
        self.steps == other.steps
    }
}

impl Eq for JobSteps {}

impl fmt::Debug for JobSteps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.steps.fmt(f)
    }
}
