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
use crate::policy::placement::PlacementRequest;
use crate::policy::queue::ActiveJob;
use crate::policy::queue::Allocation;
use crate::policy::queue::HeadReservation;
use crate::policy::queue::Job;
use crate::policy::queue::JobHistories;
use crate::policy::queue::JobQueue;
use crate::policy::queue::Queued;
use crate::policy::queue::RampUp;
use crate::policy::queue::Reclaiming;
use crate::policy::queue::RunTimes;
use crate::policy::queue::WaitCause;
use crate::policy::queue::ZoneConfig;
use crate::policy::workers::JobId;
use crate::policy::workers::Occupancy;
use crate::policy::workers::Occupant;
use crate::policy::workers::WorkerPool;

/// Scheduling policy of one availability zone: decides which jobs start where and which are
/// evicted.
///
/// The caller reports worker and job events, calls [`ZonePolicy::decide`] after each event and when
/// [`ZonePolicy::next_wakeup`] is due, and carries out the decisions. The policy is deterministic:
/// the current time is always an argument, and equal calls give equal decisions.
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
    pub(super) zone_config: ZoneConfig,
    pub(super) queue: JobQueue,
    pub(super) reclaiming: BTreeMap<JobId, Job<Reclaiming>>,
    pub(super) active: BTreeMap<JobId, ActiveJob>,
    pub(super) ids: BTreeMap<RequestKey, JobId>,
    /// Running jobs that may be within a guarantee but are not bound to its blocks yet.
    pub(super) unbound_jobs: BTreeSet<JobId>,
    pub(super) histories: JobHistories,
    pub(super) run_times: RunTimes,
    /// Accelerators of each organisation's started and reclaiming jobs.
    pub(super) usage: BTreeMap<Organisation, u32>,
    pub(super) head: Option<HeadReservation>,
    pub(super) ramp_up: Option<RampUp>,
    /// Cache of whether a shape fits the empty zone, for one generation of the pool.
    pub(super) empty_zone_fits: BTreeMap<PlacementRequest, bool>,
    pub(super) empty_zone_fits_generation: u64,
    pub(super) first_input_at: Option<Timestamp>,
    pub(super) timers: BTreeSet<Timestamp>,
    /// Whether an input has changed since the last decision.
    pub(super) is_changed: bool,
    /// Whether the locations of guaranteed blocks have to be updated.
    pub(super) is_plan_changed: bool,
    /// When relocation of borrowers was last considered.
    pub(super) relocated_at: Option<Timestamp>,
    pub(super) checked_at: Option<Timestamp>,
    pub(super) violations: u64,
    next_id: u64,
}

