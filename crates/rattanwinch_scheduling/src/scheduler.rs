use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::AcceptedJob;
use crate::AdvisorQuery;
use crate::AdvisorResponse;
use crate::Event;
use crate::JobId;
use crate::JobProgress;
use crate::JobState;
use crate::PassWork;
use crate::ProgressPart;
use crate::QueueName;
use crate::Resources;
use crate::RunId;
use crate::SchedulingLimits;
use crate::SchedulingRules;
use crate::SilentInstances;
use crate::StepDescription;
use crate::StepId;
use crate::TargetInstance;
use crate::active_runs::ActiveRun;
use crate::active_runs::ActiveRuns;
use crate::active_runs::DesiredState;
use crate::admission::Backlog;
use crate::advisor_tickets::TicketCache;
use crate::job::Job;
use crate::reclaim::Reclaim;
use crate::reclaim::TaskGroup;
use crate::reclaim::Underway;
use crate::reservations::Reservations;
use crate::run_times::RunTimes;
use crate::silences::SilenceRecords;
use crate::target::Target;
use crate::target::Targets;
use crate::target_speeds::Speed;
use crate::target_speeds::TargetSpeeds;

/// Decides which task runs where and when, for all queues of a site.
///
/// The scheduler performs no I/O and reads no clock. Its owner makes each change durable before
/// acting on it: [`Self::take_changes`] returns the jobs whose state must be written,
/// [`Self::mark_committed`] confirms the write, and [`Self::take_due_orders`] returns only orders
/// whose placement is durable.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) limits: SchedulingLimits,
    pub(crate) rules: SchedulingRules,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs that have not reached a final state.
    pub(crate) open_jobs: BTreeSet<JobId>,
    pub(crate) targets: Targets,
    pub(crate) active: ActiveRuns,
    pub(crate) speeds: TargetSpeeds,
    pub(crate) run_times: RunTimes,
    pub(crate) backlog: Backlog,
    /// Room that is being made for waiting steps.
    pub(crate) reclaims: BTreeMap<TaskGroup, Reclaim<Underway>>,
    /// Room that is kept for blocked steps until runs have ended.
    pub(crate) reservations: Reservations,
    pub(crate) advisor_tickets: TicketCache,
    /// Targets that get no new tasks because their machines are about to go down.
    pub(crate) cordoned: BTreeSet<TargetName>,
    pub(crate) silence_records: SilenceRecords,
    /// No starts are ordered, not even for durable placements.
    pub(crate) starts_held: bool,
    /// Target instances with placements of a previous scheduler that have not reported to this one.
    pub(crate) unreported_instances: BTreeSet<TargetInstance>,
    /// An event since the last placement pass may let a waiting task start.
    placement_needed: bool,
    pub(crate) last_pass: PassWork,
    /// So many steps are ready that a pass looks at some of them only.
    pub(crate) takes_turns: bool,
    /// Since when each waiting step has been ready.
    pub(crate) ready_since: BTreeMap<StepId, Timestamp>,
    /// When this scheduler took over; the silence of unreported instances is measured from then.
    pub(crate) started_at: Timestamp,
    changed_jobs: BTreeSet<JobId>,
    /// Jobs with checkpoints or a first start that are not durable yet.
    pub(crate) unsaved_progress: BTreeSet<JobId>,
    next_progress_write_at: Timestamp,
    /// The sequence number of the last processed ended run of each target instance, until that run
    /// is durable.
    uncommitted_sequences: BTreeMap<TargetInstance, u64>,
    events: Vec<Event>,
}

/// Changes to be made durable together.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The jobs whose progress has changed.
    pub jobs: Vec<JobId>,
    /// The silent instances, which replace the stored list; `None` if unchanged.
    pub silent_instances: Option<SilentInstances>,
    /// The runs whose placements these changes make durable.
    pub(crate) runs: Vec<RunId>,
    /// The sequence number to acknowledge to each target instance.
    pub(crate) acknowledged: BTreeMap<TargetInstance, u64>,
}

impl Changes {
    /// Returns true if there is nothing to write and nothing to acknowledge.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.acknowledged.is_empty() && self.silent_instances.is_none()
    }
}

