//! The order of the queue under overload: which waiting steps are delayed for the others.
//!
//! Steps are planned in the order of their latest starts. If one would start too late after those
//! before it, the step whose delay costs callers least is delayed: that of an organisation over its
//! share first, then the one whose job takes the most capacity. This is the rule of Moore and
//! Hodgson for the fewest late jobs, with shares. A site where everything fits delays none.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;

use crate::JobId;
use crate::QueueName;
use crate::Resources;
use crate::Scheduler;
use crate::ServiceName;
use crate::job::Job;
use crate::lateness::Lateness;
use crate::scheduler::occupied_resources;
use crate::shares::Load;
use crate::shares::Shares;
use crate::shares::StepUsage;
use crate::shares::total_resources;
use crate::shares::used_shares;
use crate::waiting::WaitingStep;

/// The part of a service's capacity on which large jobs that have waited for long enough are not
/// bypassed. The largest third of the jobs of a kind makes up half of its work; at half of the
/// capacity that all jobs need, a quarter serves half of that third.
const PROTECTED_DIVISOR: u64 = 4;

/// The turn of a step among those of its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Turn {
    /// The job is large for its queue, has waited for long enough and is not bypassed again.
    Protected,
    /// The job can be on time.
    OnTime,
    /// The job could be on time, but would make others late.
    OnTimeDelayed(DelayCost),
    /// The job will be late.
    Late,
    /// The job is late, and would make others useless.
    LateDelayed(DelayCost),
}

/// What the delay of a step costs its caller; the highest cost is the least value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DelayCost {
    /// The organisation is over its share.
    over_share: bool,
    /// The time that the whole service would take for what is left of the job. Jobs of a priority
    /// count as equally valuable, so the job with the least work has the most value for it.
    work: Duration,
}

impl Turn {
    pub(crate) const fn of(lateness: Lateness) -> Self {
        match lateness {
            Lateness::OnTime(_) => Self::OnTime,
            Lateness::Late(_) | Lateness::Overdue(_) => Self::Late,
        }
    }

    const fn delayed(self, cost: DelayCost) -> Self {
        match self {
            Self::OnTime => Self::OnTimeDelayed(cost),
            _ => Self::LateDelayed(cost),
        }
    }
}

/// A step that may be delayed for others.
struct Candidate {
    organisation: Organisation,
    resources: Resources,
    load: Load,
    work: Duration,
}

/// The steps that compete with each other; others go before or after all of them.
type Class = (bool, u32, bool, Turn);

/// The planned steps of one service.
struct ServicePlan {
    capacity: Resources,
    shares: Shares,
    class: Option<Class>,
    /// The load that goes before all steps of the class.
    fixed: Load,
    /// The load of the planned steps of the class, and of its delayed ones.
    planned: Load,
    delayed_load: Load,
    candidates: BTreeMap<usize, Candidate>,
    /// The candidates, the one with the most work last; also by organisation.
    by_work: BTreeSet<(Duration, usize)>,
    by_organisation: BTreeMap<Organisation, BTreeSet<(Duration, usize)>>,
    delayed: Vec<(usize, DelayCost)>,
}

impl ServicePlan {
    const fn new(capacity: Resources, shares: Shares) -> Self {
        Self {
            capacity,
            shares,
            class: None,
            fixed: Load::NONE,
            planned: Load::NONE,
            delayed_load: Load::NONE,
            candidates: BTreeMap::new(),
            by_work: BTreeSet::new(),
            by_organisation: BTreeMap::new(),
            delayed: Vec::new(),
        }
    }

    /// Begins the next class of steps, which go after all those of the last.
    fn enter(&mut self, class: Class) {
        if self.class == Some(class) {
            return;
        }
        self.class = Some(class);
        self.fixed = self.fixed.plus(self.planned).plus(self.delayed_load);
        self.planned = Load::NONE;
        self.delayed_load = Load::NONE;
        self.candidates.clear();
        self.by_work.clear();
        self.by_organisation.clear();
    }

    fn add_fixed(&mut self, load: Load) {
        self.fixed = self.fixed.plus(load);
    }

