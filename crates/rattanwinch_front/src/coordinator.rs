mod calls;
mod commits;

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
use rattanwinch_runtime::OUTCOME;
use rattanwinch_scheduling::AcceptedJob;
use rattanwinch_scheduling::Changes;
use rattanwinch_scheduling::Event;
use rattanwinch_scheduling::JobId;
use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RemovalCause;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::Scheduler;
use rattanwinch_scheduling::SilentInstances;
use rattanwinch_site_advisor::AdvisorClient;
use rattanwinch_types::Timestamp;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::agents::Agents;
use crate::commands::Command;
use crate::committer::Committer;
use crate::explain::explain;
use crate::explain::stage;
use crate::front_state::FrontState;
use crate::job_board::PublishedJob;
use crate::leading::Leading;
use crate::records::AgentAddresses;
use crate::records::WaveRecord;
use crate::upkeep::Upkeep;

/// How often time-outs and due times are looked at when nothing else happens. Due times may be
/// met late by this much.
const TICK: Duration = Duration::from_millis(150);

type Waiters = BTreeMap<JobId, Vec<(oneshot::Sender<CallerAnswer>, CallerAnswer)>>;

/// What a scheduler takes over from the one before, besides the jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inherited {
    /// Where the agents serve the scheduler.
    pub agents: AgentAddresses,
    /// How long lives of targets had been silent.
    pub silences: SilentInstances,
    /// The waves of upkeep, by their numbers.
    pub waves: BTreeMap<u32, WaveRecord>,
}

/// Runs the scheduler of a site: takes commands one by one, makes changes durable, then sends
/// orders.
pub(crate) struct Coordinator {
    state: Arc<FrontState>,
    leading: Arc<Leading>,
    scheduler: Scheduler,
    agents: Agents,
    /// When this scheduler took over.
    began_at: Timestamp,
    advisor: Option<AdvisorClient>,
    upkeep: Upkeep,
    /// `None` while a commit is on its way.
    committer: Option<Committer>,
    /// Bodies of jobs whose acceptance isn't durable yet.
    bodies: BTreeMap<JobId, Arc<str>>,
    /// Callers that wait for the next commit, and for the one on its way.
    waiting: Waiters,
    committing: Waiters,
    /// What the commit on its way will make public.
    unpublished: BTreeMap<JobId, PublishedJob>,
    /// Ended jobs and when this scheduler learnt of their end.
    ended: BTreeMap<JobId, Timestamp>,
}

impl Coordinator {
    pub(crate) fn new(
        state: Arc<FrontState>,
        leading: Arc<Leading>,
        mut scheduler: Scheduler,
        committer: Committer,
        inherited: Inherited,
    ) -> Self {
        scheduler.restore_silences(inherited.silences);
        let advisor = state.settings.advisor.map(AdvisorClient::new);
        let now = state.clock.now();
        let upkeep = Upkeep::new(&state, &leading, inherited.waves, now);
        let states = scheduler.job_states();
        let ended = states.filter(|(_, _, state)| state.is_final());
        let ended = ended.map(|(id, _, _)| (id.clone(), now)).collect();
        Self {
            state,
            leading,
            scheduler,
            agents: Agents::inherit(inherited.agents),
            began_at: now,
            advisor,
            upkeep,
            committer: Some(committer),
            bodies: BTreeMap::new(),
            waiting: BTreeMap::new(),
            committing: BTreeMap::new(),
            unpublished: BTreeMap::new(),
            ended,
        }
    }

