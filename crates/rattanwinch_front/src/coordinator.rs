mod admission;
mod calls;
mod commits;
mod passes;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_fleet::AgentReport;
use rattanwinch_fleet::CallerAnswer;
use rattanwinch_fleet::OrderResults;
use rattanwinch_fleet::Refusal;
use rattanwinch_fleet::ReportAnswer;
use rattanwinch_runtime::OUTCOME_TAG;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::Changes;
use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::JobState;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RemovalCause;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SilentInstances;
use rattanwinch_site_advisor::AdvisorClient;
use rattanwinch_types::Organisation;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::agents::Agents;
use crate::commands::Command;
use crate::committer::Committer;
use crate::coordinator::admission::RecentRefusals;
use crate::event_log::log_event;
use crate::event_log::record_stage;
use crate::front_state::FrontState;
use crate::learned_metrics::LearnedMetrics;
use crate::local_leader::LocalLeader;
use crate::published_jobs::PublishedJob;
use crate::records::AgentAddresses;
use crate::records::WaveRecord;
use crate::upkeep::Upkeep;

/// Interval at which timeouts and due times are checked when no command arrives, and thus the
/// maximum lateness of an action that has a due time.
const TICK_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of fronts that an agent is told of. A few that answer are enough to find the
/// leader.
const MAX_LISTED_FRONTS: usize = 32;

type PendingReplies = BTreeMap<JobId, Vec<(oneshot::Sender<CallerAnswer>, CallerAnswer)>>;

/// State that a leader takes over from its predecessor, besides the jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct InheritedState {
    /// Address of each VM's agent.
    pub agents: AgentAddresses,
    /// Silent target instances and the duration of their silence.
    pub silences: SilentInstances,
    /// Upkeep waves, by number.
    pub waves: BTreeMap<u32, WaveRecord>,
    /// Keys to delete, of jobs that a predecessor has removed in part.
    pub stale_keys: Vec<String>,
}

/// Runs the scheduler of a site.
///
/// Handles commands one by one, makes changes durable, then sends orders to agents.
pub(crate) struct Coordinator {
    state: Arc<FrontState>,
    local_leader: Arc<LocalLeader>,
    scheduler: Scheduler,
    agents: Agents,
    /// The fronts that agents are told of, this one included.
    fronts: Arc<[SocketAddr]>,
    /// The other fronts as `fronts` was made from them.
    listed_fronts: Option<Arc<BTreeSet<SocketAddr>>>,
    /// When this leader took over.
    elected_at: Timestamp,
    advisor: Option<AdvisorClient>,
    upkeep: Upkeep,
    /// `None` while a commit is in progress.
    committer: Option<Committer>,
    /// Submission bodies of jobs whose acceptance isn't durable yet.
    bodies: BTreeMap<JobId, Arc<str>>,
    /// Replies to send after the next commit.
    next_commit_replies: PendingReplies,
    /// Replies to send after the commit in progress.
    current_commit_replies: PendingReplies,
    /// Job states to publish after the commit in progress.
    pending_publication: BTreeMap<JobId, PublishedJob>,
    /// Ended jobs, and when this leader learnt of their end.
    ended: BTreeMap<JobId, Timestamp>,
    /// Keys to delete, of jobs that a predecessor has removed in part.
    stale_keys: Vec<String>,
    /// When the last slow placement pass was logged.
    slow_pass_logged_at: Option<Timestamp>,
    learned_metrics: LearnedMetrics,
    refusals: RecentRefusals,
}

