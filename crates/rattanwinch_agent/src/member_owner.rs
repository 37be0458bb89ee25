use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use rattanwinch_decisions::Actions;
use rattanwinch_decisions::HoldOutcome;
use rattanwinch_decisions::MemberState;
use rattanwinch_decisions::MemberTable;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_decisions::ReleaseOutcome;
use rattanwinch_decisions::TaskListRequest;
use rattanwinch_runtime::Shutdown;
use rattanwinch_targets::Executor;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberReport;
use rattanwinch_types::RequestError;
use slog::error;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::agent_state::AgentState;
use crate::member_message::AnswerTo;
use crate::member_message::MemberMessage;
use crate::member_message::Result;
use crate::member_message::Step;
use crate::members::MemberInbox;
use crate::members::Reports;

/// How often the executor's tasks are listed while there are members: half of a heartbeat's
/// interval, so that each heartbeat reports what is at most this old.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// How soon the executor's tasks are asked for again at start.
const ADOPT_RETRY: Duration = Duration::from_millis(500);

/// A command that is answered when an action at the executor has been.
#[derive(Debug)]
struct Waiter {
    member: MemberKey,
    awaits: Awaits,
    answer: AnswerTo<()>,
}

/// What a waiter waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Awaits {
    Load,
    Run,
    Stop,
    /// That the executor has nothing of the member: a decider that has the answer starts the next
    /// attempt.
    End,
}

impl From<Step> for Awaits {
    fn from(step: Step) -> Self {
        match step {
            Step::Load => Self::Load,
            Step::Run => Self::Run,
            Step::Stop(_) => Self::Stop,
        }
    }
}

/// The task that owns the member table. It alone changes the table and never waits for the
/// executor: each call is a task of its own, whose result comes back as a message.
pub(crate) struct MemberOwner<E> {
    state: Arc<AgentState<E>>,
    table: MemberTable,
    messages: mpsc::Receiver<MemberMessage>,
    reports: watch::Sender<Reports>,
    waiters: Vec<Waiter>,
    listing: bool,
}

impl<E: Executor> MemberOwner<E> {
    /// Makes the owner; [`Self::run`] is its life.
    pub fn new(state: Arc<AgentState<E>>, inbox: MemberInbox) -> Self {
        let count = u32::from(state.settings.accelerators);
        let bits = u8::MAX.checked_shr(8 - count.min(8)).unwrap_or(0);
        Self {
            state,
            table: MemberTable::new(AcceleratorSet::from_bits(bits)),
            messages: inbox.messages,
            reports: inbox.reports,
            waiters: Vec::new(),
            listing: false,
        }
    }

    /// Adopts the executor's tasks, then serves messages until the daemon stops. Running tasks
    /// are then left to the executor for the next agent.
    pub async fn run(mut self, shutdown: Shutdown) {
        tokio::select! {
            tasks = adoptable_tasks(Arc::clone(&self.state)) => self.adopt(&tasks),
            () = shutdown.requested() => return,
        }
        let mut interval = tokio::time::interval(LIST_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // The interval isn't followed while there is no member, so an idle agent isn't woken.
            let has_members = self.table.members().next().is_some();
            tokio::select! {
                Some(message) = self.messages.recv() => self.take(message),
                _ = interval.tick(), if has_members => self.tick(),
                () = shutdown.requested() => return,
            }
            self.settle();
        }
    }

    fn adopt(&mut self, tasks: &[ObservedTask]) {
        let actions = self.table.adopt(tasks, self.state.clock.now());
        if !tasks.is_empty() {
            info!(self.state.logger, "adopted the executor's tasks"; "tasks" => tasks.len(),
                "epoch" => self.table.epoch().0);
        }
        self.perform(actions);
        self.settle();
    }

    fn tick(&mut self) {
        let actions = self.table.tick(self.state.clock.now());
        self.perform(actions);
        self.list();
    }

    /// Asks for the executor's tasks if there are active members and no list is on its way.
    fn list(&mut self) {
        if self.table.may_have_executor_tasks() && !self.listing {
            self.listing = true;
            let request = self.table.begin_task_list();
            tokio::spawn(Arc::clone(&self.state).list(request));
        }
    }

