use std::collections::BTreeMap;
use std::time::Duration;

use arbitrary::Result;
use arbitrary::Unstructured;
use rattanwinch_decisions::Action;
use rattanwinch_decisions::Actions;
use rattanwinch_decisions::Gate;
use rattanwinch_decisions::HOLD_LIMIT;
use rattanwinch_decisions::Hold;
use rattanwinch_decisions::ListRequest;
use rattanwinch_decisions::MemberState;
use rattanwinch_decisions::MemberTable;
use rattanwinch_decisions::ObservedState;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_decisions::Release;
use rattanwinch_decisions::TOMBSTONE_RETENTION;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestError;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Timestamp;

use crate::model_executor::ModelExecutor;
use crate::model_executor::Outcome;
use crate::support::hold_order;
use crate::support::member;
use crate::support::response;

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
    Done(Action, Outcome),
    Listed(ListRequest, Vec<ObservedTask>),
}

/// One agent's table, its executor and the messages between them, with what a bystander knows.
pub struct World {
    table: MemberTable,
    executor: ModelExecutor,
    gate: Gate,
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
            executor: ModelExecutor::default(),
            gate: Gate::default(),
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
            13..=17 => self.carry_out(u)?,
            18..=21 => self.call_arrives(u)?,
            22..=24 => self.message_arrives(u)?,
            25 => self.time_passes(u)?,
            26 => self.settle(),
            27 => self.list(),
            28 => self.tick(),
            29 => {
                let key = self.any_member(u)?;
                self.executor.finish(&key, u.arbitrary()?);
            }
            30 => self.call_times_out(u)?,
            _ => self.something_rare(u)?,
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
        assert!(!self.table.is_active(), "a member outlives its leases");
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
        let held_until = self.now + order.hold_for.min(HOLD_LIMIT);
        self.note_epoch(epoch);
        match self.table.hold(order, &self.gate, self.now) {
            Ok(Hold::Load(action)) => {
                self.held_until.insert(key, held_until);
                self.waiting.push((action, self.commands));
            }
            Ok(Hold::Held | Hold::Loading) => {}
            Err(error) => assert!(epoch >= self.highest || error.kind == ErrorKind::Fenced),
        }
        Ok(())
    }

    fn release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = self.any_member(u)?;
        let epoch = self.any_epoch(u)?;
        self.note_epoch(epoch);
        match self.table.release(&key, epoch, &self.gate, self.now) {
            Ok(Release::Run(action)) => {
                assert!(epoch >= self.highest, "{key} is started from an old epoch");
                self.waiting.push((action, self.commands));
            }
            Ok(Release::Running | Release::Starting) => {}
            Err(error) if error.is_not_run() => self.refused_as_not_run(&key, &error),
            Err(_) => {}
        }
        Ok(())
    }

    fn refused_as_not_run(&mut self, key: &MemberKey, error: &RequestError) {
        let started = self.started.get(key);
        assert!(
            started.is_none(),
            "{key} started, and a release says: {error}"
        );
        self.refused.insert(key.clone(), self.commands);
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
        let reported: Vec<_> = self.table.members().map(|(key, _)| key.clone()).collect();
        for _ in 0..u.int_in_range(0..=4)? {
            if let Some(index) = any_index(u, reported.len())? {
                response.forget.push(reported[index].clone());
            }
        }
        self.gate = self.gate.after_heartbeat(sent_at, &response);
        let listened = response.deciding.is_some_and(|it| it >= self.highest);
        if listened {
            self.note_epoch(epoch);
            self.ended_at
                .retain(|_, at| sent_at <= *at + TOMBSTONE_RETENTION);
        }
        let actions = self.table.heartbeat_answered(sent_at, &response, self.now);
        self.will_do(actions);
        Ok(())
    }

    fn carry_out(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(index) = any_index(u, self.waiting.len())? {
            let (action, cause) = self.waiting.swap_remove(index);
            self.send(action, cause);
        }
        Ok(())
    }

    /// As the agent does it: the time is read right before the executor is called.
    fn send(&mut self, action: Action, cause: u64) {
        if let Err(error) = action.check_still_due(&self.gate, self.now) {
            self.messages.push(Message::Done(action, Err(error)));
            return;
        }
        if let Action::Run { member, .. } = &action {
            assert!(
                self.now < self.held_until[member],
                "{member} is started after its hold"
            );
            assert!(
                self.now < self.gate.fresh_until && !self.gate.zone_closed,
                "{member} is started under an expired or closed gate"
            );
        }
        self.calls.push(Call {
            action,
            sent_at: self.now,
            cause,
            awaited: true,
        });
    }

    fn call_arrives(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(index) = any_index(u, self.calls.len())? {
            let call = self.calls.swap_remove(index);
            self.land(call);
        }
        Ok(())
    }

    fn land(&mut self, call: Call) {
        let now = self.now;
        let outcome = match &call.action {
            Action::Load { order, lease_until } => self.executor.load(order, *lease_until, now),
            Action::Run { member, .. } => match self.executor.run(member, now) {
                Ok(true) => {
                    self.start(member, call.cause);
                    Ok(())
                }
                other => other.map(drop),
            },
            Action::Stop { member, mode } => self.executor.stop(member, *mode, now),
            Action::Renew {
                members,
                lease_until,
            } => return self.executor.renew(members, *lease_until, now),
            Action::Forget(member) => return self.executor.forget(member, now),
        };
        if call.awaited {
            self.messages.push(Message::Done(call.action, outcome));
        }
    }

    /// The executor starts a task: this must be the only start, and nobody was told otherwise.
    fn start(&mut self, member: &MemberKey, cause: u64) {
        self.starts += 1;
        let ended = self.ended_at.get(member);
        assert!(ended.is_none(), "{member} runs again after it ended");
        let before = self.started.insert(member.clone(), self.now);
        assert!(before.is_none(), "{member} runs twice");
        let refused = self.refused.get(member);
        assert!(
            refused.is_none_or(|it| *it < cause),
            "{member} runs after \"not run\""
        );
        let running = self.executor.list(self.now);
        let running = running.iter().filter(|it| it.state.end().is_none());
        let taken = running.fold(0, |sum, it| sum + it.accelerators.count());
        assert!(taken <= 8, "more accelerators are used than there are");
    }

    fn call_times_out(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(index) = any_index(u, self.calls.len())? else {
            return Ok(());
        };
        let call = &mut self.calls[index];
        if std::mem::take(&mut call.awaited) {
            let error = RequestError::may_have_run(ErrorKind::Unavailable, "timed out");
            let message = Message::Done(call.action.clone(), Err(error));
            self.messages.push(message);
        }
        Ok(())
    }

    fn message_arrives(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(index) = any_index(u, self.messages.len())? {
            let message = self.messages.swap_remove(index);
            self.deliver(message);
        }
        Ok(())
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        let actions = match message {
            Message::Done(Action::Load { order, .. }, outcome) => {
                self.table.loaded(&order.member, &outcome, now)
            }
            Message::Done(Action::Run { member, .. }, outcome) => {
                self.table.ran(&member, &outcome, now)
            }
            Message::Done(Action::Stop { member, mode }, outcome) => {
                self.table.stopped(&member, mode, &outcome, now);
                Actions::new()
            }
            Message::Done(Action::Renew { .. } | Action::Forget(_), _) => Actions::new(),
            Message::Listed(request, tasks) => self.table.listed(request, &tasks, now),
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
        let request = self.table.list_request();
        let tasks = self.executor.list(self.now);
        self.messages.push(Message::Listed(request, tasks));
    }

    fn tick(&mut self) {
        let actions = self.table.tick(self.now);
        self.will_do(actions);
    }

    fn something_rare(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=15u8)? {
            0..=1 => self.restart_agent(),
            2 => self.executor.lose_all(),
            _ => {}
        }
        Ok(())
    }

    /// A new agent adopts what the executor has; calls of the old one may still arrive. Copies
    /// of messages to the old one can't, so what only it knew is forgotten here as well.
    fn restart_agent(&mut self) {
        self.table = MemberTable::new(AcceleratorSet::ALL);
        self.gate = Gate::default();
        self.waiting.clear();
        self.messages.clear();
        self.refused.clear();
        for call in &mut self.calls {
            call.awaited = false;
        }
        let tasks = self.executor.list(self.now);
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
            if !matches!(state, MemberState::Ended(_)) {
                let ended = self.ended_at.get(key);
                assert!(ended.is_none(), "{key} came back to life");
            } else if !self.ended_at.contains_key(key) {
                self.ended_at.insert(key.clone(), self.now);
            }
        }
        for task in self.executor.list(self.now) {
            let ended = self.ended_at.contains_key(&task.member);
            let running = task.state == ObservedState::Running;
            assert!(
                !(ended && running),
                "{} runs and is taken for ended",
                task.member
            );
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

fn any_index(u: &mut Unstructured<'_>, len: usize) -> Result<Option<usize>> {
    if len == 0 {
        return Ok(None);
    }
    u.int_in_range(0..=len - 1).map(Some)
}
