use std::collections::BTreeSet;
use std::time::Duration;

use arbitrary::Unstructured;
use rattanwinch_decisions::GangAction;
use rattanwinch_decisions::TASK_LEASE;
use rattanwinch_decisions::may_renew;
use rattanwinch_types::Epoch;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::RecordedState;
use rattanwinch_types::TargetName;

use super::InFlight;
use super::Simulation;
use super::TARGETS;
use super::coordinator;
use super::target;

/// Maximum delay until the other entries have read of a takeover in the store; until then they
/// confirm the replaced decider.
const MAX_CONFIRMATION_DELAY_MS: u64 = 1500;

/// How long agents are observed: two task leases, which cover the replaced decider's last renewal
/// and the next attempt.
const OBSERVATION_DURATION: Duration = Duration::from_secs(60);

/// Time limit for stopping the rest of a gang: the coordinator's timers run at most 700 ms after a
/// lease has expired, and a lost stop order is repeated.
const STOP_TIME_LIMIT: Duration = Duration::from_secs(5);

impl Simulation {
    /// Replaces the decider, which is dead, frozen, or partitioned together with some agents.
    pub(super) fn replace_decider(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let dead: bool = u.arbitrary()?;
        self.partitioned_agents.clear();
        if !dead {
            for index in 0..TARGETS {
                if u.arbitrary()? {
                    self.partitioned_agents.insert(target(index));
                }
            }
            let late = u.int_in_range(0..=MAX_CONFIRMATION_DELAY_MS)?;
            self.confirmed_at = self.now + Duration::from_millis(late);
        }
        self.revision += 1;
        let epoch = std::mem::replace(&mut self.epoch, Epoch(self.revision));
        let replaced = std::mem::replace(&mut self.coordinator, coordinator(self.epoch));
        self.replaced_decider = (!dead).then_some((epoch, replaced));
        self.waiting.clear();
        for (key, (record, revision)) in self.records.clone() {
            if record.state == RecordedState::Queued {
                self.waiting.insert(key);
            }
            self.coordinator.restore(record, revision, self.now);
        }
        Ok(())
    }

    /// Whether the partition drops a message: the replaced decider doesn't reach the store, and the
    /// new one doesn't reach the agents on the replaced one's side.
    pub(super) fn is_dropped_by_partition(&self, sent: &InFlight) -> bool {
        let by_new = sent.epoch == self.epoch;
        match &sent.action {
            GangAction::Write { .. } | GangAction::Read { .. } => {
                !by_new && !self.partitioned_agents.is_empty()
            }
            GangAction::Hold { target, .. }
            | GangAction::Release { target, .. }
            | GangAction::Abort { target, .. }
            | GangAction::Stop { target, .. }
            | GangAction::Collect { target, .. } => {
                by_new && self.partitioned_agents.contains(target)
            }
            _ => false,
        }
    }

    /// Replaces a decider while gangs run, mostly partitioned together with some agents, and
    /// advances all agents in small steps until the task leases of the old attempts have expired.
    /// Returns the number of steps.
    pub fn run_partitioned(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<u64> {
        for _ in 0..3 {
            self.submit(u)?;
        }
        let before = u.int_in_range(20..=120_u64)?;
        for _ in 0..before {
            self.advance_and_deliver(Duration::from_millis(100), u)?;
        }
        self.replace_decider(u)?;
        let replaced_at = self.now;
        let mut steps = before;
        while self.now.since(replaced_at) < OBSERVATION_DURATION {
            self.advance_and_deliver(Duration::from_millis(u.int_in_range(100..=700)?), u)?;
            steps += 1;
        }
        Ok(steps)
    }

    /// Silences some agents of a decider whose loss detection is suspended, and checks that no gang
    /// runs without its silent members once their leases have expired. Returns the number of steps.
    pub fn run_silent(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<u64> {
        for _ in 0..3 {
            self.submit(u)?;
        }
        for _ in 0..20 {
            self.advance_and_deliver(Duration::from_millis(100), u)?;
        }
        self.coordinator.set_loss_detection_suspended(true);
        for index in 0..TARGETS {
            if u.arbitrary()? {
                self.partitioned_agents.insert(target(index));
            }
        }
        let (silent_at, mut steps) = (self.now, 20);
        // Without entropy no heartbeat is answered, so no stop order arrives.
        while self.now.since(silent_at) < OBSERVATION_DURATION && !u.is_empty() {
            self.advance_and_deliver(Duration::from_millis(u.int_in_range(100..=700)?), u)?;
            if self.now.since(silent_at) >= TASK_LEASE + STOP_TIME_LIMIT {
                self.check_gangs_complete();
            }
            steps += 1;
        }
        Ok(steps)
    }

    /// Checks that no member runs while another one of its attempt has lapsed at a silent agent.
    fn check_gangs_complete(&self) {
        let members = || self.agents.values().flat_map(|agent| &agent.members);
        let silent = self
            .partitioned_agents
            .iter()
            .flat_map(|target| &self.agents[target].members);
        let lapsed = silent.filter(|(_, state)| {
            let end = MemberPhase::Ended(MemberOutcome::Lapsed);
            state.phase == end
        });
        let lapsed: BTreeSet<_> = lapsed.map(|(member, _)| &member.attempt).collect();
        for (member, state) in members() {
            let partial = state.phase == MemberPhase::Running && lapsed.contains(&member.attempt);
            assert!(!partial, "{member} runs without the whole gang");
        }
    }

    /// Advances the time, sends a heartbeat from every agent and delivers all messages.
    fn advance_and_deliver(
        &mut self,
        span: Duration,
        u: &mut Unstructured<'_>,
    ) -> arbitrary::Result<()> {
        self.advance(span);
        for index in 0..TARGETS {
            self.send_heartbeat(&target(index), u.ratio(1, 10)?);
        }
        self.start(u)?;
        self.take_actions();
        while !self.network.is_empty() {
            self.deliver(u)?;
            self.take_actions();
        }
        self.check_runs();
        Ok(())
    }

    pub(super) fn heartbeat(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let target = target(u.int_in_range(0..=TARGETS - 1)?);
        self.send_heartbeat(&target, u.ratio(1, 10)?);
        Ok(())
    }

    fn send_heartbeat(&mut self, target: &TargetName, unanswered: bool) {
        if self.partitioned_agents.contains(target) {
            self.heartbeat_to_replaced(target);
            return;
        }
        let agent = self.agents.get_mut(target).expect("known");
        if !agent.accepts(self.epoch) {
            return;
        }
        let reports = agent.reports();
        let orders = self
            .coordinator
            .handle_heartbeat(target, &reports, self.now);
        if unanswered {
            return;
        }
        agent.renew(self.now);
        orders.stop.iter().for_each(|stop| agent.stop(&stop.member));
        for member in &orders.forget {
            agent.members.remove(member);
        }
    }

    fn heartbeat_to_replaced(&mut self, target: &TargetName) {
        let Some((epoch, decider)) = &mut self.replaced_decider else {
            return;
        };
        let agent = self.agents.get_mut(target).expect("known");
        if !agent.accepts(*epoch) {
            return;
        }
        let orders = decider.handle_heartbeat(target, &agent.reports(), self.now);
        if may_renew(Some(self.confirmed_at), false, self.now) {
            agent.renew(self.now);
            orders.stop.iter().for_each(|stop| agent.stop(&stop.member));
        }
    }
}
