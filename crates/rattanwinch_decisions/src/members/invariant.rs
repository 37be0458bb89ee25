use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::MemberKey;

use super::MemberState;
use super::MemberTable;

rattanwinch_types::value! { copy
    /// What must always hold of the members at an agent.
    pub enum Invariant {
        /// An accelerator is in at most one live member.
        AcceleratorGrantedOnce,
        /// Nothing starts after its hold expired.
        StartWithinHold,
        /// Nothing starts from an old epoch.
        StartFromHighestEpoch,
        /// Nothing starts under an expired gate.
        StartUnderFreshGate,
        /// An ended member never runs again.
        EndedStaysEnded,
        /// Two attempts at a job never run at the same time.
        OneAttemptRuns,
    }
}

impl Invariant {
    /// The stable text used in logs and metric labels.
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
    /// An invariant that a member breaks.
    pub struct Violation {
        /// The invariant.
        pub invariant: Invariant,
        /// The member.
        pub member: MemberKey,
    }
}

impl MemberTable {
    /// Checks the invariants and returns what is violated, which is nothing unless the program
    /// has a bug. The caller counts the violations in a metric.
    ///
    /// # Panics
    ///
    /// In debug builds, if an invariant is violated.
    pub fn check_invariants(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_accelerators(&mut violations);
        self.check_starts(&mut violations);
        self.check_attempts_apart(&mut violations);
        debug_assert!(violations.is_empty(), "invariants violated: {violations:?}");
        violations
    }

    /// Two tasks that the executor had before this agent may overlap by the executor's fault;
    /// a member that was granted here overlaps nothing.
    fn check_accelerators(&self, violations: &mut Vec<Violation>) {
        let mut granted = AcceleratorSet::EMPTY;
        let mut all = AcceleratorSet::EMPTY;
        for (key, member) in self.members() {
            let taken = member.taken();
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

    /// As with accelerators, two tasks that the executor had before this agent aren't its doing.
    fn check_attempts_apart(&self, violations: &mut Vec<Violation>) {
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
                    barred.is_none_or(|it| it.recorded_at >= start.at),
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