    /// Plans a step that should start within `slack`, and delays as many as necessary for it.
    ///
    /// On a full site work starts as fast as running work ends, so a step starts once the capacity
    /// has taken the load before it.
    fn plan(&mut self, index: usize, candidate: Candidate, slack: Duration) {
        let load = candidate.load;
        let fits_at_all = self.fixed.time_on(self.capacity) <= slack;
        self.insert(index, candidate);
        while !fits_at_all || self.wait_of_next(load) > slack {
            let over_share = self.shares.over_share();
            let least = if fits_at_all {
                self.least_valuable(&over_share)
            } else {
                Some(index)
            };
            let Some(least) = least else { return };
            self.delay(least, &over_share);
            if least == index {
                return;
            }
        }
    }

    /// Returns the time that the capacity takes for what goes before the last planned step.
    fn wait_of_next(&self, load: Load) -> Duration {
        let before = self.fixed.plus(self.planned).minus(load);
        before.time_on(self.capacity)
    }

    fn insert(&mut self, index: usize, candidate: Candidate) {
        let key = (candidate.work, index);
        self.by_work.insert(key);
        self.by_organisation
            .entry(candidate.organisation.clone())
            .or_default()
            .insert(key);
        self.planned = self.planned.plus(candidate.load);
        self.candidates.insert(index, candidate);
    }

    /// Returns the planned step whose delay costs callers least.
    fn least_valuable(&self, over_share: &[Organisation]) -> Option<usize> {
        let over_share = over_share.iter();
        let mut of_heaviest =
            over_share.filter_map(|organisation| self.by_organisation.get(organisation)?.last());
        let least = of_heaviest.next().or_else(|| self.by_work.last());
        least.map(|(_, index)| *index)
    }

    fn delay(&mut self, index: usize, over_share: &[Organisation]) {
        let Some(candidate) = self.candidates.remove(&index) else {
            return;
        };
        let key = (candidate.work, index);
        self.by_work.remove(&key);
        if let Some(of_organisation) = self.by_organisation.get_mut(&candidate.organisation) {
            of_organisation.remove(&key);
        }
        self.planned = self.planned.minus(candidate.load);
        self.delayed_load = self.delayed_load.plus(candidate.load);
        self.shares
            .delay(&candidate.organisation, candidate.resources);
        let cost = DelayCost {
            over_share: over_share.contains(&candidate.organisation),
            work: candidate.work,
        };
        self.delayed.push((index, cost));
    }
}

/// Returns the weight of all work of a job, which tells large jobs from small ones.
fn job_weight(job: &Job) -> u64 {
    job.accepted.description.steps.weight()
}

/// Returns true if the job has waited for half as long again as its objective and can still be of
/// use. Protecting jobs from the end of their objective on made more small ones late than it gained.
fn is_protected(job: &Job, lateness: Lateness, wall: Timestamp) -> bool {
    let Some(objective) = job.rules.objective else {
        return false;
    };
    let limit = objective.limit(job.accepted.description.critical_path());
    // Useful until three times the objective, of which half is left then.
    matches!(lateness, Lateness::Late(until) if until.since(wall) < limit * 3 / 2)
}

impl Scheduler {
    /// Sorts the waiting steps into the order in which they are placed.
    pub(crate) fn sort_steps(
        &self,
        steps: &mut [WaitingStep],
        guaranteed_jobs: &BTreeSet<JobId>,
        wall: Timestamp,
    ) {
        sort(steps);
        // Without an objective nothing is late, and steps keep the order of their arrival.
        if self.may_have_excess(steps, wall) {
            let usage = self.step_usage();
            if self.delay_excess(steps, &usage, guaranteed_jobs, wall) {
                self.protect_longest_waiting(steps, &usage, guaranteed_jobs, wall);
                sort(steps);
            }
        }
    }

    /// Returns how long the step may wait and still be on time, or of use if it is late; `None` if
    /// it is not delayed for others.
    fn tolerable_wait(&self, step: &WaitingStep, wall: Timestamp) -> Option<Duration> {
        if step.guaranteed || !step.can_be_of_use || step.slack == Duration::MAX {
            return None;
        }
        match step.lateness {
            Lateness::OnTime(_) => Some(step.slack),
            Lateness::Late(useful_until) => {
                let job = self.jobs.get(&step.step.job)?;
                let description = &job.accepted.description;
                let run_time = description.critical_path_from(step.step.step);
                Some(useful_until.since(wall).saturating_sub(run_time))
            }
            Lateness::Overdue(_) => None,
        }
    }