    /// Runs until leadership is lost.
    pub(crate) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let command = tokio::select! {
                command = commands.recv() => command,
                _ = tick.tick() => None,
            };
            let ticked = command.is_none();
            let mut next = command;
            while let Some(command) = next {
                if !self.take(command) {
                    self.leading.lost.notify_one();
                    return;
                }
                next = commands.try_recv().ok();
            }
            self.act(ticked);
        }
    }

    /// Takes one command; false if leadership is lost.
    fn take(&mut self, command: Command) -> bool {
        let now = self.state.clock.now();
        match command {
            Command::Submit { job, body, reply } => self.submit(job, body, reply),
            Command::Cancel { job, reply } => self.cancel(job, reply),
            Command::Report { report, reply } => return self.report(&report, reply, now),
            Command::Ordered { runs, results } => self.ordered(runs, results, now),
            Command::Committed {
                changes,
                forgotten,
                committer,
            } => return self.committed(&changes, &forgotten, committer),
            Command::Advised {
                question,
                answer,
                sent_at,
            } => {
                self.scheduler
                    .handle_advisor_response(&question, answer, sent_at, now);
            }
            Command::Upkeep(event) => self.upkeep.take(event, now),
            Command::OrdersRead => {
                if let Some(read) = self.leading.orders.load_full() {
                    self.scheduler.set_rules(read.orders.scheduling_rules());
                    let wall = self.state.clock.wall();
                    self.upkeep.set_waves(&read.orders.waves, now, wall);
                }
            }
        }
        true
    }

    fn submit(
        &mut self,
        job: Arc<AcceptedJob>,
        body: Arc<str>,
        reply: oneshot::Sender<CallerAnswer>,
    ) {
        let id = job.id.clone();
        if self.scheduler.job_state(&id).is_none() {
            info!(self.state.log, "job taken"; "job" => %id, "queue" => %job.queue,
                "organisation" => %job.organisation, "priority" => job.rules.priority,
                "steps" => job.description.steps.len(), "tasks" => job.description.task_count());
            self.bodies.insert(id.clone(), body);
            self.scheduler.submit(job);
        }
        self.answer_when_durable(id, reply, CallerAnswer::Accepted);
    }

    fn cancel(&mut self, job: JobId, reply: oneshot::Sender<CallerAnswer>) {
        if self.scheduler.cancel(&job) {
            info!(self.state.log, #OUTCOME, "job cancelled"; "job" => %job);
            self.answer_when_durable(job, reply, CallerAnswer::Cancelled);
        } else {
            answer(reply, CallerAnswer::Refused(Refusal::UnknownJob));
        }
    }

    /// Answers at once if nothing about the job waits to be written, else after the next commit.
    fn answer_when_durable(
        &mut self,
        job: JobId,
        reply: oneshot::Sender<CallerAnswer>,
        what: CallerAnswer,
    ) {
        if self.scheduler.has_uncommitted_changes(&job) {
            self.waiting.entry(job).or_default().push((reply, what));
        } else if self.unpublished.contains_key(&job) {
            self.committing.entry(job).or_default().push((reply, what));
        } else {
            answer(reply, what);
        }
    }

    /// Takes a report; false if the agent obeys a later scheduler.
    fn report(
        &mut self,
        report: &AgentReport,
        reply: oneshot::Sender<ReportAnswer>,
        now: Timestamp,
    ) -> bool {
        let epoch = self.leading.info.epoch;
        if report.epoch > epoch {
            self.state.note_epoch(report.epoch);
            warn!(self.state.log, "an agent obeys a later scheduler"; "epoch" => epoch,
                "later" => report.epoch, "vm" => &*report.agent.vm);
            return false;
        }
        self.take_report(report, now);
        let life = report
            .target
            .as_ref()
            .map(|target| &target.description.instance);
        let acknowledged = life.map_or(0, |life| self.scheduler.acknowledged_sequence(life));
        let listed_silent = !self.scheduler.may_renew_leases(&report.agent.vm);
        if listed_silent {
            info!(self.state.log, "agent heard again, not confirmed yet";
                "vm" => &*report.agent.vm);
        }
        let answer = ReportAnswer {
            epoch,
            confirmed: self.leading.is_confirmed(now) && !listed_silent,
            acknowledged,
            fronts: self.fronts(),
        };
        // The agent has given up waiting if the answer can't be delivered; it will report again.
        let _ = reply.send(answer);
        true
    }

    fn fronts(&self) -> Vec<SocketAddr> {
        let others = self.state.fronts.load();
        let mut fronts: BTreeSet<SocketAddr> = BTreeSet::clone(&others);
        fronts.insert(self.state.address);
        fronts.into_iter().collect()
    }

    /// Takes what an agent knows of its target, unless newer things have been told.
    fn take_report(&mut self, report: &AgentReport, now: Timestamp) {
        if !self.agents.note(report, now) {
            return;
        }
        if let Some(life) = &report.left {
            self.scheduler.remove_instance(life, RemovalCause::Left);
        }
        if let Some(target) = &report.target {
            self.scheduler.handle_report(target, now);
        }
    }

    fn ordered(&mut self, runs: Vec<RunId>, results: Option<OrderResults>, now: Timestamp) {
        let Some(results) = results else {
            for run in runs {
                self.scheduler
                    .handle_order_outcome(&run, OrderOutcome::Unknown, false, now);
            }
            return;
        };
        let reported = results.report.is_some();
        if let Some(report) = &results.report {
            self.take_report(report, now);
        }
        for (run, outcome) in results.outcomes {
            self.scheduler
                .handle_order_outcome(&run, outcome, reported, now);
        }
    }

    fn committed(
        &mut self,
        changes: &Changes,
        forgotten: &[JobId],
        committer: Option<Committer>,
    ) -> bool {
        let Some(committer) = committer else {
            return false;
        };
        self.committer = Some(committer);
        self.scheduler.mark_committed(changes);
        let now = self.state.clock.now();
        let published = std::mem::take(&mut self.unpublished);
        for (id, job) in &published {
            if job.state.is_final()
                && let Some(ended_at) = self.ended.get(id)
            {
                stage(
                    "showing",
                    u64::try_from(now.since(*ended_at).as_millis()).unwrap_or(u64::MAX),
                );
            }
        }
        self.leading.board.publish(published, forgotten);
        for (reply, what) in std::mem::take(&mut self.committing).into_values().flatten() {
            answer(reply, what);
        }
        true
    }

    /// Shows how old what the scheduler goes by is.
    fn note_ages(&self, now: Timestamp) {
        let age = |of: &'static str, age: Duration| {
            metrics::gauge!("rattanwinch_age_seconds", "of" => of).set(age.as_secs_f64());
        };
        age("store_confirmation", self.leading.confirmed_ago(now));
        if let Some(read) = self.leading.orders.load_full() {
            age("operators_orders", now.since(read.sent_at));
        }
        age("quietest_target", self.scheduler.longest_silence(now));
        metrics::gauge!("rattanwinch_targets").set(self.scheduler.target_count() as f64);
    }

    /// Decides, writes what has to be durable, and sends the orders that are.
    ///
    /// What only time brings is looked at with each tick. Most commands are reports that show
    /// progress, and placing is the dearest part of this by far, so it is left out after those.
    fn act(&mut self, ticked: bool) {
        let now = self.state.clock.now();
        if ticked {
            self.note_ages(now);
            self.scheduler.expire_silent_targets(now);
        }
        if self.leading.is_confirmed(now) && self.leading.orders.load().is_some() {
            self.upkeep.act(&mut self.scheduler, now);
            if ticked || self.scheduler.needs_placement() {
                self.scheduler.place_tasks(now, self.state.clock.wall());
            }
        }
        if !self.leading.is_confirmed(now) {
            self.scheduler.restart_silence_tracking(now);
        }
        self.commit(now);
        for orders in self.scheduler.take_due_orders(now) {
            self.send(orders, now);
        }
        if let Some(question) = self.scheduler.next_advisor_query(now) {
            self.ask(question, now);
        }
        for event in self.scheduler.take_events() {
            if let Event::Finished { job, .. } = &event {
                self.ended.insert(job.clone(), now);
            }
            explain(&self.state.log, &event);
        }
    }
}

fn answer(reply: oneshot::Sender<CallerAnswer>, what: CallerAnswer) {
    // The caller has given up waiting if the answer can't be delivered; what it asked for holds.
    let _ = reply.send(what);
}
