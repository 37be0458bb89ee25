//! A model of the store, the agents and the network around a [`GangCoordinator`].

mod agent;
mod checks;
mod cut_off;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use agent::Agent;
use arbitrary::Unstructured;
use rattanwinch_decisions::GangAction;
use rattanwinch_decisions::GangCoordinator;
use rattanwinch_decisions::GangLimits;
use rattanwinch_decisions::WriteOutcome;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Adjacency;
use rattanwinch_types::Answer;
use rattanwinch_types::Epoch;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::GangShape;
use rattanwinch_types::JobRecord;
use rattanwinch_types::JobSpec;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::Organisation;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestId;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::StopMode;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;

const TARGETS: usize = 4;
const MOST_UNFINISHED: usize = 6;

/// A message on its way, with the epoch of its sender.
#[derive(Debug)]
struct InFlight {
    epoch: Epoch,
    action: GangAction,
    /// Whether the sender still waits for a response.
    awaited: bool,
}

pub struct World {
    now: Timestamp,
    revision: i64,
    epoch: Epoch,
    records: BTreeMap<RequestKey, (JobRecord, Revision)>,
    agents: BTreeMap<TargetName, Agent>,
    network: Vec<InFlight>,
    coordinator: GangCoordinator,
    /// A decider that was replaced while it was frozen, with its epoch.
    frozen: Option<(Epoch, GangCoordinator)>,
    /// The agents that only the replaced decider reaches, which then reaches nothing else.
    cut: BTreeSet<TargetName>,
    /// When the replaced decider sent the last message that confirmed its role.
    confirmed_at: Timestamp,
    waiting: BTreeSet<RequestKey>,
    committed: BTreeSet<(RequestKey, u32)>,
    ran: BTreeMap<RequestKey, BTreeSet<u32>>,
    pub finished: usize,
    pub succeeded: usize,
}

fn zone() -> ZoneName {
    ZoneName::new("az-1").expect("valid")
}

fn target(index: usize) -> TargetName {
    TargetName::new(format!("target-{index}")).expect("valid")
}

fn output(member: &MemberKey) -> Answer {
    Answer::new(format!("output of {member}"))
}

fn coordinator(epoch: Epoch) -> GangCoordinator {
    GangCoordinator::new(zone(), epoch, GangLimits::default(), epoch.0.unsigned_abs())
}

impl World {
    pub fn new() -> Self {
        let agents = (0..TARGETS).map(|index| (target(index), Agent::default()));
        Self {
            now: Timestamp::from_millis(1_000_000),
            revision: 1,
            epoch: Epoch(1),
            records: BTreeMap::new(),
            agents: agents.collect(),
            network: Vec::new(),
            coordinator: coordinator(Epoch(1)),
            frozen: None,
            cut: BTreeSet::new(),
            confirmed_at: Timestamp::ZERO,
            waiting: BTreeSet::new(),
            committed: BTreeSet::new(),
            ran: BTreeMap::new(),
            finished: 0,
            succeeded: 0,
        }
    }

