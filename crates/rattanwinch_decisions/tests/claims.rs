//! Drives claims of one request through arbitrary orders of writes, sends, losses, duplicates,
//! late deliveries, restarts of agents and deaths of entries.
//!
//! Guards against a non-idempotent request that runs twice, a refusal that says "not run" of a
//! request that ran or runs later, and an answer that isn't the one of the run.

use std::collections::BTreeMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use rattanwinch_decisions::AttemptQueryResponse;
use rattanwinch_decisions::Claim;
use rattanwinch_decisions::ClaimStep;
use rattanwinch_decisions::WriteResponse;
use rattanwinch_testing::PropertyTest;
use rattanwinch_types::Answer;
use rattanwinch_types::ClaimOutcome;
use rattanwinch_types::ClaimRecord;
use rattanwinch_types::Digest;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Incarnation;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Verdict;

const SEEDS: u64 = 300;
const STEPS: usize = 200;
const AGENTS: usize = 3;

/// One life of an agent: what became of each attempt that it has seen.
#[derive(Default)]
struct Agent {
    incarnation: u64,
    attempts: BTreeMap<u32, ClaimOutcome>,
}

/// One submission of the request at one entry.
struct Submission {
    /// What it needs next; `None` once it has ended or its entry has died.
    step: Option<ClaimStep>,
    /// Whether no other submission was under way at any time of this one.
    alone: bool,
    /// Whether it was refused as not run.
    refused: bool,
}

/// An attempt that is on its way to an agent.
struct Message {
    submission: usize,
    agent: usize,
    incarnation: u64,
    attempt: u32,
}

struct World {
    digest: Digest,
    agents: Vec<Agent>,
    stored: Option<(ClaimRecord, Revision)>,
    revision: i64,
    late_writes: Vec<(ClaimRecord, Option<Revision>)>,
    late_messages: Vec<Message>,
    runs: u32,
    ran_by: Vec<usize>,
    submissions: Vec<Submission>,
    answers: Vec<Answer>,
}