impl Scheduler {
    /// Creates a scheduler from the durable state.
    #[must_use]
    pub fn restore(
        limits: SchedulingLimits,
        rules: SchedulingRules,
        jobs: impl IntoIterator<Item = (Arc<AcceptedJob>, JobProgress)>,
        now: Timestamp,
    ) -> Self {
        let mut scheduler = Self {
            limits,
            rules: SchedulingRules::default(),
            jobs: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            targets: Targets::new(),
            active: ActiveRuns::default(),
            speeds: TargetSpeeds::default(),
            run_times: RunTimes::default(),
            backlog: Backlog::default(),
            reclaims: BTreeMap::new(),
            reservations: Reservations::default(),
            advisor_tickets: TicketCache::default(),
            cordoned: BTreeSet::new(),
            silence_records: SilenceRecords::default(),
            starts_held: false,
            unreported_instances: BTreeSet::new(),
            placement_needed: true,
            last_pass: PassWork::default(),
            takes_turns: false,
            ready_since: BTreeMap::new(),
            started_at: now,
            changed_jobs: BTreeSet::new(),
            unsaved_progress: BTreeSet::new(),
            next_progress_write_at: now,
            uncommitted_sequences: BTreeMap::new(),
            events: Vec::new(),
        };
        for (accepted, progress) in jobs {
            scheduler.restore_job(&accepted, progress, now);
        }
        scheduler.backlog.inherited_instances = scheduler.unreported_instances.len();
        scheduler.set_rules(rules);
        scheduler
    }

    fn restore_job(&mut self, accepted: &Arc<AcceptedJob>, progress: JobProgress, now: Timestamp) {
        let placed = progress.tasks.clone();
        let job = Job::restore(Arc::clone(accepted), progress);
        let is_final = job.state().is_final();
        for task in placed {
            let Some(instance) = task.placed_on else {
                continue;
            };
            let run = RunId {
                number: task.last_run,
                task: task.task,
            };
            let Some(step) = job.step(run.task.step.step) else {
                continue;
            };
            self.unreported_instances.insert(instance.clone());
            let desired = if is_final {
                DesiredState::Stop
            } else {
                DesiredState::Run
            };
            let resources = occupied_resources(step);
            let inherited = ActiveRun::inherited(instance, resources, desired, now);
            self.active.insert(run, inherited);
        }
        if !is_final {
            self.open_jobs.insert(accepted.id.clone());
        }
        self.jobs.insert(accepted.id.clone(), job);
    }

    /// Applies new operators' rules.
    pub fn set_rules(&mut self, rules: SchedulingRules) {
        for job in self.jobs.values_mut() {
            if let Some(queue) = rules.queues.get(&job.accepted.queue) {
                job.rules = queue.clone();
            }
        }
        self.rules = rules;
        self.placement_needed = true;
    }

    /// Returns true if an event since the last [`Self::place_tasks`] may let a task start.
    ///
    /// Changes caused by the passage of time alone, such as due times, are not covered; they
    /// require a placement pass a few times a second.
    #[must_use]
    pub const fn needs_placement(&self) -> bool {
        self.placement_needed
    }

    /// Returns what the last placement pass has looked at.
    #[must_use]
    pub const fn last_pass(&self) -> &PassWork {
        &self.last_pass
    }

    pub(crate) fn request_placement(&mut self) {
        self.placement_needed = true;
    }

    pub(crate) fn clear_placement_request(&mut self) {
        self.placement_needed = false;
    }

    /// Adds a job; the job is accepted once it is durable.
    pub fn submit(&mut self, accepted: Arc<AcceptedJob>) {
        let id = accepted.id.clone();
        let mut job = Job::new(accepted);
        job.mark_changed();
        self.jobs.insert(id.clone(), job);
        self.open_jobs.insert(id.clone());
        self.changed_jobs.insert(id);
        self.placement_needed = true;
    }

    /// Cancels a job; returns false if the job is unknown.
    pub fn cancel(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if !job.state().is_final() {
            job.cancelled = true;
            job.mark_changed();
            self.changed_jobs.insert(id.clone());
            self.close_if_final(id);
        }
        true
    }

    /// Removes a finished job; returns false if it is not finished or may have active runs.
    pub fn remove_finished_job(&mut self, id: &JobId) -> bool {
        let is_final = self.jobs.get(id).is_none_or(|job| job.state().is_final());
        let idle = !self.active.has_runs_of(id);
        if is_final && idle {
            self.jobs.remove(id);
        }
        is_final && idle
    }