    fn take(&mut self, message: MemberMessage) {
        let now = self.state.clock.now();
        match message {
            MemberMessage::Adopt(epoch, answer) => {
                let accepted = self.table.accept_epoch(epoch);
                // Nobody may wait for the answer any longer; so it is with the others below.
                let _ = answer.send(accepted.map(|()| self.table.reports()));
            }
            MemberMessage::Hold(order, answer) => self.hold(order, answer),
            MemberMessage::Release(member, epoch, answer) => {
                let gate = self.state.gate.load();
                let release = self.table.release(&member, epoch, &gate, now);
                drop(gate);
                self.answer_release(member, release, answer);
            }
            MemberMessage::Abort(member, epoch, answer) => {
                let aborted = self.table.abort(&member, epoch, now);
                self.answer_abort(member, aborted, answer);
            }
            MemberMessage::Stop(order, epoch, answer) => {
                let stopped = self.table.stop(&order, epoch, now);
                self.answer_stop(order.member, stopped, answer);
            }
            MemberMessage::CheckOutput(member, answer) => {
                let _ = answer.send(self.table.check_output(&member));
            }
            MemberMessage::HeartbeatAnswered(sent_at, response) => {
                let actions = self
                    .table
                    .handle_heartbeat_response(sent_at, &response, now);
                self.perform(actions);
            }
            MemberMessage::Done(member, step, result) => self.done(&member, step, &result),
            MemberMessage::Listed(request, tasks) => self.listed(request, tasks),
        }
    }

    fn hold(&mut self, order: HoldOrder, answer: AnswerTo<()>) {
        let member = order.member.clone();
        let gate = self.state.gate.load();
        match self.table.hold(order, &gate, self.state.clock.now()) {
            Ok(HoldOutcome::Held) => drop(answer.send(Ok(()))),
            Ok(HoldOutcome::Loading) => self.wait(member, Awaits::Load, answer),
            Ok(HoldOutcome::Load(action)) => {
                self.wait(member, Awaits::Load, answer);
                tokio::spawn(Arc::clone(&self.state).perform(action));
            }
            Ok(HoldOutcome::WaitForOlderAttempt(actions)) => {
                self.perform(actions);
                let message = format!("{member} waits for the end of an older attempt here");
                let error = RequestError::not_run(ErrorKind::Busy, message);
                self.refuse("hold", error, answer);
            }
            Err(error) => self.refuse("hold", error, answer),
        }
    }

    fn answer_release(
        &mut self,
        member: MemberKey,
        release: Result<ReleaseOutcome>,
        answer: AnswerTo<()>,
    ) {
        match release {
            Ok(ReleaseOutcome::Running) => drop(answer.send(Ok(()))),
            Ok(ReleaseOutcome::Starting) => self.wait(member, Awaits::Run, answer),
            Ok(ReleaseOutcome::Run(action)) => {
                self.wait(member, Awaits::Run, answer);
                tokio::spawn(Arc::clone(&self.state).perform(action));
            }
            Err(error) => self.refuse("release", error, answer),
        }
    }

    fn answer_abort(&mut self, member: MemberKey, aborted: Result<Actions>, answer: AnswerTo<()>) {
        match aborted {
            Ok(actions) => {
                self.perform(actions);
                // Answered by `settle` once the member has ended.
                self.wait(member, Awaits::End, answer);
            }
            Err(error) => self.refuse("abort", error, answer),
        }
    }

    fn answer_stop(&mut self, member: MemberKey, stopped: Result<Actions>, answer: AnswerTo<()>) {
        match stopped {
            Ok(actions) => {
                let running = matches!(self.table.member(&member), Some(MemberState::Running(_)));
                if running && actions.is_empty() {
                    // The executor was told before.
                    return drop(answer.send(Ok(())));
                }
                self.perform(actions);
                // Answered by `settle` if the executor has nothing of the member.
                self.wait(member, Awaits::Stop, answer);
            }
            Err(error) => self.refuse("stop", error, answer),
        }
    }

    fn done(&mut self, member: &MemberKey, step: Step, result: &Result<()>) {
        let now = self.state.clock.now();
        let actions = match step {
            Step::Load => self.table.handle_load_result(member, result, now),
            Step::Run => self.table.handle_run_result(member, result, now),
            Step::Stop(mode) => {
                self.table.handle_stop_result(member, mode, result);
                Actions::new()
            }
        };
        self.perform(actions);
        if matches!(step, Step::Stop(_)) {
            // The end shows in the list, and the decider waits for it.
            self.list();
        }
        if let Err(error) = result {
            warn!(self.state.logger, "the executor refused or didn't answer"; "member" => %member,
                "step" => ?step, "error" => %error);
        }
        let answer = match (step, result) {
            (Step::Load, Ok(())) => self.check_still_held(member),
            // The decider counts failures of the executor against the worker, but no late calls.
            (Step::Load, Err(error)) if error.kind != ErrorKind::Deadline => Err(
                RequestError::new(error.verdict, ErrorKind::Failed, Arc::clone(&error.message)),
            ),
            // A stop is recorded, whatever the executor answers; heartbeats tell the end.
            (Step::Stop(_), _) => Ok(()),
            (_, result) => result.clone(),
        };
        self.answer_waiters(member, step.into(), &answer);
    }

