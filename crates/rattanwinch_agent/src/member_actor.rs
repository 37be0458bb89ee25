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
use crate::member_handle::MemberInbox;
use crate::member_handle::Reports;
use crate::member_message::ActionKind;
use crate::member_message::MemberMessage;
use crate::member_message::ReplySender;
use crate::member_message::Result;

/// The interval at which the executor's tasks are listed while there are members. It is half of a
/// heartbeat interval, which bounds the age of what each heartbeat reports.
const TASK_LIST_INTERVAL: Duration = Duration::from_millis(250);

/// The delay before a failed listing of the executor's tasks is retried at start.
const ADOPTION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A command that is answered after an action at the executor.
#[derive(Debug)]
struct PendingCommand {
    member: MemberKey,
    event: AwaitedEvent,
    reply: ReplySender<()>,
}

/// The event that a pending command waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AwaitedEvent {
    Load,
    Run,
    Stop,
    /// The executor no longer has the member: a decider that gets this answer starts the next
    /// attempt.
    End,
}

impl From<ActionKind> for AwaitedEvent {
    fn from(kind: ActionKind) -> Self {
        match kind {
            ActionKind::Load => Self::Load,
            ActionKind::Run => Self::Run,
            ActionKind::Stop(_) => Self::Stop,
        }
    }
}

/// The task that owns the member table. Only this task changes the table, and it never waits for
/// the executor: each call is a task of its own, whose result arrives as a message.
pub(crate) struct MemberActor<E> {
    state: Arc<AgentState<E>>,
    table: MemberTable,
    messages: mpsc::Receiver<MemberMessage>,
    reports: watch::Sender<Reports>,
    pending: Vec<PendingCommand>,
    list_in_progress: bool,
}

impl<E: Executor> MemberActor<E> {
    /// Creates the actor; [`Self::run`] runs it.
    pub fn new(state: Arc<AgentState<E>>, inbox: MemberInbox) -> Self {
        let count = u32::from(state.settings.accelerators);
        let bits = u8::MAX.checked_shr(8 - count.min(8)).unwrap_or(0);
        Self {
            state,
            table: MemberTable::new(AcceleratorSet::from_bits(bits)),
            messages: inbox.messages,
            reports: inbox.reports,
            pending: Vec::new(),
            list_in_progress: false,
        }
    }

    /// Adopts the executor's tasks, then handles messages until the daemon stops. Running tasks
    /// then stay at the executor for the next agent.
    pub async fn run(mut self, shutdown: Shutdown) {
        tokio::select! {
            tasks = list_adoptable_tasks(Arc::clone(&self.state)) => self.adopt(&tasks),
            () = shutdown.requested() => return,
        }
        let mut interval = tokio::time::interval(TASK_LIST_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // The interval is not polled while there are no members, so an idle agent does not wake
            // up.
            let has_members = self.table.members().next().is_some();
            tokio::select! {
                Some(message) = self.messages.recv() => self.handle_message(message),
                _ = interval.tick(), if has_members => self.tick(),
                () = shutdown.requested() => return,
            }
            self.finish_message();
        }
    }

    fn adopt(&mut self, tasks: &[ObservedTask]) {
        let actions = self.table.adopt(tasks, self.state.clock.now());
        if !tasks.is_empty() {
            info!(self.state.logger, "adopted the executor's tasks"; "tasks" => tasks.len(),
                "epoch" => self.table.epoch().0);
        }
        self.perform(actions);
        self.finish_message();
    }

    fn tick(&mut self) {
        let actions = self.table.tick(self.state.clock.now());
        self.perform(actions);
        self.request_task_list();
    }

    /// Lists the executor's tasks if there are active members and no listing is in progress.
    fn request_task_list(&mut self) {
        if self.table.may_have_executor_tasks() && !self.list_in_progress {
            self.list_in_progress = true;
            let request = self.table.begin_task_list();
            tokio::spawn(Arc::clone(&self.state).list_tasks(request));
        }
    }

