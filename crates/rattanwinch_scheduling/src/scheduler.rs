use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use crate::AcceptedJob;
use crate::AdvisorQuery;
use crate::AdvisorResponse;
use crate::Event;
use crate::JobId;
use crate::JobProgress;
use crate::JobState;
use crate::QueueName;
use crate::Resources;
use crate::RunId;
use crate::SchedulingLimits;
use crate::SchedulingRules;
use crate::SilentInstances;
use crate::StepDescription;
use crate::StepId;
use crate::TargetInstance;
use crate::TaskId;
use crate::active_run::ActiveRun;
use crate::active_run::Intent;
use crate::advice::Advice;
use crate::job::Job;
use crate::silences::Silences;
use crate::target::Target;
use crate::target::Targets;

/// Decides which task runs where and when, for all queues of a site.
///
/// It does no I/O and reads no clock. Its owner makes each change durable before it acts on it:
/// [`Self::take_changes`] gives the jobs whose state has to be written, [`Self::mark_committed`] says
/// that it has been, and [`Self::take_due_orders`] gives only orders whose placement is durable.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) limits: SchedulingLimits,
    pub(crate) rules: SchedulingRules,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs with tasks that may still start.
    pub(crate) open: BTreeSet<JobId>,
    pub(crate) targets: Targets,
    pub(crate) active: BTreeMap<RunId, ActiveRun>,
    pub(crate) advice: Advice,
    /// Targets that get no new work because their machines are about to go down.
    pub(crate) resting: BTreeSet<TargetName>,
    pub(crate) silences: Silences,
    /// Lives with placements of the scheduler before that haven't been heard by this one.
    pub(crate) unheard: BTreeSet<TargetInstance>,
    /// Something has happened since the last placing that may let a waiting task start.
    news: bool,
    /// Since when the turn of a step's waiting tasks has come.
    pub(crate) ready_since: BTreeMap<StepId, Timestamp>,
    /// When this scheduler took over; earlier placements count from then.
    pub(crate) started_at: Timestamp,
    changed: BTreeSet<JobId>,
    /// Jobs with saved states that aren't durable yet.
    pub(crate) unsaved: BTreeSet<JobId>,
    save_at: Timestamp,
    /// Ends that have been processed but aren't durable yet.
    unacknowledged: BTreeMap<TargetInstance, u64>,
    events: Vec<Event>,
}

/// Changes that are to be made durable together.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The jobs whose progress has changed.
    pub jobs: Vec<JobId>,
    /// The instances that are silent, in place of those listed before.
    pub silent_instances: Option<SilentInstances>,
    pub(crate) runs: Vec<RunId>,
    pub(crate) acknowledged: BTreeMap<TargetInstance, u64>,
}

impl Changes {
    /// True if there is nothing to write and nothing to acknowledge.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.acknowledged.is_empty() && self.silent_instances.is_none()
    }
}