    /// Takes one random step and checks everything that must hold.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        match u.int_in_range(0..=99_u8)? {
            0..=3 => self.submit(u)?,
            4..=13 => self.start(u)?,
            14..=63 => self.deliver(u)?,
            64..=77 => self.heartbeat(u)?,
            78..=84 => self.end_task(u)?,
            85 => self.replace_decider(u)?,
            86 => self.lose_worker(u)?,
            87 => self.cancel_or_evict(u)?,
            88 => self.advance(Duration::from_secs(u.int_in_range(1..=40)?)),
            89 => self
                .coordinator
                .set_loss_detection_suspended(u.arbitrary()?),
            90 => self.resume_frozen(),
            91 => self.cut.clear(),
            _ => self.advance(Duration::from_millis(u.int_in_range(1..=300)?)),
        }
        self.take_actions();
        self.coordinator
            .check_invariants()
            .expect("an invariant of the coordinator is broken");
        self.check_runs();
        Ok(())
    }

    fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        let now = self.now;
        self.agents.values_mut().for_each(|agent| agent.expire(now));
        self.coordinator.tick(now);
        if !self.cut.is_empty() {
            self.resume_frozen();
        }
    }

    fn submit(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.records.len() - self.finished >= MOST_UNFINISHED {
            return Ok(());
        }
        let id = format!("job-{}", self.records.len());
        let key = RequestKey {
            organisation: Organisation::new("letrafa").expect("valid"),
            id: RequestId::new(id).expect("valid"),
        };
        let tasks = u.int_in_range(1..=3)?;
        let spec = JobSpec::builder()
            .key(key.clone())
            .shape(GangShape::new(tasks, 1, Adjacency::Zone).expect("valid"))
            .idempotent(u.arbitrary()?)
            .deadline(self.now + Duration::from_secs(u.int_in_range(1..=600)?))
            .declared_run_time(Duration::from_secs(1))
            .payload("work".into())
            .build();
        let record = JobRecord {
            spec,
            zone: zone(),
            attempt: 0,
            runs: 0,
            state: RecordedState::Queued,
            reason: None,
        };
        self.revision += 1;
        let revision = Revision(self.revision);
        self.records.insert(key.clone(), (record.clone(), revision));
        self.coordinator.restore(record, revision, self.now);
        self.waiting.insert(key);
        Ok(())
    }

    fn start(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let Some(key) = self.waiting.pop_first() else {
            return Ok(());
        };
        let tasks = self.records[&key].0.spec.shape.tasks();
        let mut placed = Vec::new();
        for _ in 0..tasks {
            placed.push(PlacedTask {
                target: target(u.int_in_range(0..=TARGETS - 1)?),
                accelerators: AcceleratorSet::block(0, 1),
            });
        }
        self.coordinator
            .start_attempt(&key, placed, "fits", self.now);
        Ok(())
    }

    /// Lets a replaced decider act on what is due; it doesn't know that it was replaced.
    fn resume_frozen(&mut self) {
        if let Some((_, coordinator)) = &mut self.frozen {
            coordinator.tick(self.now);
        }
    }

    /// The decider of an epoch, if it still runs.
    fn decider(&mut self, epoch: Epoch) -> Option<&mut GangCoordinator> {
        if epoch == self.epoch {
            return Some(&mut self.coordinator);
        }
        let frozen = self.frozen.as_mut().filter(|(known, _)| *known == epoch);
        frozen.map(|(_, coordinator)| coordinator)
    }

    fn take_frozen_actions(&mut self) {
        let Some((epoch, coordinator)) = &mut self.frozen else {
            return;
        };
        let (epoch, actions) = (*epoch, coordinator.take_actions());
        if actions.contains(&GangAction::Deposed) {
            self.frozen = None;
            return;
        }
        let messages = actions.into_iter().filter(|action| {
            !matches!(
                action,
                GangAction::Requeue { .. }
                    | GangAction::StartFailed { .. }
                    | GangAction::Dequeue { .. }
                    | GangAction::Started { .. }
                    | GangAction::Ended { .. }
                    | GangAction::Finished { .. }
            )
        });
        self.network.extend(messages.map(|action| InFlight {
            epoch,
            action,
            awaited: true,
        }));
    }

    fn take_actions(&mut self) {
        self.take_frozen_actions();
        for action in self.coordinator.take_actions() {
            match action {
                GangAction::Requeue { key } | GangAction::StartFailed { key, .. } => {
                    self.waiting.insert(key);
                }
                GangAction::Dequeue { key } => {
                    self.waiting.remove(&key);
                }
                GangAction::Started { .. } | GangAction::Ended { .. } => {}
                GangAction::Finished { .. } => {}
                GangAction::Deposed => panic!("the only decider was deposed"),
                action => self.network.push(InFlight {
                    epoch: self.epoch,
                    action,
                    awaited: true,
                }),
            }
        }
    }

    /// Delivers a random message, or loses it, or loses its response.
    fn deliver(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        if self.network.is_empty() {
            return Ok(());
        }
        let index = u.int_in_range(0..=self.network.len() - 1)?;
        let message = self.network.swap_remove(index);
        let fate = u.int_in_range(0..=19_u8)?;
        if self.is_cut(&message) {
            return Ok(());
        }
        let (arrives, answered) = (fate != 0, fate > 1);
        let own = self.decider(message.epoch).is_some();
        let now = self.now;
        match &message.action {
            GangAction::Write { expected, record } => {
                self.deliver_write(&message, *expected, record, fate);
            }
            GangAction::Read { key } if own => {
                let found = self.records.get(key).cloned();
                let found = found.map(|(record, revision)| (Box::new(record), revision));
                let found = found.filter(|_| answered);
                if let Some(decider) = self.decider(message.epoch) {
                    decider.handle_record_read(key, found, now);
                }
            }
            action if arrives => self.deliver_to_agent(&message, action, own && answered),
            _ => {}
        }
        Ok(())
    }

    fn deliver_write(&mut self, sent: &InFlight, expected: Revision, record: &JobRecord, fate: u8) {
        let key = &record.spec.key;
        let outcome = match fate {
            0 => WriteOutcome::NotApplied,
            1 => WriteOutcome::Unknown,
            2 if sent.awaited => {
                // The caller gives up, but the write still arrives later.
                self.network.push(InFlight {
                    epoch: sent.epoch,
                    action: sent.action.clone(),
                    awaited: false,
                });
                WriteOutcome::Unknown
            }
            _ => self.apply(sent.epoch, expected, record),
        };
        let outcome = if fate == 3 {
            WriteOutcome::Unknown
        } else {
            outcome
        };
        let now = self.now;
        if let Some(decider) = self.answered(sent.epoch, sent.awaited) {
            decider.handle_write_outcome(key, outcome, now);
        }
    }

    fn apply(&mut self, epoch: Epoch, expected: Revision, record: &JobRecord) -> WriteOutcome {
        if epoch != self.epoch {
            return WriteOutcome::Deposed;
        }
        let key = record.spec.key.clone();
        let (found, revision) = self.records[&key].clone();
        if revision != expected {
            return WriteOutcome::Conflict(Some((Box::new(found), revision)));
        }
        let was_finished = matches!(found.state, RecordedState::Finished { .. });
        assert!(!was_finished, "{key} finished twice");
        match &record.state {
            RecordedState::Committed { .. } => {
                self.committed.insert((key.clone(), record.attempt));
            }
            RecordedState::Finished { outcome, .. } => {
                self.check_outcome(record, outcome);
                self.finished += 1;
                self.succeeded += usize::from(outcome.is_ok());
            }
            RecordedState::Queued => {}
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.records.insert(key, (record.clone(), revision));
        WriteOutcome::Applied(revision)
    }

    fn deliver_to_agent(&mut self, sent: &InFlight, action: &GangAction, answered: bool) {
        let now = self.now;
        let epoch = sent.epoch;
        match action {
            GangAction::Hold { target, order } => {
                let held = self.agents.get_mut(target).expect("known").hold(order, now);
                let refused = || RequestError::not_run(ErrorKind::Unavailable, "refused");
                let held = held.then_some(()).ok_or_else(refused);
                if let Some(decider) = self.answered(epoch, answered) {
                    decider.handle_hold_response(&order.member, held, now);
                }
            }
            GangAction::Release { target, member } => {
                let agent = self.agents.get_mut(target).expect("known");
                let (runs, began) = agent.release(member, epoch, now);
                if began {
                    self.began(member);
                }
                let refusal = || RequestError::not_run(ErrorKind::Unavailable, "not held");
                let response = runs.then_some(()).ok_or_else(refusal);
                if let Some(decider) = self.answered(epoch, answered) {
                    decider.handle_release_response(member, response, now);
                }
            }
            GangAction::Abort { target, member } => {
                let agent = self.agents.get_mut(target).expect("known");
                let aborted = agent.abort(member, epoch);
                if let Some(decider) = self.answered(epoch, answered && aborted) {
                    decider.handle_abort_response(member, now);
                }
            }
            GangAction::Stop { target, order } if order.mode != StopMode::Throttle => {
                let agent = self.agents.get_mut(target).expect("known");
                if agent.accepts(epoch) {
                    agent.stop(&order.member);
                }
            }
            GangAction::Collect { target, member } => {
                let known = self.agents[target].members.get(member);
                let succeeded = MemberPhase::Ended(MemberOutcome::Succeeded);
                let found = known.is_some_and(|member| member.phase == succeeded);
                let missing = || RequestError::may_have_run(ErrorKind::NotFound, "no output");
                let output = found.then(|| output(member)).ok_or_else(missing);
                if let Some(decider) = self.answered(epoch, answered) {
                    decider.handle_output(member, output, now);
                }
            }
            _ => {}
        }
    }

    /// Who takes in the response to a message of the decider of `epoch`.
    fn answered(&mut self, epoch: Epoch, answered: bool) -> Option<&mut GangCoordinator> {
        self.decider(epoch).filter(|_| answered)
    }

    fn end_task(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let agent = self
            .agents
            .get_mut(&target(u.int_in_range(0..=TARGETS - 1)?));
        let members = agent.expect("known").members.values_mut();
        let mut running = members.filter(|member| member.phase == MemberPhase::Running);
        if let Some(member) = running.next() {
            let end = if u.ratio(1, 5)? {
                MemberOutcome::Failed("fault".into())
            } else {
                MemberOutcome::Succeeded
            };
            member.phase = MemberPhase::Ended(end);
        }
        Ok(())
    }

    fn lose_worker(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let target = target(u.int_in_range(0..=TARGETS - 1)?);
        self.agents.insert(target, Agent::default());
        Ok(())
    }

    fn cancel_or_evict(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let Some(key) = self.records.keys().next_back().cloned() else {
            return Ok(());
        };
        match u.int_in_range(0..=3_u8)? {
            0 => drop(self.coordinator.cancel(&key, self.now)),
            1 => drop(
                self.coordinator
                    .evict(&key, StopMode::Checkpoint, "reclaim", self.now),
            ),
            2 => drop(
                self.coordinator
                    .evict(&key, StopMode::Stop, "reclaim", self.now),
            ),
            _ => drop(
                self.coordinator
                    .evict(&key, StopMode::Throttle, "reclaim", self.now),
            ),
        }
        Ok(())
    }
}
