use std::collections::BTreeMap;

use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::JobRecord;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Verdict;

use super::Simulation;
use super::output;

impl Simulation {
    pub(super) fn check_outcome(
        &self,
        record: &JobRecord,
        outcome: &Result<Vec<Answer>, RequestError>,
    ) {
        let ran = self.ran.contains_key(&record.spec.key);
        match outcome {
            Ok(answers) => {
                assert_eq!(answers.len(), usize::from(record.spec.shape.tasks()));
                let key = |index| MemberKey {
                    attempt: AttemptKey {
                        key: record.spec.key.clone(),
                        attempt: record.attempt,
                    },
                    index,
                };
                for (index, answer) in (0..).zip(answers) {
                    assert_eq!(*answer, output(&key(index)), "another attempt's output");
                }
            }
            Err(error) if error.verdict == Verdict::NotRun => {
                assert!(!ran, "{} ran but is said not to have run", record.spec.key);
            }
            Err(_) => {}
        }
    }

    pub(super) fn record_start(&mut self, member: &MemberKey) {
        let attempt = &member.attempt;
        let committed = (attempt.key.clone(), attempt.attempt);
        assert!(
            self.committed.contains(&committed),
            "{member} runs without a commit"
        );
        let attempts = self.ran.entry(attempt.key.clone()).or_default();
        attempts.insert(attempt.attempt);
        let (record, _) = &self.records[&attempt.key];
        let finished = matches!(&record.state, RecordedState::Finished { outcome: Err(error), .. }
            if error.verdict == Verdict::NotRun);
        assert!(!finished, "{member} runs after the verdict not run");
        assert!(
            record.spec.idempotent || attempts.len() == 1,
            "{member} runs a non-idempotent job again"
        );
    }

    /// Checks that two attempts at one job never run at the same time.
    pub(super) fn check_runs(&self) {
        let mut running: BTreeMap<&RequestKey, u32> = BTreeMap::new();
        for (member, state) in self.agents.values().flat_map(|agent| &agent.members) {
            if state.phase == MemberPhase::Running {
                let attempt = member.attempt.attempt;
                let other = running.insert(&member.attempt.key, attempt);
                assert!(
                    other.is_none_or(|other| other == attempt),
                    "two attempts at {} run",
                    member.attempt.key
                );
            }
        }
    }
}
