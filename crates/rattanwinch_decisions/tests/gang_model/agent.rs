use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanwinch_decisions::TASK_LEASE;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::MemberReport;
use rattanwinch_types::Timestamp;

/// A member at a modelled agent.
#[derive(Debug)]
pub struct Member {
    pub phase: MemberPhase,
    /// When its hold or its task lease ends.
    pub until: Timestamp,
}

/// The agent and the executor of one worker.
#[derive(Debug, Default)]
pub struct Agent {
    pub epoch: Option<Epoch>,
    pub members: BTreeMap<MemberKey, Member>,
    pub tombstones: BTreeSet<MemberKey>,
}

impl Agent {
    pub fn accepts(&mut self, epoch: Epoch) -> bool {
        let accepted = self.epoch.is_none_or(|seen| epoch >= seen);
        if accepted {
            self.epoch = Some(epoch);
        }
        accepted
    }

    /// Ends what has expired.
    pub fn expire(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            let live = !matches!(member.phase, MemberPhase::Ended(_));
            if live && now >= member.until {
                member.phase = MemberPhase::Ended(MemberOutcome::Lapsed);
            }
        }
    }

    pub fn hold(&mut self, order: &HoldOrder, now: Timestamp) -> bool {
        if !self.accepts(order.epoch) || self.tombstones.contains(&order.member) {
            return false;
        }
        let held = Member {
            phase: MemberPhase::Held,
            until: now + order.hold_for,
        };
        let member = self.members.entry(order.member.clone()).or_insert(held);
        !matches!(member.phase, MemberPhase::Ended(_))
    }

    /// True if the member runs; `began` is set if it does since this call.
    pub fn release(&mut self, key: &MemberKey, epoch: Epoch, now: Timestamp) -> (bool, bool) {
        if !self.accepts(epoch) || self.tombstones.contains(key) {
            return (false, false);
        }
        match self.members.get_mut(key) {
            Some(member) if member.phase == MemberPhase::Held => {
                member.phase = MemberPhase::Running;
                member.until = now + TASK_LEASE;
                (true, true)
            }
            Some(member) => (member.phase == MemberPhase::Running, false),
            None => (false, false),
        }
    }

    pub fn abort(&mut self, key: &MemberKey, epoch: Epoch) -> bool {
        if !self.accepts(epoch) {
            return false;
        }
        self.stop(key);
        self.tombstones.insert(key.clone());
        true
    }

    pub fn stop(&mut self, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key)
            && !matches!(member.phase, MemberPhase::Ended(_))
        {
            member.phase = MemberPhase::Ended(MemberOutcome::Stopped);
        }
    }

    pub fn renew(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            if member.phase == MemberPhase::Running {
                member.until = now + TASK_LEASE;
            }
        }
    }

    pub fn reports(&self) -> Vec<MemberReport> {
        let report = |(key, member): (&MemberKey, &Member)| MemberReport {
            member: key.clone(),
            epoch: self.epoch.unwrap_or(Epoch(0)),
            phase: member.phase.clone(),
            accelerators: AcceleratorSet::EMPTY,
        };
        self.members.iter().map(report).collect()
    }
}