impl World {
    fn new() -> Self {
        Self {
            digest: Digest::of(b"insole order"),
            agents: (0..AGENTS).map(|_| Agent::default()).collect(),
            stored: None,
            revision: 0,
            late_writes: Vec::new(),
            late_messages: Vec::new(),
            runs: 0,
            ran_by: Vec::new(),
            submissions: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn write(&mut self, record: ClaimRecord, expected: Option<Revision>) -> WriteResponse {
        let holds = match (&self.stored, expected) {
            (None, None) => true,
            (Some((_, revision)), Some(expected)) => *revision == expected,
            _ => false,
        };
        if holds {
            self.revision += 1;
            self.stored = Some((record, Revision(self.revision)));
            return WriteResponse::Applied(Revision(self.revision));
        }
        match self.stored.clone() {
            Some((record, revision)) => WriteResponse::Found(record, revision),
            None => WriteResponse::Missing,
        }
    }

    /// What the agent does with an attempt; the same rules as the agent's table.
    fn deliver(&mut self, message: &Message) -> ClaimOutcome {
        let agent = &mut self.agents[message.agent];
        if agent.incarnation != message.incarnation {
            return Err(RequestError::not_run(ErrorKind::Unavailable, "restarted"));
        }
        if let Some(known) = agent.attempts.get(&message.attempt) {
            return known.clone();
        }
        self.runs += 1;
        assert_eq!(self.runs, 1, "a non-idempotent request ran twice");
        let refused = self.submissions[message.submission].refused;
        assert!(
            !refused,
            "a submission that was refused as not run ran later"
        );
        self.ran_by.push(message.submission);
        let answer = Answer::new(format!("run {}", self.runs));
        self.answers.push(answer.clone());
        agent.attempts.insert(message.attempt, Ok(answer.clone()));
        Ok(answer)
    }

    fn ask(&mut self, agent: usize, incarnation: u64, attempt: u32) -> AttemptQueryResponse {
        let agent = &mut self.agents[agent];
        if agent.incarnation != incarnation {
            return AttemptQueryResponse::AgentReplaced;
        }
        if let Some(known) = agent.attempts.get(&attempt) {
            return AttemptQueryResponse::Ended(known.clone());
        }
        let never = RequestError::not_run(ErrorKind::Unavailable, "never runs");
        agent.attempts.insert(attempt, Err(never));
        AttemptQueryResponse::NeverRuns
    }

    fn index(target: &TargetName) -> usize {
        target
            .as_str()
            .parse()
            .expect("targets are named by their index")
    }

    /// Carries out one step of a claim with arbitrary faults; `None` once it has ended.
    fn advance(
        &mut self,
        submission: usize,
        step: ClaimStep,
        u: &mut Unstructured<'_>,
    ) -> Result<Option<ClaimStep>> {
        Ok(match step {
            ClaimStep::PickTarget(claim) => Some(self.pick(claim, u)?),
            ClaimStep::Dispatch(claim) => {
                let agent = Self::index(claim.target());
                let (incarnation, attempt) = (claim.incarnation().0, claim.attempt());
                let message = Message {
                    submission,
                    agent,
                    incarnation,
                    attempt,
                };
                Some(claim.handle_dispatch_outcome(self.send(message, u)?))
            }
            ClaimStep::QueryTarget(claim) => {
                let agent = Self::index(claim.target());
                let response = self.ask(agent, claim.incarnation().0, claim.attempt());
                let lost = u.ratio(1, 8)?;
                Some(claim.handle_query_response(if lost {
                    AttemptQueryResponse::Unreachable
                } else {
                    response
                }))
            }
            ClaimStep::Done { outcome, record } => {
                self.check_end(submission, &outcome);
                if let Some((record, revision)) = record
                    && u.ratio(3, 4)?
                {
                    self.write(record, Some(revision));
                }
                None
            }
        })
    }

    fn pick(
        &mut self,
        claim: Claim<rattanwinch_decisions::Unclaimed>,
        u: &mut Unstructured<'_>,
    ) -> Result<ClaimStep> {
        if u.ratio(1, 12)? {
            let error = RequestError::not_run(ErrorKind::Unavailable, "no target");
            return Ok(claim.reject(error));
        }
        let agent = u.choose_index(AGENTS)?;
        let target = TargetName::new(agent.to_string()).expect("an index is a name");
        let claim = claim.propose(target, Incarnation(self.agents[agent].incarnation));
        let (record, expected) = (claim.record().clone(), claim.expected());
        let response = match u.choose_index(6)? {
            // The response is lost after the write took effect.
            0 => {
                self.write(record, expected);
                WriteResponse::Unknown
            }
            // The write takes effect after it was given up.
            1 => {
                self.late_writes.push((record, expected));
                WriteResponse::Unknown
            }
            _ => self.write(record, expected),
        };
        Ok(claim.handle_write_response(response))
    }

    fn send(&mut self, message: Message, u: &mut Unstructured<'_>) -> Result<ClaimOutcome> {
        let lost = || {
            Err(RequestError::may_have_run(
                ErrorKind::Unavailable,
                "connection lost",
            ))
        };
        Ok(match u.choose_index(6)? {
            // The answer is lost.
            0 => {
                let _ = self.deliver(&message);
                lost()
            }
            // The message is late.
            1 => {
                self.late_messages.push(message);
                lost()
            }
            // Nothing was sent.
            2 => Err(RequestError::not_run(
                ErrorKind::Unavailable,
                "no connection",
            )),
            _ => self.deliver(&message),
        })
    }

    /// "Not run" is said of the submission; if no other one was under way, it holds for the
    /// request.
    fn check_end(&mut self, submission: usize, outcome: &ClaimOutcome) {
        match outcome {
            Ok(answer) => assert!(self.answers.contains(answer), "an answer that nobody gave"),
            Err(error) if error.verdict == Verdict::NotRun => {
                assert!(
                    !self.ran_by.contains(&submission),
                    "not run, but it ran: {error}"
                );
                let alone = self.submissions[submission].alone;
                assert!(
                    !alone || self.runs == 0,
                    "not run, but the request ran: {error}"
                );
                self.submissions[submission].refused = true;
            }
            Err(_) => {}
        }
    }

    fn submit(&mut self, first: bool) {
        let step = Some(ClaimStep::PickTarget(Claim::new(self.digest, first)));
        let alone = self.submissions.iter().all(|other| other.step.is_none());
        if !alone {
            for other in &mut self.submissions {
                other.alone &= other.step.is_none();
            }
        }
        self.submissions.push(Submission {
            step,
            alone,
            refused: false,
        });
    }

    fn disturb(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.choose_index(4)? {
            0 => {
                let agent = u.choose_index(AGENTS)?;
                let incarnation = self.agents[agent].incarnation + 1;
                self.agents[agent] = Agent {
                    incarnation,
                    attempts: BTreeMap::new(),
                };
            }
            1 if !self.late_messages.is_empty() => {
                let message = self.late_messages.swap_remove(0);
                let _ = self.deliver(&message);
            }
            2 if !self.late_writes.is_empty() => {
                let (record, expected) = self.late_writes.swap_remove(0);
                self.write(record, expected);
            }
            _ => {}
        }
        Ok(())
    }
}

fn run(u: &mut Unstructured<'_>, steps: usize) -> Result<World> {
    let mut world = World::new();
    world.submit(true);
    for _ in 0..steps {
        if u.ratio(1, 6)? {
            world.disturb(u)?;
        }
        if world.submissions.len() < 12 && u.ratio(1, 10)? {
            world.submit(false);
        }
        let index = u.choose_index(world.submissions.len())?;
        let Some(step) = world.submissions[index].step.take() else {
            continue;
        };
        // An entry that dies takes its submission with it.
        if !u.ratio(1, 30)? {
            let next = world.advance(index, step, u)?;
            world.submissions[index].step = next;
        }
    }
    Ok(world)
}

/// Runs one submission to its end without faults.
fn run_calmly(world: &mut World) {
    world.submit(true);
    let calm = [u8::MAX; 4096];
    let mut u = Unstructured::new(&calm);
    while let Some(step) = world.submissions[0].step.take() {
        let next = world.advance(0, step, &mut u);
        world.submissions[0].step = next.expect("there are enough choices");
    }
}

/// Guards against double runs and untrue verdicts under any order of faults.
#[test]
fn a_request_runs_at_most_once_and_no_verdict_is_better_than_the_truth() {
    PropertyTest::new("claims").with_seeds(SEEDS).run(|u| {
        run(u, STEPS)?;
        Ok(STEPS as u64)
    });
}

/// Guards against a model in which nothing ever runs, which would pass every check.
#[test]
fn without_faults_the_request_runs() {
    let mut world = World::new();
    run_calmly(&mut world);
    assert_eq!(world.runs, 1);
}

/// Guards against a reused id that runs with another body or is told the other's answer.
#[test]
fn another_body_under_the_same_id_is_a_conflict() {
    let mut world = World::new();
    run_calmly(&mut world);
    let other = Claim::new(Digest::of(b"another order"), true);
    let claim = other.propose(TargetName::new("0").expect("a name"), Incarnation(0));
    let response = world.write(claim.record().clone(), claim.expected());
    let ClaimStep::Done {
        outcome: Err(error),
        ..
    } = claim.handle_write_response(response)
    else {
        panic!("another body went on");
    };
    assert_eq!(
        (error.kind, error.verdict),
        (ErrorKind::Conflict, Verdict::NotRun)
    );
}

/// Guards against a request that was refused as "not run" and whose retry, after the target's
/// agent was replaced, ends as "may have run".
#[test]
fn a_recorded_refusal_is_followed_by_a_new_attempt() {
    let mut world = World::new();
    let target = TargetName::new("0").expect("a name");
    let mut step = ClaimStep::PickTarget(Claim::new(world.digest, true));
    let refusal = loop {
        step = match step {
            ClaimStep::PickTarget(claim) => {
                let claim = claim.propose(target.clone(), Incarnation(0));
                let response = world.write(claim.record().clone(), claim.expected());
                claim.handle_write_response(response)
            }
            ClaimStep::Dispatch(claim) => claim.handle_dispatch_outcome(Err(
                RequestError::not_run(ErrorKind::Busy, "the queue is full"),
            )),
            ClaimStep::QueryTarget(_) => panic!("a refusal needs no question"),
            ClaimStep::Done { outcome, record } => break (outcome, record),
        };
    };
    let (Err(error), Some((record, revision))) = refusal else {
        panic!("the refusal was not recorded");
    };
    assert!(error.is_not_run(), "{error}");
    let last_attempt = record.attempt;
    world.write(record, Some(revision));

    let retry = Claim::new(world.digest, false).propose(target, Incarnation(1));
    let response = world.write(retry.record().clone(), retry.expected());
    let ClaimStep::PickTarget(claim) = retry.handle_write_response(response) else {
        panic!("the retry asks an agent that is gone");
    };
    let target = TargetName::new("1").expect("a name");
    assert!(claim.propose(target, Incarnation(0)).record().attempt > last_attempt);
}