    /// Returns the state of a job, durable or not.
    #[must_use]
    pub fn job_state(&self, id: &JobId) -> Option<JobState> {
        self.jobs.get(id).map(Job::state)
    }

    /// Returns the organisation that has submitted a job, durable or not.
    #[must_use]
    pub fn job_organisation(&self, id: &JobId) -> Option<&Organisation> {
        self.jobs.get(id).map(|job| &job.accepted.organisation)
    }

    /// Returns true if the job has changes that are not taken for commit yet.
    #[must_use]
    pub fn has_uncommitted_changes(&self, id: &JobId) -> bool {
        self.changed_jobs.contains(id)
    }

    /// Returns the record to write for a job in [`Changes::jobs`]: the parts of its progress that have
    /// changed since the last call. They must become durable in this order.
    pub fn take_job_record(&mut self, id: &JobId) -> Option<(Arc<AcceptedJob>, Vec<ProgressPart>)> {
        let job = self.jobs.get_mut(id)?;
        let parts = job.take_changed_parts();
        Some((Arc::clone(&job.accepted), parts))
    }

    /// Returns the numbers of the parts of a job's progress beyond the first that may be durable.
    pub fn written_parts(&self, id: &JobId) -> impl Iterator<Item = u32> {
        let job = self.jobs.get(id);
        job.into_iter().flat_map(Job::written_parts)
    }

    /// Returns the whole record of a job.
    #[must_use]
    pub fn job_record(&self, id: &JobId) -> Option<(Arc<AcceptedJob>, JobProgress)> {
        let job = self.jobs.get(id)?;
        Some((Arc::clone(&job.accepted), job.progress()))
    }

