use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::MemberKey;

use super::MemberState;
use super::MemberTable;

rattanwinch_types::value! { copy
    /// Invariants of the members at an agent.
    pub enum Invariant {
        /// An accelerator belongs to at most one live member.
        AcceleratorGrantedOnce,
        /// No member starts after its hold has expired.
        StartWithinHold,
        /// No member starts on an order from an old epoch.
        StartFromHighestEpoch,
        /// No member starts while the gate's view is out of date.
        StartUnderFreshGate,
        /// An ended member never runs again.
        EndedStaysEnded,
        /// Two attempts at a job never run at the same time.
        OneAttemptRuns,
    }
}

impl Invariant {
    /// Stable name used in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AcceleratorGrantedOnce => "accelerator_granted_once",
            Self::StartWithinHold => "start_within_hold",
            Self::StartFromHighestEpoch => "start_from_highest_epoch",
            Self::StartUnderFreshGate => "start_under_fresh_gate",
            Self::EndedStaysEnded => "ended_stays_ended",
            Self::OneAttemptRuns => "one_attempt_runs",
        }
    }
}

rattanwinch_types::value! {
    /// Violation of an invariant by a member.
    pub struct Violation {
        /// The invariant.
        pub invariant: Invariant,
        /// The member.
        pub member: MemberKey,
    }
}

impl MemberTable {
    /// Checks the invariants and returns all violations; there are none unless the program has a
    /// bug. The caller counts them in a metric.
    ///
    /// # Panics
    ///
    /// In debug builds, if an invariant is violated.
    pub fn check_invariants(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_accelerators(&mut violations);
        self.check_starts(&mut violations);
        self.check_attempts_disjoint(&mut violations);
        debug_assert!(violations.is_empty(), "invariants violated: {violations:?}");
        violations
    }

    /// Checks that no accelerator is granted twice. Tasks that the executor had before this agent
    /// started may overlap by the executor's fault; a member granted by this agent must overlap
    /// nothing.
    fn check_accelerators(&self, violations: &mut Vec<Violation>) {
        let mut granted = AcceleratorSet::EMPTY;
        let mut all = AcceleratorSet::EMPTY;
        for (key, member) in self.members() {
            let taken = member.occupied_accelerators();
            let granted_here = member.identity().payload.is_some();
            if taken.overlaps(granted) || (granted_here && taken.overlaps(all)) {
                violations.push(Violation {
                    invariant: Invariant::AcceleratorGrantedOnce,
                    member: key.clone(),
                });
            }
            all = all.union(taken);
            if granted_here {
                granted = granted.union(taken);
            }
        }
    }

    /// Checks that two attempts at a job don't run at once. As with accelerators, this agent isn't
    /// responsible for tasks that the executor had before.
    fn check_attempts_disjoint(&self, violations: &mut Vec<Violation>) {
        let running = || {
            let members = self.members();
            members.filter(|(_, member)| matches!(member, MemberState::Running(_)))
        };
        for (key, member) in running() {
            let granted_here = member.identity().payload.is_some();
            let other = |(other, _): (&MemberKey, &MemberState)| {
                other.attempt.key == key.attempt.key && other.attempt != key.attempt
            };
            if granted_here && running().any(other) {
                violations.push(Violation {
                    invariant: Invariant::OneAttemptRuns,
                    member: key.clone(),
                });
            }
        }
    }

    fn check_starts(&self, violations: &mut Vec<Violation>) {
        for (key, member) in self.members() {
            let MemberState::Running(member) = member else {
                continue;
            };
            let Some(start) = member.start() else {
                continue;
            };
            let barred = self.tombstones.covering(&key.attempt);
            let checks = [
                (Invariant::StartWithinHold, start.at < start.hold_expires_at),
                (
                    Invariant::StartFromHighestEpoch,
                    start.epoch >= start.highest_epoch,
                ),
                (Invariant::StartUnderFreshGate, start.at < start.fresh_until),
                (
                    Invariant::EndedStaysEnded,
                    barred.is_none_or(|tombstone| tombstone.recorded_at >= start.at),
                ),
            ];
            let broken = checks.into_iter().filter(|(_, holds)| !holds);
            violations.extend(broken.map(|(invariant, _)| Violation {
                invariant,
                member: key.clone(),
            }));
        }
    }
}
