use rattanwinch_types::ClaimOutcome;
use rattanwinch_types::ClaimRecord;
use rattanwinch_types::Digest;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::Incarnation;
use rattanwinch_types::RequestError;
use rattanwinch_types::Revision;
use rattanwinch_types::TargetName;
use rattanwinch_types::Verdict;

use super::AttemptQueryResponse;
use super::ClaimStep;
use super::WriteResponse;

/// Attempts at one request; each needs a proof that the one before it never ran.
const MAX_ATTEMPTS: u32 = 8;

rattanwinch_types::value! { copy
    /// What is known of attempts before the one that is under way.
    enum Earlier {
        /// There was none, or each is known never to run.
        NeverRan,
        /// The caller may have sent the request before, and the store hasn't been asked.
        Unknown,
    }
}

impl Earlier {
    /// The verdict on a request whose present attempt certainly doesn't run.
    const fn verdict(self) -> Verdict {
        match self {
            Self::NeverRan => Verdict::NotRun,
            Self::Unknown => Verdict::MayHaveRun,
        }
    }
}

rattanwinch_types::value! {
    /// No attempt is under way.
    pub struct Unclaimed {
        /// What is known of earlier attempts.
        earlier: Earlier,
        /// The number of the next attempt.
        attempt: u32,
        /// The revision of the claim that the next one replaces; `None` if there is none.
        expected: Option<Revision>,
        /// That claim, of an attempt which is known never to run.
        refused: Option<ClaimRecord>,
    }
}

rattanwinch_types::value! {
    /// The claim of an attempt is being written.
    pub struct Proposed {
        /// What is known of earlier attempts.
        earlier: Earlier,
        /// The claim.
        record: ClaimRecord,
        /// The revision of the claim that it replaces.
        expected: Option<Revision>,
    }
}

rattanwinch_types::value! {
    /// The claim is in the store; nothing was sent.
    pub struct Claimed {
        /// The claim.
        record: ClaimRecord,
        /// The revision at which it was written.
        revision: Revision,
    }
}

rattanwinch_types::value! {
    /// The attempt may have reached its target.
    pub struct Dispatched {
        /// The claim.
        record: ClaimRecord,
        /// The revision at which it was last written.
        revision: Revision,
    }
}

/// A stage whose claim is in the store; not exported, so no other type can implement it.
pub trait Recorded {
    /// The claim.
    fn record(&self) -> &ClaimRecord;
}

impl Recorded for Claimed {
    fn record(&self) -> &ClaimRecord {
        &self.record
    }
}

impl Recorded for Dispatched {
    fn record(&self) -> &ClaimRecord {
        &self.record
    }
}

/// A non-idempotent request on its way; the type parameter says how far it has come.
///
/// Each transition takes the claim, so that an attempt can't be sent twice or before its claim
/// was confirmed.
#[derive(Debug)]
pub struct Claim<S> {
    digest: Digest,
    stage: S,
}

impl Claim<Unclaimed> {
    /// A request that arrived, with the digest of what was asked.
    ///
    /// Unless the caller says that it sends the request for the first time, an earlier attempt
    /// may have run, and a refusal before the store was asked can't say "not run".
    #[must_use]
    pub const fn new(digest: Digest, first_submission: bool) -> Self {
        let earlier = if first_submission {
            Earlier::NeverRan
        } else {
            Earlier::Unknown
        };
        Self {
            digest,
            stage: Unclaimed {
                earlier,
                attempt: 1,
                expected: None,
                refused: None,
            },
        }
    }

    /// Proposes the next attempt at a life of a target's agent.
    #[must_use]
    pub fn propose(self, target: TargetName, incarnation: Incarnation) -> Claim<Proposed> {
        let Unclaimed {
            earlier,
            attempt,
            expected,
            refused: _,
        } = self.stage;
        let digest = self.digest;
        let record = ClaimRecord {
            digest,
            attempt,
            target,
            incarnation,
            outcome: None,
        };
        Claim {
            digest,
            stage: Proposed {
                earlier,
                record,
                expected,
            },
        }
    }

    /// Ends the request because it can't be attempted now.
    #[must_use]
    pub fn reject(self, error: RequestError) -> ClaimStep {
        let error = error.with_verdict_at_least(self.stage.earlier.verdict());
        match (self.stage.refused, self.stage.expected) {
            (Some(record), Some(revision)) => refuse(record, revision, error),
            _ => done(Err(error)),
        }
    }
}

impl Claim<Proposed> {
    /// The claim to write.
    #[must_use]
    pub const fn record(&self) -> &ClaimRecord {
        &self.stage.record
    }

    /// The revision of the claim to replace; `None` if there must be none.
    #[must_use]
    pub const fn expected(&self) -> Option<Revision> {
        self.stage.expected
    }