impl ZonePolicy {
    /// Creates the policy of a zone without workers, jobs or configuration.
    #[must_use]
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            pool: WorkerPool::default(),
            plan: GuaranteePlan::default(),
            zone_config: ZoneConfig::default(),
            queue: JobQueue::default(),
            reclaiming: BTreeMap::new(),
            active: BTreeMap::new(),
            ids: BTreeMap::new(),
            unbound_jobs: BTreeSet::new(),
            histories: JobHistories::default(),
            run_times: RunTimes::default(),
            usage: BTreeMap::new(),
            head: None,
            ramp_up: None,
            empty_zone_fits: BTreeMap::new(),
            empty_zone_fits_generation: 0,
            first_input_at: None,
            timers: BTreeSet::new(),
            is_changed: false,
            is_plan_changed: false,
            relocated_at: None,
            checked_at: None,
            violations: 0,
            next_id: 0,
        }
    }

    /// Applies a configuration: guarantees, limits, defaults, closures and exclusions.
    pub fn set_config(&mut self, cfg: &FleetConfig, now: Timestamp) {
        let zone_config = ZoneConfig::from_fleet(&self.zone, cfg);
        if zone_config == self.zone_config {
            return;
        }
        self.is_changed = true;
        let was_closed = self.zone_config.closure_reason.is_some();
        if was_closed && zone_config.closure_reason.is_none() {
            self.ramp_up = Some(RampUp::new(now));
        }
        let are_guarantees_changed = zone_config.guarantees != self.zone_config.guarantees;
        let are_exclusions_changed = zone_config.exclusions != self.zone_config.exclusions;
        self.zone_config = zone_config;
        if are_exclusions_changed {
            self.apply_exclusions();
        }
        if are_guarantees_changed {
            let displaced_jobs = self
                .plan
                .set_block_counts(&self.zone_config.guarantees, &mut self.pool);
            for id in displaced_jobs {
                self.demote_to_borrower(id);
            }
            self.is_plan_changed = true;
        }
    }

    fn apply_exclusions(&mut self) {
        for id in self.pool.ids() {
            let worker = self.pool.get_mut(id);
            worker.excluded = self
                .zone_config
                .exclusions
                .contains_key(&worker.info.target);
        }
        self.is_plan_changed = true;
    }

    /// Unbinds a job from blocks that are no longer guaranteed; the job continues as a borrower.
    fn demote_to_borrower(&mut self, id: JobId) {
        if let Some(job) = self.active.get_mut(&id) {
            let allocation = job.allocation_mut();
            let blocks = std::mem::take(&mut allocation.blocks);
            let slots = allocation.slots.clone();
            self.plan.unbind(id, &blocks, &mut self.pool);
            self.pool
                .change_occupant(id, &slots, |occupant| occupant.is_guaranteed = false);
            self.unbound_jobs.insert(id);
        }
        self.cancel_reclaim(id, Timestamp::ZERO);
    }

    pub(super) fn next_job_id(&mut self) -> JobId {
        self.next_id += 1;
        JobId(self.next_id)
    }

    /// Schedules another decision at the given time.
    pub(super) fn wake_at(&mut self, at: Timestamp) {
        self.timers.insert(at);
    }

    pub(super) fn record_input(&mut self, now: Timestamp) -> Timestamp {
        self.is_changed = true;
        *self.first_input_at.get_or_insert(now)
    }

    pub(super) fn enqueue(&mut self, job: Job<Queued>) {
        let expected = self.run_times.expected(&job.spec);
        let weight = self.zone_config.defaults.completion_weight_percent;
        self.queue.push(job, expected, weight);
    }

    /// Marks the allocation's accelerators as occupied and adds them to the organisation's usage.
    pub(super) fn occupy(
        &mut self,
        id: JobId,
        spec: &JobSpec,
        allocation: &Allocation,
        state: Occupancy,
        now: Timestamp,
    ) {
        let occupant = Occupant {
            job: id,
            bits: 0,
            accelerators: spec.shape.accelerators(),
            state,
            is_guaranteed: allocation.is_guaranteed(),
            since: now,
            expected_end: now + self.run_times.expected(spec),
        };
        self.pool.occupy(&allocation.slots, &occupant);
        self.plan.bind(id, &allocation.blocks);
        let organisation = spec.key.organisation.clone();
        *self.usage.entry(organisation).or_default() += spec.shape.accelerators();
    }

    /// Reverts [`Self::occupy`].
    pub(super) fn vacate(&mut self, id: JobId, spec: &JobSpec, allocation: &Allocation) {
        self.pool.vacate(id, &allocation.slots);
        if self.plan.unbind(id, &allocation.blocks, &mut self.pool) {
            self.is_plan_changed = true;
        }
        if let Some(used) = self.usage.get_mut(&spec.key.organisation) {
            *used = used.saturating_sub(spec.shape.accelerators());
        }
        self.unbound_jobs.remove(&id);
        self.is_changed = true;
    }

    /// Puts a reclaiming job back into the queue and releases its reserved accelerators.
    pub(super) fn cancel_reclaim(&mut self, id: JobId, now: Timestamp) {
        if let Some(job) = self.reclaiming.remove(&id) {
            let spec = Arc::clone(&job.spec);
            let allocation = job.state.allocation.clone();
            self.vacate(id, &spec, &allocation);
            self.enqueue(job.requeue(now));
        }
    }

    /// Describes what a queued job waits for; `None` if the job isn't queued.
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

    /// Returns when [`Self::decide`] has to be called next unless an event occurs earlier.
    #[must_use]
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        if self.is_changed {
            return Some(now);
        }
        let timer = self.timers.first().copied();
        let next = [timer, self.queue.next_deadline()].into_iter().flatten();
        next.min().map(|at| at.max(now))
    }

    /// Number of invariant violations found since creation; nonzero only if the program has a bug.
    #[must_use]
    pub fn violation_count(&self) -> u64 {
        self.violations
    }

    /// Maximum duration of an eviction: a checkpoint followed by a stop.
    pub(super) fn eviction_limit(&self) -> Duration {
        self.zone_config.defaults.checkpoint_limit + self.zone_config.defaults.stop_limit
    }
}
