//! Admission control: refuses jobs that cannot end while they are of use to their callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::AcceptedJob;
use crate::Event;
use crate::JobId;
use crate::Resources;
use crate::Scheduler;
use crate::ServiceName;
use crate::StepDescription;
use crate::lateness::useful_time;
use crate::placement::Demand;
use crate::room::Room;
use crate::scheduler::occupied_resources;
use crate::shares::Load;
use crate::shares::Shares;
use crate::shares::StepUsage;
use crate::shares::total_resources;
use crate::shares::used_shares;
use crate::waiting::WaitingStep;

/// The least time after which a refused job may be submitted again; the header that states it is in
/// whole seconds.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The longest time after which a refused job may be submitted again, by the users' requirements.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The time is longer by up to a third, so that refused callers do not return together.
const JITTER_DIVISOR: u32 = 3;

/// A new scheduler refuses nothing for this multiple of the age at which a report is outdated: each
/// target that is alive has reported by then, even if one report was lost.
const LEARNING_REPORT_AGES: u32 = 2;

value! { copy
    /// Whether a job is taken.
    pub enum Admission {
        /// The job is taken.
        Accepted,
        /// The job is not taken and does not run under this submission.
        Refused {
            /// When the job may be submitted again.
            retry_after: Duration,
            /// Why the job is refused.
            reason: RefusalReason,
        },
    }
}

value! { copy
    /// Why a job is refused.
    pub enum RefusalReason {
        /// The work ahead of the job takes longer than the job is of use.
        Overload,
        /// The same, and the organisation demands more than its share.
        OverShare,
    }
}

impl RefusalReason {
    /// The stable text used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::OverShare => "over_share",
        }
    }
}

/// A step that the last placement pass has left waiting.
#[derive(Clone, Debug)]
struct Blocked {
    service: ServiceName,
    organisation: Organisation,
    priority: u32,
    guaranteed: bool,
    can_be_of_use: bool,
    load: Load,
    resources: Resources,
    /// The load of what is left of the job.
    job_load: Load,
}

/// What admission control keeps from the last placement pass and the start of the scheduler.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backlog {
    /// The number of target instances with runs of a previous scheduler.
    pub inherited_instances: usize,
    blocked: Vec<Blocked>,
    /// The free resources after the last placement pass.
    room: Room,
}

impl Backlog {
    /// Begins the record of a placement pass.
    pub(crate) fn clear(&mut self) {
        self.blocked.clear();
    }

    /// Ends the record of a placement pass, with the resources that are left.
    pub(crate) fn set_room(&mut self, room: Room) {
        self.room = room;
    }
}

impl Scheduler {
    /// Records a step of which tasks are left waiting.
    pub(crate) fn record_blocked(&mut self, waiting: &WaitingStep, demand: &Demand) {
        let Some(job) = self.jobs.get(&waiting.step.job) else {
            return;
        };
        if !self.competes_for_capacity(job, waiting.description()) {
            return;
        }
        let resources = total_resources(demand.resources, demand.count);
        let run_time = Self::planned_run_time(&job.accepted, waiting.description());
        let blocked = Blocked {
            service: job.rules.service.clone(),
            organisation: waiting.organisation.clone(),
            priority: waiting.priority,
            guaranteed: waiting.guaranteed,
            can_be_of_use: waiting.can_be_of_use,
            load: Load::new(resources, run_time),
            resources,
            job_load: Self::job_load(&job.accepted, waiting.step.step),
        };
        self.backlog.blocked.push(blocked);
    }

    /// Decides whether to take a new job, to be called before [`Self::submit`].
    ///
    /// A job is refused if it could not end while it is of use even if all capacity were used
    /// without gaps for the work that goes before it. When in doubt it is taken.
    pub fn admit(&mut self, job: &AcceptedJob, now: Timestamp, wall: Timestamp) -> Admission {
        let Some(useful) = useful_time(job) else {
            return Admission::Accepted;
        };
        if job.description.recurrence.is_some()
            || job.description.steps.has_long_running()
            || self.is_learning(now)
            || self.backlog.blocked.is_empty()
            || self.could_start_now(job)
        {
            return Admission::Accepted;
        }
        let guaranteed_jobs = self.guaranteed_jobs();
        if self.is_within_guarantee(job, &guaranteed_jobs) {
            return Admission::Accepted;
        }
        let service = &job.rules.service;
        let usage = self.step_usage();
        let capacity = self.service_capacity(service, &usage);
        let shares = self.demanded_shares(service, capacity, &usage, &guaranteed_jobs);
        let over_share = shares.over_share();
        let own_load = Self::job_load(job, 0);
        let is_over = over_share.contains(&job.organisation);
        let goes_ahead = |blocked: &&Blocked| {
            let other_is_over = over_share.contains(&blocked.organisation);
            blocked.service == *service
                && (blocked.guaranteed
                    || (blocked.can_be_of_use
                        && (blocked.priority < job.rules.priority
                            || (blocked.priority == job.rules.priority
                                && (is_over && !other_is_over
                                    || is_over == other_is_over
                                        && blocked.job_load.time_on(capacity)
                                            <= own_load.time_on(capacity))))))
        };
        let ahead = self.backlog.blocked.iter().filter(goes_ahead);
        let ahead = ahead.fold(Load::NONE, |sum, blocked| sum.plus(blocked.load));
        let wait = ahead.time_on(capacity);
        let run_time = job
            .description
            .critical_path()
            .max(own_load.time_on(capacity));
        let waited = wall.since(job.accepted_at);
        let end = waited.saturating_add(wait).saturating_add(run_time);
        if wait.is_zero() || end <= useful {
            return Admission::Accepted;
        }
        let reason = if is_over {
            RefusalReason::OverShare
        } else {
            RefusalReason::Overload
        };
        // By then the work ahead takes as little time as the job may wait.
        let retry_after = retry_after(&job.id, end.saturating_sub(useful));
        self.record_event(Event::NotAdmitted {
            job: job.id.clone(),
            queue: job.queue.clone(),
            organisation: job.organisation.clone(),
            reason,
            wait_ms: millis(wait),
            useful_ms: millis(useful),
            retry_after_ms: millis(retry_after),
        });
        Admission::Refused {
            retry_after,
            reason,
        }
    }