    fn handle_message(&mut self, message: MemberMessage) {
        let now = self.state.clock.now();
        match message {
            MemberMessage::Adopt(epoch, reply) => {
                let accepted = self.table.accept_epoch(epoch);
                // The receiver may already be gone, here and in the cases below.
                let _ = reply.send(accepted.map(|()| self.table.reports()));
            }
            MemberMessage::Hold(order, reply) => self.handle_hold(order, reply),
            MemberMessage::Release(member, epoch, reply) => {
                let gate = self.state.gate.load();
                let release = self.table.release(&member, epoch, &gate, now);
                drop(gate);
                self.handle_release(member, release, reply);
            }
            MemberMessage::Abort(member, epoch, reply) => {
                let aborted = self.table.abort(&member, epoch, now);
                self.handle_abort(member, aborted, reply);
            }
            MemberMessage::Stop(order, epoch, reply) => {
                let stopped = self.table.stop(&order, epoch, now);
                self.handle_stop(order.member, stopped, reply);
            }
            MemberMessage::CheckOutput(member, reply) => {
                let _ = reply.send(self.table.check_output(&member));
            }
            MemberMessage::HeartbeatResponse(sent_at, response) => {
                let actions = self
                    .table
                    .handle_heartbeat_response(sent_at, &response, now);
                self.perform(actions);
            }
            MemberMessage::Done(member, kind, result) => self.handle_result(&member, kind, &result),
            MemberMessage::TaskList(request, tasks) => self.handle_task_list(request, tasks),
        }
    }

    fn handle_hold(&mut self, order: HoldOrder, reply: ReplySender<()>) {
        let member = order.member.clone();
        let gate = self.state.gate.load();
        match self.table.hold(order, &gate, self.state.clock.now()) {
            Ok(HoldOutcome::Held) => drop(reply.send(Ok(()))),
            Ok(HoldOutcome::Loading) => self.add_pending(member, AwaitedEvent::Load, reply),
            Ok(HoldOutcome::Load(action)) => {
                self.add_pending(member, AwaitedEvent::Load, reply);
                tokio::spawn(Arc::clone(&self.state).perform(action));
            }
            Ok(HoldOutcome::WaitForOlderAttempt(actions)) => {
                self.perform(actions);
                let message =
                    format!("{member} has to wait for an older attempt at this worker to end");
                let error = RequestError::not_run(ErrorKind::Busy, message);
                self.refuse("hold", error, reply);
            }
            Err(error) => self.refuse("hold", error, reply),
        }
    }

    fn handle_release(
        &mut self,
        member: MemberKey,
        release: Result<ReleaseOutcome>,
        reply: ReplySender<()>,
    ) {
        match release {
            Ok(ReleaseOutcome::Running) => drop(reply.send(Ok(()))),
            Ok(ReleaseOutcome::Starting) => self.add_pending(member, AwaitedEvent::Run, reply),
            Ok(ReleaseOutcome::Run(action)) => {
                self.add_pending(member, AwaitedEvent::Run, reply);
                tokio::spawn(Arc::clone(&self.state).perform(action));
            }
            Err(error) => self.refuse("release", error, reply),
        }
    }

    fn handle_abort(
        &mut self,
        member: MemberKey,
        aborted: Result<Actions>,
        reply: ReplySender<()>,
    ) {
        match aborted {
            Ok(actions) => {
                self.perform(actions);
                // `finish_message` replies once the member has ended.
                self.add_pending(member, AwaitedEvent::End, reply);
            }
            Err(error) => self.refuse("abort", error, reply),
        }
    }

    fn handle_stop(&mut self, member: MemberKey, stopped: Result<Actions>, reply: ReplySender<()>) {
        match stopped {
            Ok(actions) => {
                let running = matches!(self.table.member(&member), Some(MemberState::Running(_)));
                if running && actions.is_empty() {
                    // The executor has already received the stop.
                    return drop(reply.send(Ok(())));
                }
                self.perform(actions);
                // `finish_message` replies if the executor no longer has the member.
                self.add_pending(member, AwaitedEvent::Stop, reply);
            }
            Err(error) => self.refuse("stop", error, reply),
        }
    }

