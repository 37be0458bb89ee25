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
use super::TARGETS;
use super::World;
use super::coordinator;
use super::target;

/// The other entries read of a takeover this much later at most, and until then they confirm the
/// replaced decider.
const CONFIRMED_LATE_MS: u64 = 1500;

/// Two task leases: the replaced decider's last renewal and the next attempt are within them.
const FOLLOWED_FOR: Duration = Duration::from_secs(60);

/// The coordinator looks at most 700 ms after a lease has passed, and a lost stop comes again.
const STOPPED_WITHIN: Duration = Duration::from_secs(5);

impl World {
    /// Replaces the decider, which is dead, frozen, or cut off with some of the agents.
    pub(super) fn replace_decider(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let dead: bool = u.arbitrary()?;
        self.cut.clear();
        if !dead {
            for index in 0..TARGETS {
                if u.arbitrary()? {
                    self.cut.insert(target(index));
                }
            }
            let late = u.int_in_range(0..=CONFIRMED_LATE_MS)?;
            self.confirmed_at = self.now + Duration::from_millis(late);
        }
        self.revision += 1;
        let epoch = std::mem::replace(&mut self.epoch, Epoch(self.revision));
        let replaced = std::mem::replace(&mut self.coordinator, coordinator(self.epoch));
        self.frozen = (!dead).then_some((epoch, replaced));
        self.waiting.clear();
        for (key, (record, revision)) in self.records.clone() {
            if record.state == RecordedState::Queued {
                self.waiting.insert(key);
            }
            self.coordinator.restore(record, revision, self.now);
        }
        Ok(())
    }

    /// Whether a message can't arrive: the replaced decider is cut off from the store, and the
    /// new one from the agents that only the replaced one reaches.
    pub(super) fn is_cut(&self, sent: &InFlight) -> bool {
        let by_new = sent.epoch == self.epoch;
        match &sent.action {
            GangAction::Write { .. } | GangAction::Read { .. } => !by_new && !self.cut.is_empty(),
            GangAction::Hold { target, .. }
            | GangAction::Release { target, .. }
            | GangAction::Abort { target, .. }
            | GangAction::Stop { target, .. }
            | GangAction::Collect { target, .. } => by_new && self.cut.contains(target),
            _ => false,
        }
    }

    /// Replaces a decider while gangs run, mostly cut off with some agents, and follows all agents
    /// in small steps until the task leases of the old attempts have passed; the steps taken.
    pub fn run_cut_off(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<u64> {
        for _ in 0..3 {
            self.submit(u)?;
        }
        let before = u.int_in_range(20..=120_u64)?;
        for _ in 0..before {
            self.follow(Duration::from_millis(100), u)?;
        }
        self.replace_decider(u)?;
        let replaced_at = self.now;
        let mut steps = before;
        while self.now.since(replaced_at) < FOLLOWED_FOR {
            self.follow(Duration::from_millis(u.int_in_range(100..=700)?), u)?;
            steps += 1;
        }
        Ok(steps)
    }

    /// Silences some agents of a decider that puts the silence down to itself, and checks that no
    /// gang runs without its silent members once their leases have passed; the steps taken.
    pub fn run_silent(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<u64> {
        for _ in 0..3 {
            self.submit(u)?;
        }
        for _ in 0..20 {
            self.follow(Duration::from_millis(100), u)?;
        }
        self.coordinator.set_loss_detection_suspended(true);
        for index in 0..TARGETS {
            if u.arbitrary()? {
                self.cut.insert(target(index));
            }
        }
        let (silent_at, mut steps) = (self.now, 20);
        // Without entropy no heartbeat is answered, so that no order to stop arrives.
        while self.now.since(silent_at) < FOLLOWED_FOR && !u.is_empty() {
            self.follow(Duration::from_millis(u.int_in_range(100..=700)?), u)?;
            if self.now.since(silent_at) >= TASK_LEASE + STOPPED_WITHIN {
                self.check_whole();
            }
            steps += 1;
        }
        Ok(steps)
    }

    /// No member runs while another one of its attempt has lapsed at a silent agent.
    fn check_whole(&self) {
        let members = || self.agents.values().flat_map(|agent| &agent.members);
        let silent = self
            .cut
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

    /// Lets time pass, has every agent send a heartbeat and delivers everything.
    fn follow(&mut self, span: Duration, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        self.advance(span);
        for index in 0..TARGETS {
            self.heartbeat_of(&target(index), u.ratio(1, 10)?);
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
        self.heartbeat_of(&target, u.ratio(1, 10)?);
        Ok(())
    }

    fn heartbeat_of(&mut self, target: &TargetName, unanswered: bool) {
        if self.cut.contains(target) {
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
        let Some((epoch, decider)) = &mut self.frozen else {
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