    /// Returns false if no step can be delayed, by a check that costs less than the plan: without
    /// tasks that last, the capacity takes all waiting work before the first latest start.
    fn may_have_excess(&self, steps: &[WaitingStep], wall: Timestamp) -> bool {
        let mut services: BTreeMap<&ServiceName, (Load, Duration)> = BTreeMap::new();
        for step in steps {
            let Some(job) = self.jobs.get(&step.step.job) else {
                continue;
            };
            let run_time = Self::planned_run_time(&job.accepted, step.description());
            let load = Load::new(waiting_resources(step), run_time);
            let first = (Load::NONE, Duration::MAX);
            let (total, least_wait) = services.entry(&job.rules.service).or_insert(first);
            *total = total.plus(load);
            if let Some(wait) = self.tolerable_wait(step, wall) {
                *least_wait = (*least_wait).min(wait);
            }
        }
        services.retain(|_, (_, least_wait)| *least_wait < Duration::MAX);
        if services.is_empty() {
            return false;
        }
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        let mut jobs = jobs.filter(|job| services.contains_key(&job.rules.service));
        if jobs.any(|job| job.accepted.description.steps.has_long_running()) {
            return true;
        }
        services.into_iter().any(|(service, (total, least_wait))| {
            total.time_on(self.service_capacity(service, &[])) > least_wait
        })
    }