impl Scheduler {
    /// Starts from what is durable.
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
            open: BTreeSet::new(),
            targets: Targets::new(),
            active: BTreeMap::new(),
            advice: Advice::default(),
            resting: BTreeSet::new(),
            silences: Silences::default(),
            unheard: BTreeSet::new(),
            news: true,
            ready_since: BTreeMap::new(),
            started_at: now,
            changed: BTreeSet::new(),
            unsaved: BTreeSet::new(),
            save_at: now,
            unacknowledged: BTreeMap::new(),
            events: Vec::new(),
        };
        for (accepted, progress) in jobs {
            scheduler.restore_job(&accepted, progress, now);
        }
        scheduler.set_rules(rules);
        scheduler
    }

    fn restore_job(&mut self, accepted: &Arc<AcceptedJob>, progress: JobProgress, now: Timestamp) {
        let placed = progress.tasks.clone();
        let job = Job::restore(Arc::clone(accepted), progress);
        let over = job.state().is_final();
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
            self.unheard.insert(instance.clone());
            let inherited = ActiveRun {
                target: instance,
                resources: occupied(step),
                intent: if over { Intent::Stop } else { Intent::Run },
                durable: true,
                in_flight: false,
                maybe_sent: true,
                started: false,
                started_at: None,
                present: false,
                missing_since: None,
                placed_at: now,
                retry_at: now,
                percent: 0,
                progressed_at: now,
                ticket: None,
            };
            self.active.insert(run, inherited);
        }
        if !over {
            self.open.insert(accepted.id.clone());
        }
        self.jobs.insert(accepted.id.clone(), job);
    }

    /// Takes over what operators have ordered.
    pub fn set_rules(&mut self, rules: SchedulingRules) {
        for job in self.jobs.values_mut() {
            if let Some(queue) = rules.queues.get(&job.accepted.queue) {
                job.rules = queue.clone();
            }
        }
        self.rules = rules;
        self.news = true;
    }

    /// True if something has happened since the last [`Self::place_tasks`] that may let a task start.
    ///
    /// What only the passing of time brings, such as due times, is not told here; placing a few
    /// times a second takes care of that.
    #[must_use]
    pub const fn needs_placement(&self) -> bool {
        self.news
    }

    pub(crate) fn note_news(&mut self) {
        self.news = true;
    }

    pub(crate) fn clear_news(&mut self) {
        self.news = false;
    }

    /// Adds a job; it counts as accepted once it is durable.
    pub fn submit(&mut self, accepted: Arc<AcceptedJob>) {
        let id = accepted.id.clone();
        self.jobs.insert(id.clone(), Job::new(accepted));
        self.open.insert(id.clone());
        self.changed.insert(id);
        self.news = true;
    }

    /// Cancels a job; false if it isn't known.
    pub fn cancel(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        if !job.state().is_final() {
            job.cancelled = true;
            self.changed.insert(id.clone());
            self.close_if_final(id);
        }
        true
    }

    /// Forgets a job that has ended; false if something of it may still be at work.
    pub fn remove_finished_job(&mut self, id: &JobId) -> bool {
        let over = self.jobs.get(id).is_none_or(|job| job.state().is_final());
        let idle = !self.active.keys().any(|run| run.task.step.job == *id);
        if over && idle {
            self.jobs.remove(id);
        }
        over && idle
    }

    /// The state of a job, as far as the scheduler knows it, durable or not.
    #[must_use]
    pub fn job_state(&self, id: &JobId) -> Option<JobState> {
        self.jobs.get(id).map(Job::state)
    }

    /// True if something about the job waits to be made durable.
    #[must_use]
    pub fn has_uncommitted_changes(&self, id: &JobId) -> bool {
        self.changed.contains(id)
    }

    /// What is to be written for a job.
    #[must_use]
    pub fn job_record(&self, id: &JobId) -> Option<(Arc<AcceptedJob>, JobProgress)> {
        let job = self.jobs.get(id)?;
        Some((Arc::clone(&job.accepted), job.progress()))
    }

    /// Every job with its queue and state.
    pub fn job_states(&self) -> impl Iterator<Item = (&JobId, &QueueName, JobState)> {
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id, &job.accepted.queue, job.state()))
    }

    /// What the scheduler has decided since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// The changes since the last call, which are to be made durable.
    ///
    /// Saved states alone wait for a few others: they only spare work if a target is lost.
    pub fn take_changes(&mut self, now: Timestamp) -> Changes {
        if now >= self.save_at && !self.unsaved.is_empty() {
            self.save_at = now + self.limits.checkpoint_write_interval;
            self.changed.append(&mut self.unsaved);
        }
        let silent_instances = self.take_silences(now);
        let runs = self.active.iter().filter(|(_, active)| !active.durable);
        Changes {
            silent_instances,
            runs: runs.map(|(run, _)| run.clone()).collect(),
            jobs: self.take_changed(),
            acknowledged: std::mem::take(&mut self.unacknowledged),
        }
    }

    fn take_changed(&mut self) -> Vec<JobId> {
        let changed = std::mem::take(&mut self.changed);
        self.unsaved.retain(|job| !changed.contains(job));
        changed.into_iter().collect()
    }

    /// Notes that changes are durable: their runs may be ordered, their ends acknowledged.
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
                target.acknowledged = target.acknowledged.max(sequence);
            }
        }
        if changes.silent_instances.is_some() {
            self.silences.committed();
        }
    }

    /// The highest end of a target that is durable, which it may forget.
    #[must_use]
    pub fn acknowledged_sequence(&self, instance: &TargetInstance) -> u64 {
        let target = self.targets.get(&instance.target);
        let target = target.filter(|target| target.description.instance == *instance);
        target.map_or(0, |target| target.acknowledged)
    }

    /// The next question for the advisor.
    pub fn next_advisor_query(&mut self, now: Timestamp) -> Option<AdvisorQuery> {
        self.advice.question(now)
    }

    /// Takes the advisor's answer, `None` if there was none.
    pub fn handle_advisor_response(
        &mut self,
        question: &AdvisorQuery,
        answer: Option<AdvisorResponse>,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.advice.answered(question, answer, sent_at, now);
        self.news = true;
    }

    /// How long the advisor may take for a question, in the queue's own figures.
    #[must_use]
    pub fn expected_advisor_latency(&self, question: &AdvisorQuery) -> Option<Duration> {
        let job = self.jobs.get(&question.step.job)?;
        let times = job.rules.advisor?;
        Some(Advice::expected_time(times, question.targets.len()))
    }

    /// How long the target that was heard least lately has been silent.
    #[must_use]
    pub fn longest_silence(&self, now: Timestamp) -> Duration {
        let silences = self
            .targets
            .values()
            .map(|target| now.since(target.heard_at));
        silences.max().unwrap_or_default()
    }

    /// How many targets are known.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Keeps new work from these targets and no others.
    pub fn cordon(&mut self, targets: BTreeSet<TargetName>) {
        self.news |= self.resting != targets;
        self.resting = targets;
    }

    /// True if nothing runs or may still start on the target.
    #[must_use]
    pub fn is_target_idle(&self, target: &TargetName) -> bool {
        !self
            .active
            .values()
            .any(|active| active.target.target == *target)
    }

    /// The room that is in use on the target, in thousandths of a core; an accelerator counts as
    /// several cores.
    #[must_use]
    pub fn target_load(&self, target: &TargetName) -> u64 {
        let here = self
            .active
            .values()
            .filter(|active| active.target.target == *target);
        here.map(|active| active.resources.weighted_cpu_millis())
            .sum()
    }

    /// Stops what runs on the target, but for serving tasks of which too many are away already.
    pub fn evict_target(&mut self, target: &TargetName) {
        let here = self
            .active
            .iter()
            .filter(|(_, active)| active.target.target == *target);
        let runs: Vec<RunId> = here.map(|(run, _)| run.clone()).collect();
        for run in runs {
            if self.may_go_away(&run) {
                self.stop_runs(|other| *other == run);
            }
        }
    }

    /// True if the run's step allows one more of its tasks to be away.
    fn may_go_away(&self, run: &RunId) -> bool {
        let Some(job) = self.jobs.get(&run.task.step.job) else {
            return true;
        };
        let Some(most) = job
            .step(run.task.step.step)
            .and_then(|step| step.max_unavailable)
        else {
            return true;
        };
        let at_work = |task: &TaskId| {
            let runs = self.active.iter().filter(|(other, _)| other.task == *task);
            // A serving task is at work once it shows 100%.
            runs.clone().any(|(_, active)| {
                active.intent == Intent::Run && active.present && active.percent >= 100
            })
        };
        let others = job
            .step_tasks(&run.task.step)
            .filter(|task| *task != run.task);
        let away = others.filter(|task| !at_work(task)).count();
        !at_work(&run.task) || away < most as usize
    }

    pub(crate) fn note(&mut self, event: Event) {
        self.events.push(event);
    }

    pub(crate) fn mark_changed(&mut self, job: &JobId) {
        self.changed.insert(job.clone());
    }

    pub(crate) fn mark_processed(&mut self, instance: &TargetInstance, sequence: u64) {
        let highest = self.unacknowledged.entry(instance.clone()).or_default();
        *highest = (*highest).max(sequence);
    }

    /// Stops what is left of a job that has come to its end.
    pub(crate) fn close_if_final(&mut self, id: &JobId) {
        let Some(state) = self.job_state(id).filter(|state| state.is_final()) else {
            return;
        };
        if !self.open.remove(id) {
            return;
        }
        self.note(Event::Finished {
            job: id.clone(),
            state,
        });
        // The members of a gang whose job is done end by themselves.
        if state != JobState::Completed {
            self.stop_runs(|run| run.task.step.job == *id);
        }
    }

    pub(crate) fn stop_runs(&mut self, affected: impl Fn(&RunId) -> bool) {
        for (run, active) in &mut self.active {
            if affected(run) {
                active.intent = Intent::Stop;
            }
        }
    }

    pub(crate) fn step(&self, step: &StepId) -> Option<&StepDescription> {
        self.jobs.get(&step.job)?.step(step.step)
    }

    pub(crate) fn target(&self, name: &TargetName) -> Option<&Target> {
        self.targets.get(name)
    }
}

/// The room that a task of the step takes; a task that fills takes no processor time of its own.
pub(crate) fn occupied(step: &StepDescription) -> Resources {
    let mut resources = step.resources;
    if step.best_effort {
        resources.cpu_millis = 0;
    }
    resources
}