    /// Returns all jobs with their queues and states.
    pub fn job_states(&self) -> impl Iterator<Item = (&JobId, &QueueName, JobState)> {
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id, &job.accepted.queue, job.state()))
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns the changes since the last call, to be made durable.
    ///
    /// New checkpoints and first starts alone are batched: without the former work is lost if a
    /// target is lost as well, and the next scheduler learns the latter from the targets.
    pub fn take_changes(&mut self, now: Timestamp) -> Changes {
        if now >= self.next_progress_write_at && !self.unsaved_progress.is_empty() {
            self.next_progress_write_at = now + self.limits.progress_write_interval;
            for id in &self.unsaved_progress {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.save_checkpoints();
                }
            }
            self.changed_jobs.append(&mut self.unsaved_progress);
        }
        let silent_instances = self.take_silence_changes(now);
        let runs = self.active.unsettled();
        let runs = runs.filter(|(_, active)| !active.durable);
        Changes {
            silent_instances,
            runs: runs.map(|(run, _)| run.clone()).collect(),
            jobs: self.take_changed_jobs(),
            acknowledged: std::mem::take(&mut self.uncommitted_sequences),
        }
    }

    fn take_changed_jobs(&mut self) -> Vec<JobId> {
        let changed = std::mem::take(&mut self.changed_jobs);
        let jobs = &mut self.jobs;
        self.unsaved_progress.retain(|id| {
            let job = jobs.get_mut(id);
            !changed.contains(id) || job.is_some_and(Job::has_unsaved_parts)
        });
        changed.into_iter().collect()
    }

    /// Marks changes as durable: orders for their runs may be sent, ended runs acknowledged.
    pub fn mark_committed(&mut self, changes: &Changes) {
        for run in &changes.runs {
            if let Some(active) = self.active.get_mut(run) {
                active.durable = true;
            }
        }
        for (instance, &sequence) in &changes.acknowledged {
            if let Some(target) = self.targets.get_mut(&instance.target)
                && target.description.instance == *instance
            {
                target.acknowledged_sequence = target.acknowledged_sequence.max(sequence);
            }
        }
        if changes.silent_instances.is_some() {
            self.silence_records.mark_committed();
        }
    }

    /// Returns the highest sequence number of the durable ended runs, which the target may forget.
    #[must_use]
    pub fn acknowledged_sequence(&self, instance: &TargetInstance) -> u64 {
        let target = self.targets.get(&instance.target);
        let target = target.filter(|target| target.description.instance == *instance);
        target.map_or(0, |target| target.acknowledged_sequence)
    }

    /// Returns the next query for the advisor.
    pub fn next_advisor_query(&mut self, now: Timestamp) -> Option<AdvisorQuery> {
        self.advisor_tickets.next_query(now)
    }

    /// Handles the advisor's response; `None` if the query failed.
    pub fn handle_advisor_response(
        &mut self,
        query: &AdvisorQuery,
        response: Option<AdvisorResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.advisor_tickets
            .handle_response(query, response, sent_at, now);
        self.placement_needed = true;
    }

    /// Returns the expected latency of a query, from the advisor timing of the job's queue.
    #[must_use]
    pub fn expected_advisor_latency(&self, query: &AdvisorQuery) -> Option<Duration> {
        let job = self.jobs.get(&query.step.job)?;
        let timing = job.rules.advisor?;
        Some(TicketCache::expected_latency(timing, query.targets.len()))
    }

    /// Returns the longest time since the last report of any target.
    #[must_use]
    pub fn longest_silence(&self, now: Timestamp) -> Duration {
        let silences = self
            .targets
            .values()
            .map(|target| now.since(target.last_report_at));
        silences.max().unwrap_or_default()
    }

    /// Returns the number of known targets.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Returns the targets whose speed differs from the usual one.
    pub fn unusual_speeds(&self) -> impl Iterator<Item = (&TargetName, Speed)> {
        self.speeds.unusual()
    }

    /// Holds all starts, or orders them again. They are held while it isn't known whether the rules
    /// are still in force.
    pub const fn hold_starts(&mut self, held: bool) {
        self.starts_held = held;
    }

    /// Cordons these targets, which get no new tasks, and uncordons all others.
    pub fn cordon(&mut self, targets: BTreeSet<TargetName>) {
        self.placement_needed |= self.cordoned != targets;
        self.cordoned = targets;
    }

    /// Returns true if no run is or may become active on the target.
    #[must_use]
    pub fn is_target_idle(&self, target: &TargetName) -> bool {
        self.active.on_target(target).next().is_none()
    }

    /// Returns the resources in use on the target, in thousandths of a core with accelerators
    /// counted as cores.
    #[must_use]
    pub fn target_load(&self, target: &TargetName) -> u64 {
        let here = self.active.on_target(target);
        here.map(|(_, active)| active.resources.weighted_cpu_millis())
            .fold(0, u64::saturating_add)
    }

    pub(crate) fn record_event(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(crate) fn mark_changed(&mut self, job: &JobId) {
        self.changed_jobs.insert(job.clone());
    }

    /// Records that a target has confirmed a start of one of the job's tasks.
    pub(crate) fn mark_started(&mut self, job: &JobId) {
        let is_first = self.jobs.get_mut(job).is_some_and(Job::mark_started);
        if is_first {
            self.unsaved_progress.insert(job.clone());
            self.record_event(Event::JobStarted { job: job.clone() });
        }
    }

    pub(crate) fn mark_end_processed(&mut self, instance: &TargetInstance, sequence: u64) {
        let highest = self
            .uncommitted_sequences
            .entry(instance.clone())
            .or_default();
        *highest = (*highest).max(sequence);
    }

    /// Closes a job in a final state and stops its remaining runs.
    pub(crate) fn close_if_final(&mut self, id: &JobId) {
        let Some(state) = self.job_state(id).filter(|state| state.is_final()) else {
            return;
        };
        if !self.open_jobs.remove(id) {
            return;
        }
        self.forget_waiting_steps(id);
        self.record_event(Event::Finished {
            job: id.clone(),
            state,
        });
        // The remaining gang members of a completed job end by themselves.
        if state != JobState::Completed {
            self.active.stop_job(id);
        }
    }

    pub(crate) fn step(&self, step: &StepId) -> Option<&StepDescription> {
        self.jobs.get(&step.job)?.step(step.step)
    }

    pub(crate) fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }
}

/// Returns the resources that a task of the step occupies; no processor time if best-effort.
pub(crate) fn occupied_resources(step: &StepDescription) -> Resources {
    let mut resources = step.resources;
    if step.best_effort {
        resources.cpu_millis = 0;
    }
    resources
}