    /// Marks the steps that are delayed; returns true if there are any.
    fn delay_excess(
        &self,
        steps: &mut [WaitingStep],
        usage: &[StepUsage<'_>],
        guaranteed_jobs: &BTreeSet<JobId>,
        wall: Timestamp,
    ) -> bool {
        let mut plans: BTreeMap<ServiceName, ServicePlan> = BTreeMap::new();
        for (index, step) in steps.iter().enumerate() {
            let Some(job) = self.jobs.get(&step.step.job) else {
                continue;
            };
            let service = &job.rules.service;
            if !plans.contains_key(service) {
                let plan = self.service_plan(service, steps, usage, guaranteed_jobs);
                plans.insert(service.clone(), plan);
            }
            let Some(plan) = plans.get_mut(service) else {
                continue;
            };
            plan.enter(step.class());
            if !self.competes_for_capacity(job, step.description()) {
                continue;
            }
            let resources = waiting_resources(step);
            let run_time = Self::planned_run_time(&job.accepted, step.description());
            let load = Load::new(resources, run_time);
            let Some(wait) = self.tolerable_wait(step, wall) else {
                plan.add_fixed(load);
                continue;
            };
            let candidate = Candidate {
                organisation: step.organisation.clone(),
                resources,
                load,
                work: Self::job_load(&job.accepted, step.step.step).time_on(plan.capacity),
            };
            plan.plan(index, candidate, wait);
        }
        let delayed = plans.into_values().flat_map(|plan| plan.delayed);
        let mut is_overloaded = false;
        for (index, cost) in delayed {
            if let Some(step) = steps.get_mut(index) {
                step.turn = step.turn.delayed(cost);
                is_overloaded = true;
            }
        }
        is_overloaded
    }

    /// Starts the plan of a service, with what organisations use and wait for.
    fn service_plan(
        &self,
        service: &ServiceName,
        steps: &[WaitingStep],
        usage: &[StepUsage<'_>],
        guaranteed_jobs: &BTreeSet<JobId>,
    ) -> ServicePlan {
        let capacity = self.service_capacity(service, usage);
        let mut shares = used_shares(service, capacity, usage, guaranteed_jobs);
        for step in steps.iter().filter(|step| !step.guaranteed) {
            let job = self.jobs.get(&step.step.job);
            if job.is_some_and(|job| job.rules.service == *service) {
                shares.add(&step.organisation, waiting_resources(step));
            }
        }
        ServicePlan::new(capacity, shares)
    }

    /// Marks the large late jobs that are not bypassed again, on a part of the capacity of each service.
    fn protect_longest_waiting(
        &self,
        steps: &mut [WaitingStep],
        usage: &[StepUsage<'_>],
        guaranteed_jobs: &BTreeSet<JobId>,
        wall: Timestamp,
    ) {
        let mean_loads = self.mean_loads(steps);
        let mut left: BTreeMap<ServiceName, Resources> = BTreeMap::new();
        // Steps are in the order of their priorities, and late ones in that of their deadlines.
        for step in steps.iter_mut() {
            let Some(job) = self.jobs.get(&step.step.job) else {
                continue;
            };
            let is_large = || {
                let mean = mean_loads.get(&job.accepted.queue);
                mean.is_some_and(|mean| job_weight(job) > *mean)
            };
            if step.guaranteed
                || !step.can_be_of_use
                || !is_protected(job, step.lateness, wall)
                || !is_large()
            {
                continue;
            }
            let service = &job.rules.service;
            if !left.contains_key(service) {
                let part = self.protected_capacity(service, usage, guaranteed_jobs, wall);
                left.insert(service.clone(), part);
            }
            let Some(left) = left.get_mut(service) else {
                continue;
            };
            // The last one may exceed the part, or a job larger than it would never be protected.
            let needed = waiting_resources(step);
            if has_some_of_each(*left, needed) {
                *left = left.minus(needed);
                step.turn = Turn::Protected;
            }
        }
    }

    /// Returns the mean weight of the loads of the waiting jobs of each queue.
    fn mean_loads(&self, steps: &[WaitingStep]) -> BTreeMap<QueueName, u64> {
        let mut sums: BTreeMap<QueueName, (u64, u64)> = BTreeMap::new();
        let mut last = None;
        for step in steps {
            // The steps of a job are adjacent unless others have the same place in the order.
            if last.replace(&step.step.job) == Some(&step.step.job) {
                continue;
            }
            if let Some(job) = self.jobs.get(&step.step.job) {
                let sum = sums.entry(job.accepted.queue.clone()).or_default();
                *sum = (sum.0.saturating_add(job_weight(job)), sum.1 + 1);
            }
        }
        let means = sums.into_iter();
        means
            .map(|(queue, (sum, count))| (queue, sum / count))
            .collect()
    }

    /// Returns what is left of the protected part of a service's capacity.
    fn protected_capacity(
        &self,
        service: &ServiceName,
        usage: &[StepUsage<'_>],
        guaranteed_jobs: &BTreeSet<JobId>,
        wall: Timestamp,
    ) -> Resources {
        let capacity = self.service_capacity(service, usage);
        let part = Resources {
            cpu_millis: capacity.cpu_millis / PROTECTED_DIVISOR,
            memory_mb: capacity.memory_mb / PROTECTED_DIVISOR,
            accelerators: capacity.accelerators / PROTECTED_DIVISOR,
        };
        let protected = usage.iter().filter(|used| {
            let job = used.job;
            job.rules.service == *service
                && !guaranteed_jobs.contains(job.id())
                && is_protected(
                    job,
                    Lateness::of(job, used.step, &self.run_times, wall),
                    wall,
                )
        });
        protected.fold(part, |left, used| left.minus(used.resources))
    }
}

impl WaitingStep {
    const fn class(&self) -> Class {
        (
            !self.can_be_of_use && !self.guaranteed,
            self.priority,
            !self.guaranteed,
            self.turn,
        )
    }
}

/// Returns the resources of all waiting tasks of a step.
fn waiting_resources(step: &WaitingStep) -> Resources {
    let resources = occupied_resources(step.description());
    total_resources(resources, step.task_indices.len())
}

/// Returns true if some is left of each needed resource.
const fn has_some_of_each(left: Resources, needed: Resources) -> bool {
    (left.cpu_millis > 0 || needed.cpu_millis == 0)
        && (left.memory_mb > 0 || needed.memory_mb == 0)
        && (left.accelerators > 0 || needed.accelerators == 0)
}

/// Sorts steps by class. A step within a guarantee would preempt one beyond it, so it comes first
/// in its priority; one that is of no use any more goes behind all others.
fn sort(steps: &mut [WaitingStep]) {
    steps.sort_by(|a, b| {
        let key = |step: &WaitingStep| (step.class(), step.lateness, step.accepted_at);
        key(a).cmp(&key(b)).then_with(|| a.step.cmp(&b.step))
    });
}
