use std::collections::BTreeMap;
use std::time::Duration;

use arbitrary::Result;
use arbitrary::Unstructured;
use rattanwinch_decisions::Action;
use rattanwinch_decisions::Actions;
use rattanwinch_decisions::AdmissionGate;
use rattanwinch_decisions::HOLD_LIMIT;
use rattanwinch_decisions::HoldOutcome;
use rattanwinch_decisions::MemberState;
use rattanwinch_decisions::MemberTable;
use rattanwinch_decisions::ObservedState;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_decisions::ReleaseOutcome;
use rattanwinch_decisions::TOMBSTONE_RETENTION;
use rattanwinch_decisions::TaskListRequest;
use rattanwinch_standins::StandinTasks;
use rattanwinch_targets::TaskOrder;
use rattanwinch_targets::TaskReport;
use rattanwinch_targets::TaskState;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Timestamp;

use crate::support::hold_order;
use crate::support::member;
use crate::support::observed;
use crate::support::refused;
use crate::support::response;
use crate::support::take_any;

/// A call that reaches the executor later than this has been given up by the network.
const CALL_LIFETIME: Duration = Duration::from_secs(300);

/// The steps after which the next jobs follow.
const STEPS_PER_JOB: u64 = 100;

/// A call on its way to the executor.
struct Call {
    action: Action,
    sent_at: Timestamp,
    /// The number of the command that caused it.
    cause: u64,
    /// Whether its sender still waits for the answer.
    awaited: bool,
}

enum Message {
    Done(Action, std::result::Result<(), RequestError>),
    Listed(TaskListRequest, Vec<ObservedTask>),
}

/// One agent's table, its executor and the messages between them, with what a bystander knows.
pub struct World {
    table: MemberTable,
    executor: StandinTasks,
    gate: AdmissionGate,
    now: Timestamp,
    /// Actions that the agent hasn't carried out yet.
    waiting: Vec<(Action, u64)>,
    calls: Vec<Call>,
    messages: Vec<Message>,
    commands: u64,
    highest: Epoch,
    /// When the latest hold of a member that was granted expires.
    held_until: BTreeMap<MemberKey, Timestamp>,
    /// When members were seen to have ended.
    ended_at: BTreeMap<MemberKey, Timestamp>,
    /// The members that the executor started in this life of the agent.
    started: BTreeMap<MemberKey, Timestamp>,
    /// The command that refused the latest release of a member as "not run".
    refused: BTreeMap<MemberKey, u64>,
    /// What happened, so that a run can be seen to reach the interesting states.
    pub starts: u64,
}

