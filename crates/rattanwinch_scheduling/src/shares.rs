//! The capacity of a service, the work that takes it, and the shares that organisations have in it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use smallvec::SmallVec;

use crate::AcceptedJob;
use crate::JobId;
use crate::Resources;
use crate::Scheduler;
use crate::ServiceName;
use crate::StepDescription;
use crate::StepId;
use crate::job::Job;
use crate::scheduler::occupied_resources;

/// An organisation may be over its share if it demands this part of what the average organisation
/// does, in per cent. Demands that differ less count as equal, so that the work that is delayed is
/// the work whose delay costs least.
const OVER_SHARE_PERCENT: u64 = 125;

/// Resources taken for a time, in units of each resource times milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    cpu: u64,
    memory: u64,
    accelerators: u64,
}

impl Load {
    pub(crate) const NONE: Self = Self {
        cpu: 0,
        memory: 0,
        accelerators: 0,
    };

    pub(crate) fn new(resources: Resources, time: Duration) -> Self {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        Self {
            cpu: resources.cpu_millis.saturating_mul(millis),
            memory: resources.memory_mb.saturating_mul(millis),
            accelerators: resources.accelerators.saturating_mul(millis),
        }
    }

    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    pub(crate) const fn minus(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the time that the capacity takes for the load if it is used without gaps; that of
    /// the scarcest resource. Zero without capacity, about which nothing can be said.
    pub(crate) fn time_on(self, capacity: Resources) -> Duration {
        let time = |load: u64, capacity: u64| load.checked_div(capacity).unwrap_or(0);
        let millis = time(self.cpu, capacity.cpu_millis)
            .max(time(self.memory, capacity.memory_mb))
            .max(time(self.accelerators, capacity.accelerators));
        Duration::from_millis(millis)
    }
}

/// Returns the resources of `count` tasks.
pub(crate) fn total_resources(resources: Resources, count: usize) -> Resources {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    Resources {
        cpu_millis: resources.cpu_millis.saturating_mul(count),
        memory_mb: resources.memory_mb.saturating_mul(count),
        accelerators: resources.accelerators.saturating_mul(count),
    }
}

/// What organisations use and wait for in one service beyond guarantees. All have equal weights,
/// since operators configure none.
#[derive(Clone, Debug)]
pub(crate) struct Shares {
    capacity: Resources,
    demands: BTreeMap<Organisation, Demand>,
}

/// What an organisation demands.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// What it uses and waits for.
    total: Resources,
    /// What it uses and is about to use: all of it but the delayed work.
    granted: Resources,
}

impl Shares {
    pub(crate) const fn new(capacity: Resources) -> Self {
        Self {
            capacity,
            demands: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, organisation: &Organisation, resources: Resources) {
        if let Some(demand) = self.demands.get_mut(organisation) {
            demand.total = demand.total.plus(resources);
            demand.granted = demand.granted.plus(resources);
        } else {
            let demand = Demand {
                total: resources,
                granted: resources,
            };
            self.demands.insert(organisation.clone(), demand);
        }
    }

    /// Takes delayed work out of what the organisation is about to use.
    pub(crate) fn delay(&mut self, organisation: &Organisation, resources: Resources) {
        if let Some(demand) = self.demands.get_mut(organisation) {
            demand.granted = demand.granted.minus(resources);
        }
    }

    /// Returns the share of the resource of which most is taken, in thousandths of the capacity.
    fn dominant(&self, taken: Resources) -> u64 {
        /// Larger demands count as this much, so that sums of shares cannot overflow.
        const MAX_SHARE: u64 = 1_000_000_000;
        let part = |taken: u64, capacity: u64| {
            let part = taken.saturating_mul(1000).checked_div(capacity);
            part.unwrap_or(0).min(MAX_SHARE)
        };
        part(taken.cpu_millis, self.capacity.cpu_millis)
            .max(part(taken.memory_mb, self.capacity.memory_mb))
            .max(part(taken.accelerators, self.capacity.accelerators))
    }

    /// Returns the share that each organisation demands, in thousandths of the capacity.
    pub(crate) fn all(&self) -> impl Iterator<Item = (&Organisation, u64)> {
        let demands = self.demands.iter();
        demands.map(|(organisation, demand)| (organisation, self.dominant(demand.total)))
    }

    /// Returns the organisations that demand considerably more than the average and are granted no
    /// less, the one that demands most first.
    pub(crate) fn over_share(&self) -> SmallVec<[Organisation; 4]> {
        let demands = self.demands.iter();
        let shares: SmallVec<[_; 8]> = demands
            .map(|(organisation, demand)| {
                let total = self.dominant(demand.total);
                (organisation, total, self.dominant(demand.granted))
            })
            .filter(|(_, total, _)| *total > 0)
            .collect();
        let count = u64::try_from(shares.len()).unwrap_or(u64::MAX);
        let all_total: u64 = shares.iter().map(|(_, total, _)| total).sum();
        let all_granted: u64 = shares.iter().map(|(_, _, granted)| granted).sum();
        let mut over: SmallVec<[_; 8]> = shares
            .into_iter()
            .filter(|(_, total, granted)| {
                total * count * 100 > all_total * OVER_SHARE_PERCENT
                    && granted * count >= all_granted
            })
            .collect();
        over.sort_by_key(|(_, total, _)| std::cmp::Reverse(*total));
        over.into_iter()
            .map(|(organisation, _, _)| organisation.clone())
            .collect()
    }
}

/// What the active runs of a step use.
pub(crate) struct StepUsage<'s> {
    pub step: &'s StepId,
    pub job: &'s Job,
    pub resources: Resources,
}