    fn listed(&mut self, request: TaskListRequest, tasks: Result<Vec<ObservedTask>>) {
        self.listing = false;
        match tasks {
            Ok(tasks) => {
                let actions = self
                    .table
                    .handle_task_list(request, &tasks, self.state.clock.now());
                self.perform(actions);
            }
            Err(error) => {
                warn!(self.state.logger, "the executor's tasks can't be listed"; "error" => %error);
            }
        }
    }

    /// A hold that ended while its task was being loaded is refused.
    fn check_still_held(&self, member: &MemberKey) -> Result<()> {
        if self.table.member(member).is_some_and(MemberState::is_live) {
            return Ok(());
        }
        let message = format!("{member} was aborted or its hold expired while it was loaded");
        Err(RequestError::not_run(ErrorKind::Cancelled, message))
    }

    fn perform(&self, actions: Actions) {
        for action in actions {
            tokio::spawn(Arc::clone(&self.state).perform(action));
        }
    }

    fn wait(&mut self, member: MemberKey, awaits: Awaits, answer: AnswerTo<()>) {
        self.waiters.push(Waiter {
            member,
            awaits,
            answer,
        });
    }

    fn answer_waiters(&mut self, member: &MemberKey, awaits: Awaits, answer: &Result<()>) {
        let matches = |waiter: &mut Waiter| waiter.member == *member && waiter.awaits == awaits;
        for waiter in self.waiters.extract_if(.., matches) {
            let _ = waiter.answer.send(answer.clone());
        }
    }

    /// After each message: answers who waits for nothing any longer, checks the invariants and
    /// publishes what changed.
    fn settle(&mut self) {
        let table = &self.table;
        let settled = |waiter: &mut Waiter| {
            let member = table.member(&waiter.member);
            let awaits_end = matches!(waiter.awaits, Awaits::Stop | Awaits::End);
            let stopped = awaits_end && !member.is_some_and(MemberState::may_have_executor_task);
            stopped || waiter.answer.is_closed()
        };
        for waiter in self.waiters.extract_if(.., settled) {
            let _ = waiter.answer.send(Ok(()));
        }
        for violation in self.table.check_invariants() {
            let invariant = violation.invariant.as_str();
            error!(self.state.logger, "invariant violated"; "rule" => invariant,
                "member" => %violation.member);
            counter!("invariant_violations_total", "rule" => invariant).increment(1);
        }
        self.state
            .epoch
            .store(self.table.epoch().0, Ordering::Release);
        let reports = self.table.reports();
        self.log_changes(&reports);
        self.reports.send_if_modified(|published| {
            let changed = published.as_ref() != Some(&reports);
            *published = Some(reports);
            changed
        });
    }

    /// Logs each member that is new or in another phase than was published.
    fn log_changes(&self, reports: &[MemberReport]) {
        let published = self.reports.borrow();
        let before = published.as_deref().unwrap_or_default();
        for report in reports.iter().filter(|report| !before.contains(report)) {
            info!(self.state.logger, "a member changed"; "member" => %report.member,
                "phase" => ?report.phase, "epoch" => report.epoch.0,
                "accelerators" => %report.accelerators);
        }
    }

    /// Logs the reason of a refusal and answers it.
    fn refuse<T>(&self, command: &str, error: RequestError, answer: AnswerTo<T>) {
        info!(self.state.logger, "a decider's command was refused"; "command" => command,
            "error" => %error);
        let _ = answer.send(Err(error));
    }
}

/// Asks the executor for its tasks until it answers.
async fn adoptable_tasks<E: Executor>(state: Arc<AgentState<E>>) -> Vec<ObservedTask> {
    loop {
        match state.executor_tasks().await {
            Ok(tasks) => return tasks,
            Err(error) => {
                warn!(state.logger, "can't read the executor's tasks, so the agent isn't announced";
                    "error" => %error);
            }
        }
        tokio::time::sleep(ADOPT_RETRY).await;
    }
}