impl World {
    pub fn new() -> Self {
        Self {
            table: MemberTable::new(AcceleratorSet::ALL),
            executor: StandinTasks::default(),
            gate: AdmissionGate::default(),
            now: Timestamp::from_millis(1_000_000),
            waiting: Vec::new(),
            calls: Vec::new(),
            messages: Vec::new(),
            commands: 0,
            highest: Epoch(0),
            held_until: BTreeMap::new(),
            ended_at: BTreeMap::new(),
            started: BTreeMap::new(),
            refused: BTreeMap::new(),
            starts: 0,
        }
    }

    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.commands += 1;
        match u.int_in_range(0..=31u8)? {
            0..=4 => self.hold(u)?,
            5..=8 => self.release(u)?,
            9 => self.abort(u)?,
            10 => self.stop(u)?,
            11..=12 => self.heartbeat(u)?,
            13..=17 => take_any(u, &mut self.waiting)?
                .into_iter()
                .for_each(|(action, cause)| self.send(action, cause)),
            18..=21 => take_any(u, &mut self.calls)?
                .into_iter()
                .for_each(|call| self.land(call)),
            22..=24 => take_any(u, &mut self.messages)?
                .into_iter()
                .for_each(|message| self.deliver(message)),
            25 => self.time_passes(u)?,
            26 => self.settle(),
            27..=28 => self.list(),
            29 => self.tick(),
            30 => self.call_times_out(u)?,
            _ => match u.int_in_range(0..=15u8)? {
                0..=1 => self.restart_agent(),
                2 => self.restart_executor(),
                _ => {}
            },
        }
        self.observe();
        Ok(())
    }

    /// With everything delivered and no decider's word, no member may stay live.
    pub fn comes_to_rest(&mut self) {
        for _ in 0..80 {
            self.pass(Duration::from_secs(1));
            self.tick();
            self.list();
            self.settle();
            self.observe();
        }
        assert!(
            !self.table.may_have_executor_tasks(),
            "a member outlives its leases"
        );
    }

    /// Delivers everything that is on its way, the latest first.
    fn settle(&mut self) {
        while let Some((action, cause)) = self.waiting.pop() {
            self.send(action, cause);
        }
        while let Some(call) = self.calls.pop() {
            self.land(call);
        }
        while let Some(message) = self.messages.pop() {
            self.deliver(message);
        }
    }

    fn hold(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = self.any_member(u)?;
        let first = u.int_in_range(0..=3u8)?;
        let accelerators = AcceleratorSet::block(first * 2, 2);
        let epoch = self.any_epoch(u)?;
        let mut order = hold_order(&key, epoch, accelerators);
        order.hold_for = Duration::from_millis(u.int_in_range(0..=6000)?);
        let job: u64 = key.attempt.key.id.as_str().parse().unwrap_or(0);
        // The work depends on the member alone, because a hold may be repeated.
        let failing = ["", "fail"][usize::from(key.index)];
        order.payload = format!("work_ms={} {failing}", job % 7 * 2000).into();
        let held_until = self.now + order.hold_for.min(HOLD_LIMIT);
        self.note_epoch(epoch);
        match self.table.hold(order, &self.gate, self.now) {
            Ok(HoldOutcome::Load(action)) => {
                self.held_until.insert(key, held_until);
                self.waiting.push((action, self.commands));
            }
            Ok(HoldOutcome::Held | HoldOutcome::Loading) => {}
            Ok(HoldOutcome::WaitForOlderAttempt(actions)) => self.will_do(actions),
            Err(error) => assert!(epoch >= self.highest || error.kind == ErrorKind::Fenced),
        }
        Ok(())
    }

    fn release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = self.any_member(u)?;
        let epoch = self.any_epoch(u)?;
        self.note_epoch(epoch);
        match self.table.release(&key, epoch, &self.gate, self.now) {
            Ok(ReleaseOutcome::Run(action)) => {
                assert!(epoch >= self.highest, "{key} is started from an old epoch");
                self.waiting.push((action, self.commands));
            }
            Ok(ReleaseOutcome::Running | ReleaseOutcome::Starting) => {}
            Err(error) => {
                let started = self.started.contains_key(&key) && error.is_not_run();
                assert!(!started, "{key} started, and a release says: {error}");
                if error.is_not_run() {
                    self.refused.insert(key, self.commands);
                }
            }
        }
        Ok(())
    }

    fn abort(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = self.any_member(u)?;
        let epoch = self.any_epoch(u)?;
        self.note_epoch(epoch);
        if let Ok(actions) = self.table.abort(&key, epoch, self.now) {
            self.will_do(actions);
            if self.table.member(&key).is_none_or(|it| !it.is_live()) {
                self.ended_at.entry(key).or_insert(self.now);
            }
        }
        Ok(())
    }

    fn stop(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let order = self.any_stop(u)?;
        let epoch = self.any_epoch(u)?;
        self.note_epoch(epoch);
        if let Ok(actions) = self.table.stop(&order, epoch, self.now) {
            self.will_do(actions);
        }
        Ok(())
    }

    fn heartbeat(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let late = Duration::from_millis(u.int_in_range(0..=1000)?);
        let sent_at = Timestamp::from_millis(self.now.as_millis() - late.as_millis() as u64);
        let epoch = self.any_epoch(u)?;
        let mut response = response(u.ratio(2, 3)?.then_some(epoch));
        response.freshness = Duration::from_millis(u.int_in_range(0..=5000)?);
        response.zone_closed = u.ratio(1, 16)?;
        if u.ratio(1, 4)? {
            response.stop.push(self.any_stop(u)?);
        }
        let mut reported: Vec<_> = self.table.members().map(|(key, _)| key.clone()).collect();
        for _ in 0..u.int_in_range(0..=4)? {
            response.forget.extend(take_any(u, &mut reported)?);
        }
        self.gate = self.gate.after_heartbeat(sent_at, &response);
        if response.decider_epoch.is_some_and(|it| it >= self.highest) {
            self.note_epoch(epoch);
            let kept = |at: &mut Timestamp| sent_at <= *at + TOMBSTONE_RETENTION;
            self.ended_at.retain(|_, at| kept(at));
        }
        let actions = self
            .table
            .handle_heartbeat_response(sent_at, &response, self.now);
        self.will_do(actions);
        Ok(())
    }

    /// As the agent does it: the time is read right before the executor is called.
    fn send(&mut self, action: Action, cause: u64) {
        if let Err(error) = action.check_still_allowed(&self.gate, self.now) {
            self.messages.push(Message::Done(action, Err(error)));
            return;
        }
        if let Action::Run { member, .. } = &action {
            let held = self.now < self.held_until[member];
            assert!(held, "{member} is started after its hold");
            let open = self.now < self.gate.fresh_until && !self.gate.zone_closed;
            assert!(open, "{member} is started under an expired or closed gate");
        }
        self.calls.push(Call {
            action,
            sent_at: self.now,
            cause,
            awaited: true,
        });
    }

    fn land(&mut self, call: Call) {
        let now = self.now;
        let outcome = match &call.action {
            Action::Load { order, lease_until } => {
                let order = TaskOrder::for_hold(order, call.sent_at.until(*lease_until));
                self.executor.load(&order, now)
            }
            Action::Run { member, .. } => self.executor.run(member, false, now).map(|started| {
                if started {
                    self.start(member, call.cause);
                }
            }),
            Action::Stop { member, mode } => self.executor.stop(member, *mode, now),
            Action::Renew {
                members,
                lease_until,
            } => {
                let lease = call.sent_at.until(*lease_until);
                return self.executor.renew(members, lease, now);
            }
            Action::Forget(member) => self.executor.delete(member, now),
        };
        if call.awaited {
            let message = Message::Done(call.action, outcome.map_err(refused));
            self.messages.push(message);
        }
    }

    /// The executor starts a task: this must be the only start, and nobody was told otherwise.
    fn start(&mut self, member: &MemberKey, cause: u64) {
        self.starts += 1;
        let ended = self.ended_at.get(member);
        assert!(ended.is_none(), "{member} runs again after it ended");
        let before = self.started.insert(member.clone(), self.now);
        assert!(before.is_none(), "{member} runs twice");
        let refused = self.refused.get(member).is_some_and(|it| *it >= cause);
        assert!(!refused, "{member} runs after it was refused as not run");
        let running = self.observed();
        let attempt = &member.attempt;
        let other = running.iter().find(|it| {
            let same_job = it.member.attempt.key == attempt.key;
            same_job && it.member.attempt != *attempt && it.state == ObservedState::Running
        });
        assert!(other.is_none(), "{member} runs beside {other:?}");
        let running = running.iter().filter(|it| it.state.end().is_none());
        let taken = running.fold(0, |sum, it| sum + it.accelerators.count());
        assert!(taken <= 8, "more accelerators are used than there are");
    }

    fn call_times_out(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(mut call) = take_any(u, &mut self.calls)? else {
            return Ok(());
        };
        if std::mem::take(&mut call.awaited) {
            let error = RequestError::may_have_run(ErrorKind::Unavailable, "timed out");
            let message = Message::Done(call.action.clone(), Err(error));
            self.messages.push(message);
        }
        self.calls.push(call);
        Ok(())
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        let actions = match message {
            Message::Done(Action::Load { order, .. }, outcome) => {
                self.table.handle_load_result(&order.member, &outcome, now)
            }
            Message::Done(Action::Run { member, .. }, outcome) => {
                self.table.handle_run_result(&member, &outcome, now)
            }
            Message::Done(Action::Stop { member, mode }, outcome) => {
                self.table.handle_stop_result(&member, mode, &outcome);
                Actions::new()
            }
            Message::Done(Action::Renew { .. } | Action::Forget(_), _) => Actions::new(),
            Message::Listed(request, tasks) => self.table.handle_task_list(request, &tasks, now),
        };
        self.will_do(actions);
    }

    fn time_passes(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let millis = match u.int_in_range(0..=15u8)? {
            0 => u.int_in_range(0..=40_000)?,
            1 if u.ratio(1, 16)? => u.int_in_range(0..=3_000_000)?,
            2..=4 => u.int_in_range(0..=3000)?,
            _ => u.int_in_range(0..=200)?,
        };
        self.pass(Duration::from_millis(millis));
        Ok(())
    }

    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        let now = self.now;
        for call in &mut self.calls {
            if now.since(call.sent_at) > CALL_LIFETIME && std::mem::take(&mut call.awaited) {
                let error = RequestError::may_have_run(ErrorKind::Unavailable, "given up");
                let message = Message::Done(call.action.clone(), Err(error));
                self.messages.push(message);
            }
        }
        self.calls
            .retain(|call| call.awaited || now.since(call.sent_at) <= CALL_LIFETIME);
    }

    fn list(&mut self) {
        let request = self.table.begin_task_list();
        let tasks = self.observed();
        self.messages.push(Message::Listed(request, tasks));
    }

    fn tick(&mut self) {
        let actions = self.table.tick(self.now);
        self.will_do(actions);
    }

    /// The executor's tasks, as the agent's table sees them.
    fn observed(&mut self) -> Vec<ObservedTask> {
        let tasks = self.executor.list(self.now);
        tasks.into_iter().map(observed).collect()
    }

    /// The executor loses its tasks. Calls that nobody waits for any longer end with their
    /// connections; a call that is waited for may be sent anew and reach the new executor.
    fn restart_executor(&mut self) {
        self.executor = StandinTasks::default();
        self.calls.retain(|call| call.awaited);
    }

    /// A new agent adopts what the executor has; calls of the old one may still arrive. Copies
    /// of messages to the old one can't, so what only it knew is forgotten here as well.
    fn restart_agent(&mut self) {
        self.table = MemberTable::new(AcceleratorSet::ALL);
        self.gate = AdmissionGate::default();
        self.waiting.clear();
        self.messages.clear();
        self.refused.clear();
        for call in &mut self.calls {
            call.awaited = false;
        }
        let tasks = self.observed();
        self.highest = tasks.iter().map(|it| it.epoch).fold(Epoch(0), Ord::max);
        let find = |key: &MemberKey| tasks.iter().find(|task| task.member == *key);
        self.started.retain(|key, _| find(key).is_some());
        // A task that a late call loaded after its member had ended is live once more, until the
        // new agent has stopped it.
        self.ended_at
            .retain(|key, _| find(key).is_some_and(|task| task.state.end().is_some()));
        let actions = self.table.adopt(&tasks, self.now);
        self.will_do(actions);
    }

    /// Checks the invariants and notes which members have ended.
    fn observe(&mut self) {
        let violations = self.table.check_invariants();
        assert!(violations.is_empty(), "{violations:?}");
        assert!(self.table.epoch() >= self.highest, "the epoch went back");
        for (key, state) in self.table.members() {
            if matches!(state, MemberState::Ended(_)) {
                self.ended_at.entry(key.clone()).or_insert(self.now);
            } else {
                let ended = self.ended_at.contains_key(key);
                assert!(!ended, "{key} came back to life");
            }
        }
        for TaskReport { member, state, .. } in self.executor.list(self.now) {
            let ended = self.ended_at.contains_key(&member);
            let runs = state == TaskState::Running;
            assert!(!(ended && runs), "{member} runs and is taken for ended");
        }
        // Once neither the table nor a tombstone bars a member, a decider may use its key again.
        let ended = &self.ended_at;
        let table = &self.table;
        let over = |key: &MemberKey| !ended.contains_key(key) && table.member(key).is_none();
        self.started.retain(|key, _| !over(key));
    }

    fn will_do(&mut self, actions: Actions) {
        let cause = self.commands;
        self.waiting
            .extend(actions.into_iter().map(|it| (it, cause)));
    }

    fn any_epoch(&self, u: &mut Unstructured<'_>) -> Result<Epoch> {
        let Epoch(highest) = self.highest;
        let epoch = match u.int_in_range(0..=31u8)? {
            0 => highest + 1,
            1..=3 => highest - 1,
            _ => highest,
        };
        Ok(Epoch(epoch.max(1)))
    }

    /// A member of a job of these days or, at times, of one that is nearly over. Jobs follow one
    /// another, because a job's tombstone bars its attempts for the rest of most runs.
    fn any_member(&self, u: &mut Unstructured<'_>) -> Result<MemberKey> {
        let age = u64::from(u.ratio(1, 4)?);
        let job =
            (self.commands / STEPS_PER_JOB).saturating_sub(age) * 2 + u.int_in_range(0..=1)?;
        let attempt = *u.choose(&[1, 1, 1, 2])?;
        Ok(member(&job.to_string(), attempt, u.int_in_range(0..=1)?))
    }

    fn any_stop(&self, u: &mut Unstructured<'_>) -> Result<StopOrder> {
        let modes = [StopMode::Throttle, StopMode::Checkpoint, StopMode::Stop];
        Ok(StopOrder {
            member: self.any_member(u)?,
            mode: *u.choose(&modes)?,
        })
    }

    fn note_epoch(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }
}