impl Coordinator {
    pub(crate) fn new(
        state: Arc<FrontState>,
        local_leader: Arc<LocalLeader>,
        mut scheduler: Scheduler,
        committer: Committer,
        inherited: InheritedState,
    ) -> Self {
        scheduler.restore_silences(inherited.silences);
        let advisor = state.settings.advisor.map(AdvisorClient::new);
        let now = state.clock.now();
        let upkeep = Upkeep::new(&state, &local_leader, inherited.waves, now);
        let states = scheduler.job_states();
        let ended = states.filter(|(_, _, state)| state.is_final());
        let ended = ended.map(|(id, _, _)| (id.clone(), now)).collect();
        Self {
            state,
            local_leader,
            scheduler,
            agents: Agents::restore(inherited.agents),
            fronts: Arc::from([]),
            listed_fronts: None,
            elected_at: now,
            advisor,
            upkeep,
            committer: Some(committer),
            bodies: BTreeMap::new(),
            next_commit_replies: BTreeMap::new(),
            current_commit_replies: BTreeMap::new(),
            pending_publication: BTreeMap::new(),
            ended,
            stale_keys: inherited.stale_keys,
            slow_pass_logged_at: None,
            learned_metrics: LearnedMetrics::default(),
            refusals: RecentRefusals::default(),
        }
    }