    fn handle_result(&mut self, member: &MemberKey, kind: ActionKind, result: &Result<()>) {
        let now = self.state.clock.now();
        let actions = match kind {
            ActionKind::Load => self.table.handle_load_result(member, result, now),
            ActionKind::Run => self.table.handle_run_result(member, result, now),
            ActionKind::Stop(mode) => {
                self.table.handle_stop_result(member, mode, result);
                Actions::new()
            }
        };
        self.perform(actions);
        if matches!(kind, ActionKind::Stop(_)) {
            // The list shows when the member has ended, which the decider waits for.
            self.request_task_list();
        }
        if let Err(error) = result {
            warn!(self.state.logger, "an action at the executor failed"; "member" => %member,
                "step" => ?kind, "error" => %error);
        }
        let reply = match (kind, result) {
            (ActionKind::Load, Ok(())) => self.check_still_held(member),
            // The decider counts failures of the executor against the worker, but not late calls.
            (ActionKind::Load, Err(error)) if error.kind != ErrorKind::Deadline => Err(
                RequestError::new(error.verdict, ErrorKind::Failed, Arc::clone(&error.message)),
            ),
            // A stop is recorded whatever the executor answers; heartbeats report the end of the
            // member.
            (ActionKind::Stop(_), _) => Ok(()),
            (_, result) => result.clone(),
        };
        self.reply_to_pending(member, kind.into(), &reply);
    }

    fn handle_task_list(&mut self, request: TaskListRequest, tasks: Result<Vec<ObservedTask>>) {
        self.list_in_progress = false;
        match tasks {
            Ok(tasks) => {
                let actions = self
                    .table
                    .handle_task_list(request, &tasks, self.state.clock.now());
                self.perform(actions);
            }
            Err(error) => {
                warn!(self.state.logger, "failed to list the executor's tasks; retrying";
                    "error" => %error);
            }
        }
    }

    /// Refuses a hold that ended while its task was being loaded.
    fn check_still_held(&self, member: &MemberKey) -> Result<()> {
        if self.table.member(member).is_some_and(MemberState::is_live) {
            return Ok(());
        }
        let message =
            format!("{member} was aborted or its hold expired while its task was being loaded");
        Err(RequestError::not_run(ErrorKind::Cancelled, message))
    }

    fn perform(&self, actions: Actions) {
        for action in actions {
            tokio::spawn(Arc::clone(&self.state).perform(action));
        }
    }

    fn add_pending(&mut self, member: MemberKey, event: AwaitedEvent, reply: ReplySender<()>) {
        self.pending.push(PendingCommand {
            member,
            event,
            reply,
        });
    }

    fn reply_to_pending(&mut self, member: &MemberKey, event: AwaitedEvent, reply: &Result<()>) {
        let matches =
            |command: &mut PendingCommand| command.member == *member && command.event == event;
        for command in self.pending.extract_if(.., matches) {
            let _ = command.reply.send(reply.clone());
        }
    }

    /// Runs after each message: replies to commands that no longer have to wait, checks the
    /// invariants and publishes changes.
    fn finish_message(&mut self) {
        let table = &self.table;
        let is_done = |command: &mut PendingCommand| {
            let member = table.member(&command.member);
            let awaits_end = matches!(command.event, AwaitedEvent::Stop | AwaitedEvent::End);
            let stopped = awaits_end && !member.is_some_and(MemberState::may_have_executor_task);
            stopped || command.reply.is_closed()
        };
        for command in self.pending.extract_if(.., is_done) {
            let _ = command.reply.send(Ok(()));
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

    /// Logs each member that is new or changed since the last publication.
    fn log_changes(&self, reports: &[MemberReport]) {
        let published = self.reports.borrow();
        let before = published.as_deref().unwrap_or_default();
        for report in reports.iter().filter(|report| !before.contains(report)) {
            info!(self.state.logger, "member changed"; "member" => %report.member,
                "phase" => ?report.phase, "epoch" => report.epoch.0,
                "accelerators" => %report.accelerators);
        }
    }

    /// Logs the reason of a refusal and sends it as the reply.
    fn refuse<T>(&self, command: &str, error: RequestError, reply: ReplySender<T>) {
        info!(self.state.logger, "refused a command from the decider"; "command" => command,
            "error" => %error);
        let _ = reply.send(Err(error));
    }
}

/// Lists the executor's tasks, retrying until it answers.
async fn list_adoptable_tasks<E: Executor>(state: Arc<AgentState<E>>) -> Vec<ObservedTask> {
    loop {
        match state.executor_tasks().await {
            Ok(tasks) => return tasks,
            Err(error) => {
                warn!(state.logger, "failed to list the executor's tasks; sending no heartbeats \
                    until it succeeds";
                    "error" => %error);
            }
        }
        tokio::time::sleep(ADOPTION_RETRY_DELAY).await;
    }
}
