use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::FleetConfig;
use rattanwinch_types::JobSpec;
use rattanwinch_types::Organisation;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

use crate::policy::guarantees::GuaranteePlan;
use crate::policy::placement::Wanted;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::queue::HeadOfQueue;
use crate::policy::queue::Job;
use crate::policy::queue::JobHistories;
use crate::policy::queue::JobQueue;
use crate::policy::queue::Queued;
use crate::policy::queue::Reclaiming;
use crate::policy::queue::Refill;
use crate::policy::queue::Rules;
use crate::policy::queue::RunTimes;
use crate::policy::queue::WaitCause;
use crate::policy::workers::JobId;
use crate::policy::workers::Occupant;
use crate::policy::workers::Tenure;
use crate::policy::workers::WorkerPool;

/// The policy of one availability zone's decider: which job starts where, and which is evicted.
///
/// The caller reports what happens to workers and jobs, calls [`ZonePolicy::decide`] after each
/// change and when [`ZonePolicy::next_wakeup`] is due, and carries out the decisions. Every
/// point in time is an argument, and the same calls give the same decisions.
///
/// # Examples
///
/// ```
/// use rattanwinch_decisions::WorkerInfo;
/// use rattanwinch_decisions::ZonePolicy;
/// use rattanwinch_types::Timestamp;
///
/// let mut policy = ZonePolicy::new("zone-a".parse()?);
/// let worker = WorkerInfo {
///     target: "worker-1".parse()?,
///     rack: "rack-1".parse()?,
///     accelerators: 8,
/// };
/// policy.worker_ready(worker, Timestamp::ZERO);
/// assert!(policy.decide(Timestamp::ZERO).is_empty());
/// assert_eq!(policy.capacity().free_blocks, [0, 0, 0, 1]);
/// # Ok::<(), rattanwinch_types::InvalidName>(())
/// ```
#[derive(Clone, Debug)]
pub struct ZonePolicy {
    pub(super) zone: ZoneName,
    pub(super) pool: WorkerPool,
    pub(super) plan: GuaranteePlan,
    pub(super) rules: Rules,
    pub(super) queue: JobQueue,
    pub(super) reclaiming: BTreeMap<JobId, Job<Reclaiming>>,
    pub(super) active: BTreeMap<JobId, ActiveJob>,
    pub(super) ids: BTreeMap<RequestKey, JobId>,
    /// Restored jobs that may belong to a guarantee whose block isn't known yet.
    pub(super) unbound: BTreeSet<JobId>,
    pub(super) histories: JobHistories,
    pub(super) run_times: RunTimes,
    /// Accelerators of each organisation's started and reclaiming jobs.
    pub(super) usage: BTreeMap<Organisation, u32>,
    pub(super) head: Option<HeadOfQueue>,
    pub(super) refill: Option<Refill>,
    /// Whether a shape fits the empty zone, for the pool's generation.
    pub(super) possible: BTreeMap<Wanted, bool>,
    pub(super) possible_generation: u64,
    pub(super) first_seen: Option<Timestamp>,
    pub(super) timers: BTreeSet<Timestamp>,
    /// Something changed since the last decision.
    pub(super) is_changed: bool,
    /// Homes of guaranteed blocks have to be looked at.
    pub(super) is_plan_changed: bool,
    /// When moves of borrowers were last considered.
    pub(super) relocated_at: Option<Timestamp>,
    pub(super) checked_at: Option<Timestamp>,
    pub(super) violations: u64,
    next_id: u64,
}