    /// Returns true if the scheduler took over recently, or hasn't heard of half of the targets that
    /// it inherited.
    fn is_learning(&self, now: Timestamp) -> bool {
        let learning_time = self.limits.max_report_age * LEARNING_REPORT_AGES;
        now.since(self.started_at) < learning_time
            || self.unreported_instances.len() * 2 > self.backlog.inherited_instances
    }

    /// Returns true if one of the job's first steps may have room, by what the last pass left.
    fn could_start_now(&self, job: &AcceptedJob) -> bool {
        let service = &job.rules.service;
        job.description.steps.first_steps().is_none_or(|mut first| {
            first.any(|step| self.free_slots(step, service) >= u64::from(step.count))
        })
    }

    fn free_slots(&self, step: &StepDescription, service: &ServiceName) -> u64 {
        let resources = occupied_resources(step);
        let limit = step.max_per_target.map_or(u64::MAX, u64::from);
        let suitable = self.targets.iter().filter(|(_, target)| {
            let label = &step.required_label;
            target.description.service == *service
                && label.as_ref().is_none_or(|label| target.has_label(label))
        });
        let slots =
            suitable.map(|(name, _)| self.backlog.room.free(name).max_count(resources).min(limit));
        slots.fold(0, u64::saturating_add)
    }

    /// Returns true if the new job would be covered by its organisation's guarantee.
    fn is_within_guarantee(&self, job: &AcceptedJob, guaranteed_jobs: &BTreeSet<JobId>) -> bool {
        let Some(&guarantee) = self.rules.guarantees.get(&job.organisation) else {
            return false;
        };
        let covered = guaranteed_jobs.iter().filter_map(|id| self.jobs.get(id));
        let covered = covered
            .filter(|covered| covered.accepted.organisation == job.organisation)
            .map(|covered| covered.accepted.description.max_step_accelerators())
            .fold(0, u64::saturating_add);
        let required = job.description.max_step_accelerators();
        job.rules.priority == 0 && covered.saturating_add(required) <= guarantee
    }

    /// Returns what organisations use and wait for in a service beyond their guarantees.
    fn demanded_shares(
        &self,
        service: &ServiceName,
        capacity: Resources,
        usage: &[StepUsage<'_>],
        guaranteed_jobs: &BTreeSet<JobId>,
    ) -> Shares {
        let mut shares = used_shares(service, capacity, usage, guaranteed_jobs);
        let blocked = self.backlog.blocked.iter();
        for blocked in blocked.filter(|blocked| blocked.service == *service && !blocked.guaranteed)
        {
            shares.add(&blocked.organisation, blocked.resources);
        }
        shares
    }

    /// Returns the time that the capacity takes for the waiting work of each priority and those
    /// before it, for metrics.
    #[must_use]
    pub fn expected_waits(&self) -> BTreeMap<u32, Duration> {
        let mut waits: BTreeMap<u32, Duration> = self
            .rules
            .queues
            .values()
            .map(|queue| (queue.priority, Duration::ZERO))
            .collect();
        let usage = self.step_usage();
        for service in self.services() {
            let capacity = self.service_capacity(service, &usage);
            for (&priority, wait) in &mut waits {
                let ahead = self.backlog.blocked.iter().filter(|blocked| {
                    blocked.service == *service
                        && blocked.priority <= priority
                        && blocked.can_be_of_use
                });
                let ahead = ahead.fold(Load::NONE, |sum, blocked| sum.plus(blocked.load));
                *wait = (*wait).max(ahead.time_on(capacity));
            }
        }
        waits
    }

    /// Returns the largest share of any service that each organisation uses and waits for beyond
    /// its guarantee, in thousandths of the capacity, for metrics.
    #[must_use]
    pub fn organisation_shares(&self) -> BTreeMap<Organisation, u64> {
        let guaranteed_jobs = self.guaranteed_jobs();
        let mut largest: BTreeMap<Organisation, u64> = BTreeMap::new();
        let usage = self.step_usage();
        for service in self.services() {
            let capacity = self.service_capacity(service, &usage);
            let shares = self.demanded_shares(service, capacity, &usage, &guaranteed_jobs);
            for (organisation, share) in shares.all() {
                let largest = largest.entry(organisation.clone()).or_default();
                *largest = (*largest).max(share);
            }
        }
        largest
    }

    fn services(&self) -> BTreeSet<&ServiceName> {
        let queues = self.rules.queues.values();
        queues.map(|queue| &queue.service).collect()
    }
}

/// Returns the time after which a refused job may be submitted again, at least `needed` if that is
/// within the bounds.
fn retry_after(id: &JobId, needed: Duration) -> Duration {
    let longest = MAX_RETRY_AFTER * JITTER_DIVISOR / (JITTER_DIVISOR + 1);
    let base = needed.clamp(MIN_RETRY_AFTER, longest);
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let jitter = u32::try_from(hasher.finish() % 1000).unwrap_or(0);
    base + base / JITTER_DIVISOR * jitter / 1000
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