    /// Runs until leadership is lost.
    pub(crate) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                _ = tick.tick() => None,
            };
            let is_tick = command.is_none();
            let mut next = command;
            while let Some(command) = next {
                if !self.handle(command) {
                    self.local_leader.leadership_lost.notify_one();
                    return;
                }
                next = commands.try_recv().ok();
            }
            self.run_cycle(is_tick);
        }
    }

    /// Handles one command; false if leadership is lost.
    fn handle(&mut self, command: Command) -> bool {
        let now = self.state.clock.now();
        match command {
            Command::Submit { job, body, reply } => self.handle_submit(job, body, reply),
            Command::Cancel {
                job,
                organisation,
                reply,
            } => self.handle_cancel(job, &organisation, reply),
            Command::Report { report, reply } => return self.handle_report(&report, reply, now),
            Command::AgentAnswered { runs, results } => {
                return self.handle_results(runs, results, now);
            }
            Command::Committed {
                changes,
                removed_jobs,
                committer,
            } => return self.handle_commit_result(&changes, &removed_jobs, committer),
            Command::AdvisorResponded {
                query,
                answer,
                sent_at,
            } => {
                self.scheduler
                    .handle_advisor_response(&query, answer, sent_at, now);
            }
            Command::Upkeep(event) => self.upkeep.handle(event, now),
            Command::OperatorOrdersUpdated => {
                if let Some(snapshot) = self.local_leader.orders.load_full() {
                    self.scheduler.set_rules(snapshot.orders.scheduling_rules());
                    let wall = self.state.clock.wall_time();
                    self.upkeep.set_waves(&snapshot.orders.waves, now, wall);
                }
            }
        }
        true
    }

    fn handle_submit(
        &mut self,
        job: Arc<AcceptedJob>,
        body: Arc<str>,
        reply: oneshot::Sender<CallerAnswer>,
    ) {
        let id = job.id.clone();
        if self.is_of_another_organisation(&id, &job.organisation) {
            return send_reply(reply, CallerAnswer::Refused(Refusal::OtherOrganisation));
        }
        if self.scheduler.job_state(&id).is_none() {
            if let Some(refusal) = self.refusal(&job) {
                return send_reply(reply, CallerAnswer::Refused(refusal));
            }
            info!(self.state.log, "job taken"; "job" => %id, "queue" => %job.queue,
                "organisation" => %job.organisation, "priority" => job.rules.priority,
                "steps" => job.description.steps.len(), "tasks" => job.description.task_count());
            self.bodies.insert(id.clone(), body);
            self.scheduler.submit(job);
        }
        self.reply_when_durable(id, reply, CallerAnswer::Accepted);
    }

    /// True if the job is known, durable or not, and another organisation has submitted it.
    fn is_of_another_organisation(&self, job: &JobId, organisation: &Organisation) -> bool {
        self.scheduler
            .job_organisation(job)
            .is_some_and(|submitter| submitter != organisation)
    }

    fn handle_cancel(
        &mut self,
        job: JobId,
        organisation: &Organisation,
        reply: oneshot::Sender<CallerAnswer>,
    ) {
        if self.is_of_another_organisation(&job, organisation) {
            return send_reply(reply, CallerAnswer::Refused(Refusal::OtherOrganisation));
        }
        if self.scheduler.cancel(&job) {
            info!(self.state.log, #OUTCOME_TAG, "job cancelled"; "job" => %job);
            self.reply_when_durable(job, reply, CallerAnswer::Cancelled);
        } else {
            send_reply(reply, CallerAnswer::Refused(Refusal::UnknownJob));
        }
    }

    /// Replies at once if the job has no uncommitted changes, else after the commit that includes
    /// them.
    fn reply_when_durable(
        &mut self,
        job: JobId,
        reply: oneshot::Sender<CallerAnswer>,
        answer: CallerAnswer,
    ) {
        if self.scheduler.has_uncommitted_changes(&job) {
            self.next_commit_replies
                .entry(job)
                .or_default()
                .push((reply, answer));
        } else if self.pending_publication.contains_key(&job) {
            self.current_commit_replies
                .entry(job)
                .or_default()
                .push((reply, answer));
        } else {
            send_reply(reply, answer);
        }
    }

    /// Handles an agent's report; false if the agent has seen a higher epoch.
    fn handle_report(
        &mut self,
        report: &AgentReport,
        reply: oneshot::Sender<ReportAnswer>,
        now: Timestamp,
    ) -> bool {
        if self.is_superseded(report) {
            return false;
        }
        self.apply_report(report, now);
        let instance = report
            .target
            .as_ref()
            .map(|target| &target.description.instance);
        let acknowledged =
            instance.map_or(0, |instance| self.scheduler.acknowledged_sequence(instance));
        let is_listed_silent = !self.scheduler.may_renew_leases(&report.agent.vm);
        if is_listed_silent {
            info!(self.state.log, "silent agent reported again; lease renewal not confirmed yet";
                "vm" => &*report.agent.vm);
        }
        let answer = ReportAnswer {
            epoch: self.local_leader.info.epoch,
            confirmed: self.local_leader.is_lease_confirmed(now) && !is_listed_silent,
            acknowledged,
            fronts: self.fronts_for(report),
        };
        // Delivery fails if the agent has stopped waiting; its next report gets a new answer.
        let _ = reply.send(answer);
        true
    }

    /// Returns true if the agent follows a later leader.
    fn is_superseded(&self, report: &AgentReport) -> bool {
        let epoch = self.local_leader.info.epoch;
        if report.epoch <= epoch {
            return false;
        }
        self.state.observe_epoch(report.epoch);
        warn!(self.state.log, "agent follows a scheduler with a higher epoch; stepping down";
            "epoch" => epoch, "later" => report.epoch, "vm" => &*report.agent.vm);
        true
    }

    /// The fronts that the answer to a report names; none if the agent knows them.
    fn fronts_for(&mut self, report: &AgentReport) -> Vec<SocketAddr> {
        let others = self.state.fronts.load_full();
        if self
            .listed_fronts
            .as_ref()
            .is_none_or(|listed| !Arc::ptr_eq(listed, &others))
        {
            let own = std::iter::once(self.state.address);
            // Addresses are ordered by zone; the steps spread the list over all of them.
            let step = others.len().div_ceil(MAX_LISTED_FRONTS).max(1);
            self.fronts = own.chain(others.iter().copied().step_by(step)).collect();
            self.listed_fronts = Some(others);
        }
        if self.agents.needs_fronts(report, &self.fronts) {
            self.fronts.to_vec()
        } else {
            Vec::new()
        }
    }

    /// Applies an agent's report, unless a newer one has been applied.
    fn apply_report(&mut self, report: &AgentReport, now: Timestamp) {
        if !self.agents.record_report(report, now) {
            return;
        }
        if let Some(instance) = &report.departed {
            self.scheduler.remove_instance(instance, RemovalCause::Left);
        }
        if let Some(instance) = &report.lapsed {
            self.scheduler
                .remove_instance(instance, RemovalCause::Unresponsive);
        }
        if let Some(target) = &report.target {
            self.scheduler.handle_report(target, now);
        }
    }

    /// Handles the results of orders; false if the agent has seen a higher epoch.
    fn handle_results(
        &mut self,
        runs: Vec<RunId>,
        results: Option<OrderResults>,
        now: Timestamp,
    ) -> bool {
        let Some(results) = results else {
            for run in runs {
                self.scheduler
                    .handle_order_outcome(&run, OrderOutcome::Unknown, None, now);
            }
            return true;
        };
        if let Some(report) = &results.report {
            if self.is_superseded(report) {
                return false;
            }
            self.apply_report(report, now);
        }
        let target = results
            .report
            .as_ref()
            .and_then(|report| report.target.as_ref());
        let reported = target.map(|target| &target.description.instance);
        for (run, outcome) in results.outcomes {
            self.scheduler
                .handle_order_outcome(&run, outcome, reported, now);
        }
        true
    }

    fn handle_commit_result(
        &mut self,
        changes: &Changes,
        removed_jobs: &[JobId],
        committer: Option<Committer>,
    ) -> bool {
        let Some(committer) = committer else {
            return false;
        };
        self.committer = Some(committer);
        self.scheduler.mark_committed(changes);
        let now = self.state.clock.now();
        let mut published = std::mem::take(&mut self.pending_publication);
        for (id, job) in &mut published {
            // The first task may have started during the commit.
            if job.state == JobState::Queued
                && self.scheduler.job_state(id) == Some(JobState::Running)
            {
                job.state = JobState::Running;
            }
            if job.state.is_final()
                && let Some(ended_at) = self.ended.get(id)
            {
                record_stage(
                    "showing",
                    u64::try_from(now.since(*ended_at).as_millis()).unwrap_or(u64::MAX),
                );
            }
        }
        self.local_leader
            .published_jobs
            .publish(published, removed_jobs);
        for (reply, answer) in std::mem::take(&mut self.current_commit_replies)
            .into_values()
            .flatten()
        {
            send_reply(reply, answer);
        }
        true
    }

    /// Exports the age of the data that scheduling decisions rely on as metrics.
    fn record_ages(&self, now: Timestamp) {
        let age = |of: &'static str, age: Duration| {
            metrics::gauge!("rattanwinch_age_seconds", "of" => of).set(age.as_secs_f64());
        };
        age(
            "store_confirmation",
            self.local_leader.confirmation_age(now),
        );
        if let Some(snapshot) = self.local_leader.orders.load_full() {
            age("operators_orders", now.since(snapshot.sent_at));
        }
        age("quietest_target", self.scheduler.longest_silence(now));
        metrics::gauge!("rattanwinch_targets").set(self.scheduler.target_count() as f64);
    }

    /// Makes scheduling decisions, commits changes, and sends the orders that are durable.
    ///
    /// Timeouts are checked with each tick only. Placement is the most expensive step by far, and
    /// most commands are progress reports, so it is skipped between ticks unless an event may let a
    /// task start.
    fn run_cycle(&mut self, is_tick: bool) {
        let now = self.state.clock.now();
        if is_tick {
            self.record_ages(now);
            self.learned_metrics.record(&self.scheduler);
            self.record_load(now);
            self.scheduler.expire_silent_targets(now);
        }
        let may_start_tasks = self.local_leader.may_start_tasks(now);
        self.scheduler.hold_starts(!may_start_tasks);
        if may_start_tasks {
            self.upkeep.run_due(&mut self.scheduler, now);
            if is_tick || self.scheduler.needs_placement() {
                self.place_tasks(now);
            }
        }
        if !self.local_leader.is_lease_confirmed(now) {
            self.scheduler.restart_silence_tracking(now);
        }
        self.commit(now);
        for orders in self.scheduler.take_due_orders(now) {
            self.send_orders(orders, now);
        }
        if let Some(query) = self.scheduler.next_advisor_query(now) {
            self.query_advisor(query, now);
        }
        for event in self.scheduler.take_events() {
            match &event {
                Event::JobStarted { job } => self.local_leader.published_jobs.publish_start(job),
                Event::Finished { job, .. } => {
                    self.ended.insert(job.clone(), now);
                }
                _ => {}
            }
            log_event(&self.state.log, &event);
        }
    }
}

fn send_reply(reply: oneshot::Sender<CallerAnswer>, answer: CallerAnswer) {
    // Delivery fails if the caller has stopped waiting; its request has been carried out all the
    // same.
    let _ = reply.send(answer);
}