    /// Goes on with what the store answered.
    #[must_use]
    pub fn handle_write_response(self, response: WriteResponse) -> ClaimStep {
        let Self { digest, stage } = self;
        match response {
            WriteResponse::Applied(revision) => {
                let stage = Claimed {
                    record: stage.record,
                    revision,
                };
                ClaimStep::Dispatch(Claim { digest, stage })
            }
            WriteResponse::Found(record, revision) => judge_found(digest, record, revision),
            WriteResponse::Missing => done(Err(RequestError::may_have_run(
                ErrorKind::Conflict,
                "the claim of an earlier attempt is no longer in the store",
            ))),
            WriteResponse::InUse => done(Err(RequestError::not_run(
                ErrorKind::Conflict,
                "the id was used before for a job: expected a new id",
            ))),
            // The claim may be written later, but only a confirmed one is followed by a dispatch;
            // whoever finds it asks the target, which then refuses it for good.
            WriteResponse::Unknown => done(Err(RequestError::new(
                stage.earlier.verdict(),
                ErrorKind::Unavailable,
                "the platform's store didn't confirm the claim of the request; \
                 it may be sent again with the same id",
            ))),
        }
    }
}

impl<S: Recorded> Claim<S> {
    /// The number of the attempt.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.stage.record().attempt
    }

    /// The target of the attempt.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.stage.record().target
    }

    /// The life of the target's agent that the attempt is for.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.stage.record().incarnation
    }
}

impl Claim<Claimed> {
    /// Goes on with the result of sending the attempt to its target.
    #[must_use]
    pub fn handle_dispatch_outcome(self, outcome: ClaimOutcome) -> ClaimStep {
        let Self { digest, stage } = self;
        let claim = Claim {
            digest,
            stage: Dispatched {
                record: stage.record,
                revision: stage.revision,
            },
        };
        match outcome {
            Err(error) if error.verdict == Verdict::MayHaveRun => ClaimStep::QueryTarget(claim),
            outcome => claim.ended(outcome),
        }
    }
}

impl Claim<Dispatched> {
    /// Goes on with what the target answered about the attempt.
    #[must_use]
    pub fn handle_query_response(self, response: AttemptQueryResponse) -> ClaimStep {
        match response {
            AttemptQueryResponse::Ended(outcome) => self.ended(outcome),
            AttemptQueryResponse::NeverRuns => self.next_attempt(),
            AttemptQueryResponse::AgentReplaced => done(Err(RequestError::may_have_run(
                ErrorKind::Unavailable,
                "the target's agent was replaced before it told how the request ended",
            ))),
            AttemptQueryResponse::Unreachable => done(Err(RequestError::may_have_run(
                ErrorKind::Unavailable,
                "the target can't be reached to ask how the request ended",
            ))),
        }
    }

    /// Takes the target's word on how the attempt ended.
    fn ended(self, outcome: ClaimOutcome) -> ClaimStep {
        match &outcome {
            Err(error) if error.is_retryable_elsewhere() => self.next_attempt(),
            // Nothing ran and another target wouldn't help; a later retry asks the target again.
            Err(error) if error.verdict != Verdict::Ran => done(outcome),
            _ => {
                let Dispatched {
                    mut record,
                    revision,
                } = self.stage;
                record.outcome = Some(outcome.clone());
                ClaimStep::Done {
                    outcome,
                    record: Some((record, revision)),
                }
            }
        }
    }

    /// The attempt is known never to run, so another may be claimed.
    fn next_attempt(self) -> ClaimStep {
        let Dispatched { record, revision } = self.stage;
        if record.attempt >= MAX_ATTEMPTS {
            let message = "every target that was tried refused the request";
            let error = RequestError::not_run(ErrorKind::Busy, message);
            return refuse(record, revision, error);
        }
        after_refused(self.digest, record, revision)
    }
}

/// The attempt that follows one which is known never to run.
const fn after_refused(digest: Digest, record: ClaimRecord, revision: Revision) -> ClaimStep {
    let stage = Unclaimed {
        earlier: Earlier::NeverRan,
        attempt: record.attempt + 1,
        expected: Some(revision),
        refused: Some(record),
    };
    ClaimStep::PickTarget(Claim { digest, stage })
}

/// Refuses the request and records that its last attempt never runs. Without the record, a later
/// submission would ask the target, whose agent may have been replaced by then, and a request
/// that was refused as "not run" would end as "may have run".
fn refuse(mut record: ClaimRecord, revision: Revision, error: RequestError) -> ClaimStep {
    record.outcome = Some(Err(error.clone()));
    ClaimStep::Done {
        outcome: Err(error),
        record: Some((record, revision)),
    }
}

/// Decides what to do about a claim that someone else wrote.
fn judge_found(digest: Digest, mut record: ClaimRecord, revision: Revision) -> ClaimStep {
    if record.digest != digest {
        return done(Err(RequestError::not_run(
            ErrorKind::Conflict,
            "the id was used before with another body: expected the same body or a new id",
        )));
    }
    match record.outcome {
        Some(Err(error)) if error.verdict == Verdict::NotRun => {
            record.outcome = None;
            return after_refused(digest, record, revision);
        }
        Some(outcome) => return done(outcome),
        None => {}
    }
    ClaimStep::QueryTarget(Claim {
        digest,
        stage: Dispatched { record, revision },
    })
}

const fn done(outcome: ClaimOutcome) -> ClaimStep {
    ClaimStep::Done {
        outcome,
        record: None,
    }
}