impl ZonePolicy {
    /// The policy of a zone without workers, jobs or configuration.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            pool: WorkerPool::default(),
            plan: GuaranteePlan::default(),
            rules: Rules::default(),
            queue: JobQueue::default(),
            reclaiming: BTreeMap::new(),
            active: BTreeMap::new(),
            ids: BTreeMap::new(),
            unbound: BTreeSet::new(),
            histories: JobHistories::default(),
            run_times: RunTimes::default(),
            usage: BTreeMap::new(),
            head: None,
            refill: None,
            possible: BTreeMap::new(),
            possible_generation: 0,
            first_seen: None,
            timers: BTreeSet::new(),
            is_changed: false,
            is_plan_changed: false,
            relocated_at: None,
            checked_at: None,
            violations: 0,
            next_id: 0,
        }
    }

    /// Takes over a configuration: guarantees, limits, defaults, closures and exclusions.
    pub fn set_config(&mut self, cfg: &FleetConfig, now: Timestamp) {
        let rules = Rules::of(&self.zone, cfg);
        if rules == self.rules {
            return;
        }
        self.is_changed = true;
        let was_closed = self.rules.closure.is_some();
        if was_closed && rules.closure.is_none() {
            self.refill = Some(Refill::new(now));
        }
        let are_guarantees_changed = rules.guarantees != self.rules.guarantees;
        let are_exclusions_changed = rules.exclusions != self.rules.exclusions;
        self.rules = rules;
        if are_exclusions_changed {
            self.apply_exclusions();
        }
        if are_guarantees_changed {
            let dismissed = self.plan.set_counts(&self.rules.guarantees, &mut self.pool);
            for id in dismissed {
                self.lose_guarantee(id);
            }
            self.is_plan_changed = true;
        }
    }

    fn apply_exclusions(&mut self) {
        for id in self.pool.ids() {
            let worker = self.pool.get_mut(id);
            worker.excluded = self.rules.exclusions.contains_key(&worker.info.target);
        }
        self.is_plan_changed = true;
    }

    /// Makes a job within a guarantee a borrower, because its block is no longer guaranteed.
    fn lose_guarantee(&mut self, id: JobId) {
        if let Some(job) = self.active.get_mut(&id) {
            let allocation = job.allocation_mut();
            let blocks = std::mem::take(&mut allocation.blocks);
            let slots = allocation.slots.clone();
            self.plan.unbind(id, &blocks, &mut self.pool);
            self.pool
                .change_occupant(id, &slots, |occupant| occupant.is_guaranteed = false);
            self.unbound.insert(id);
        }
        self.give_up_reclaim(id, Timestamp::ZERO);
    }

    pub(super) fn next_job_id(&mut self) -> JobId {
        self.next_id += 1;
        JobId(self.next_id)
    }

    /// Lets the policy be asked again at the given time.
    pub(super) fn wake_at(&mut self, at: Timestamp) {
        self.timers.insert(at);
    }

    pub(super) fn see(&mut self, now: Timestamp) -> Timestamp {
        self.is_changed = true;
        *self.first_seen.get_or_insert(now)
    }

    pub(super) fn enqueue(&mut self, job: Job<Queued>) {
        let expected = self.run_times.expect(&job.spec);
        let weight = self.rules.defaults.completion_weight_percent;
        self.queue.push(job, expected, weight);
    }

    /// Marks the allocation's accelerators and counts them.
    pub(super) fn occupy(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        allocation: &Allocation,
        tenure: Tenure,
        now: Timestamp,
    ) {
        let occupant = Occupant {
            job: id,
            bits: 0,
            accelerators: spec.shape.accelerators(),
            tenure,
            is_guaranteed: allocation.is_guaranteed(),
            since: now,
            expected_end: now + self.run_times.expect(spec),
        };
        self.pool.occupy(&allocation.slots, &occupant);
        self.plan.bind(id, &allocation.blocks);
        let organisation = spec.key.organisation.clone();
        *self.usage.entry(organisation).or_default() += spec.shape.accelerators();
    }

    /// Undoes [`Self::occupy`].
    pub(super) fn vacate(&mut self, id: JobId, spec: &JobSpec, allocation: &Allocation) {
        self.pool.vacate(id, &allocation.slots);
        if self.plan.unbind(id, &allocation.blocks, &mut self.pool) {
            self.is_plan_changed = true;
        }
        if let Some(used) = self.usage.get_mut(&spec.key.organisation) {
            *used = used.saturating_sub(spec.shape.accelerators());
        }
        self.unbound.remove(&id);
        self.is_changed = true;
    }

    /// Puts a job that waits for evictions back into the queue.
    pub(super) fn give_up_reclaim(&mut self, id: JobId, now: Timestamp) {
        if let Some(job) = self.reclaiming.remove(&id) {
            let spec = Arc::clone(&job.spec);
            let allocation = job.state.allocation.clone();
            self.vacate(id, &spec, &allocation);
            self.enqueue(job.give_up(now));
        }
    }

    /// What a queued job waits for, in a sentence; `None` if it isn't queued.
    #[must_use]
    pub fn wait_reason(&self, key: &RequestKey) -> Option<Arc<str>> {
        let id = self.ids.get(key)?;
        if let Some(job) = self.reclaiming.get(id) {
            let cause = WaitCause::Reclaiming(job.spec.key.organisation.clone());
            return Some(Arc::from(cause.to_string()));
        }
        let job = self.queue.get(*id)?;
        Some(Arc::from(job.state.cause.to_string()))
    }

    /// When the policy has to be asked again if nothing happens before.
    #[must_use]
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        if self.is_changed {
            return Some(now);
        }
        let timer = self.timers.first().copied();
        let next = [timer, self.queue.next_deadline()].into_iter().flatten();
        next.min().map(|at| at.max(now))
    }

    /// How often an invariant was found broken since the policy was made; it stays at zero
    /// unless the program has a fault.
    #[must_use]
    pub fn violation_count(&self) -> u64 {
        self.violations
    }

    /// The longest time that an eviction takes: the checkpoint, then the stop.
    pub(super) fn eviction_limit(&self) -> Duration {
        self.rules.defaults.checkpoint_limit + self.rules.defaults.stop_limit
    }
}