impl Scheduler {
    /// Returns the expected run time of a task of the job's step.
    pub(crate) fn planned_run_time(_job: &AcceptedJob, step: &StepDescription) -> Duration {
        step.estimated_run_time
    }

    /// Returns the load of the job's steps from number `first` on.
    pub(crate) fn job_load(job: &AcceptedJob, first: u32) -> Load {
        job.description.steps.load_from(first)
    }

    /// Returns true if a waiting step waits for capacity: some target can run its tasks, and neither
    /// the advisor nor a limit of its own holds it back.
    pub(crate) fn competes_for_capacity(&self, job: &Job, step: &StepDescription) -> bool {
        let required = occupied_resources(step);
        let label = step.required_label.as_ref();
        job.rules.advisor.is_none()
            && !step.long_running
            && step.max_per_target.is_none()
            && self.targets.values().any(|target| {
                let description = &target.description;
                description.service == job.rules.service
                    && label.is_none_or(|label| target.has_label(label))
                    && description.capacity.fits(required)
            })
    }

    /// Returns what the active runs of each step use.
    pub(crate) fn step_usage(&self) -> Vec<StepUsage<'_>> {
        let mut usage: Vec<StepUsage<'_>> = Vec::new();
        let mut last: Option<&StepId> = None;
        // Runs are ordered by task, so those of a step are adjacent.
        for (run, active) in self.active.iter() {
            let step = &run.task.step;
            if last == Some(step) {
                if let Some(usage) = usage.last_mut() {
                    usage.resources = usage.resources.plus(active.resources);
                }
                continue;
            }
            if let Some(job) = self.jobs.get(&step.job) {
                last = Some(step);
                usage.push(StepUsage {
                    step,
                    job,
                    resources: active.resources,
                });
            }
        }
        usage
    }

    /// Returns the capacity of a service's targets that may get new tasks, without that of tasks
    /// that run until they are cancelled.
    pub(crate) fn service_capacity(
        &self,
        service: &ServiceName,
        usage: &[StepUsage<'_>],
    ) -> Resources {
        let targets = self.targets.values();
        let usable = targets.filter(|target| {
            let description = &target.description;
            description.service == *service
                && !description.draining
                && self.closure(target).is_none()
        });
        let capacity = usable
            .map(|target| target.description.capacity)
            .fold(Resources::NONE, Resources::plus);
        let lasting = usage.iter().filter(|used| {
            let step = used.job.step(used.step.step);
            used.job.rules.service == *service && step.is_some_and(|step| step.long_running)
        });
        lasting.fold(capacity, |left, used| left.minus(used.resources))
    }
}

/// Returns what organisations use of a service beyond their guarantees.
pub(crate) fn used_shares(
    service: &ServiceName,
    capacity: Resources,
    usage: &[StepUsage<'_>],
    guaranteed_jobs: &BTreeSet<JobId>,
) -> Shares {
    let mut shares = Shares::new(capacity);
    let of_service = usage
        .iter()
        .filter(|used| used.job.rules.service == *service);
    for used in of_service.filter(|used| !guaranteed_jobs.contains(used.job.id())) {
        shares.add(&used.job.accepted.organisation, used.resources);
    }
    shares
}
