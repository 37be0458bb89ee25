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

/// Maximum number of attempts at one request; each next attempt needs proof that the previous one
/// never ran.
const MAX_ATTEMPTS: u32 = 8;

rattanwinch_types::value! { copy
    /// Knowledge about the attempts before the current one.
    enum EarlierAttempts {
        /// There were none, or all are known never to run.
        NeverRan,
        /// The caller may have sent the request before, and the store has not been read.
        Unknown,
    }
}

impl EarlierAttempts {
    /// Verdict on a request whose current attempt doesn't run.
    const fn verdict(self) -> Verdict {
        match self {
            Self::NeverRan => Verdict::NotRun,
            Self::Unknown => Verdict::MayHaveRun,
        }
    }
}

rattanwinch_types::value! {
    /// State without a current attempt.
    pub struct Unclaimed {
        /// What is known of earlier attempts.
        earlier: EarlierAttempts,
        /// Number of the next attempt.
        attempt: u32,
        /// Revision of the claim that the next one replaces; `None` if there is none.
        expected: Option<Revision>,
        /// The claim to replace, of an attempt that is known never to run.
        refused: Option<ClaimRecord>,
    }
}

rattanwinch_types::value! {
    /// State in which the claim of an attempt is being written.
    pub struct Proposed {
        /// What is known of earlier attempts.
        earlier: EarlierAttempts,
        /// The claim.
        record: ClaimRecord,
        /// Revision of the claim that it replaces.
        expected: Option<Revision>,
    }
}

rattanwinch_types::value! {
    /// State in which the claim is in the store and the attempt has not been sent.
    pub struct Claimed {
        /// The claim.
        record: ClaimRecord,
        /// Revision at which the claim was written.
        revision: Revision,
    }
}

rattanwinch_types::value! {
    /// State in which the attempt may have reached its target.
    pub struct Dispatched {
        /// The claim.
        record: ClaimRecord,
        /// Revision at which the claim was last written.
        revision: Revision,
    }
}

/// A state whose claim is in the store; not exported, so no other type can implement it.
pub trait StoredClaim {
    /// The claim.
    fn record(&self) -> &ClaimRecord;
}

impl StoredClaim for Claimed {
    fn record(&self) -> &ClaimRecord {
        &self.record
    }
}

impl StoredClaim for Dispatched {
    fn record(&self) -> &ClaimRecord {
        &self.record
    }
}

/// A non-idempotent request; the type parameter is its state.
///
/// Each transition consumes the claim, so that an attempt can't be sent twice or before its claim
/// is confirmed.
#[derive(Debug)]
pub struct Claim<S> {
    digest: Digest,
    stage: S,
}

impl Claim<Unclaimed> {
    /// Creates a claim for a received request with the digest of its body.
    ///
    /// Unless the caller states that this is the first submission, an earlier attempt may have run,
    /// and a refusal before the store was read can't say "not run".
    #[must_use]
    pub const fn new(digest: Digest, first_submission: bool) -> Self {
        let earlier = if first_submission {
            EarlierAttempts::NeverRan
        } else {
            EarlierAttempts::Unknown
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

    /// Proposes the next attempt, for an incarnation of a target's agent.
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

    /// Ends the request because no attempt is possible now.
    #[must_use]
    pub fn reject(self, error: RequestError) -> ClaimStep {
        let error = error.with_verdict_at_least(self.stage.earlier.verdict());
        match (self.stage.refused, self.stage.expected) {
            (Some(record), Some(revision)) => finish_refused(record, revision, error),
            _ => finish(Err(error)),
        }
    }
}

impl Claim<Proposed> {
    /// The claim to write.
    #[must_use]
    pub const fn record(&self) -> &ClaimRecord {
        &self.stage.record
    }

    /// Revision of the claim to replace; `None` if there must be none.
    #[must_use]
    pub const fn expected(&self) -> Option<Revision> {
        self.stage.expected
    }

    /// Handles the store's response to the write of the claim.
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
            WriteResponse::Found(record, revision) => {
                step_for_found_claim(digest, record, revision)
            }
            WriteResponse::Missing => finish(Err(RequestError::may_have_run(
                ErrorKind::Conflict,
                "the claim of an earlier attempt is no longer in the store",
            ))),
            WriteResponse::InUse => finish(Err(RequestError::not_run(
                ErrorKind::Conflict,
                "the id was used before for a job: expected a new id",
            ))),
            // The claim may still be written, but only a confirmed one is followed by a dispatch.
            // An entry that finds it queries the target, which then refuses the attempt
            // permanently.
            WriteResponse::Unknown => finish(Err(RequestError::new(
                stage.earlier.verdict(),
                ErrorKind::Unavailable,
                "the platform's store didn't confirm the claim of the request; \
                 the request may be sent again with the same id",
            ))),
        }
    }
}

impl<S: StoredClaim> Claim<S> {
    /// Number of the attempt.
    #[must_use]
    pub fn attempt(&self) -> u32 {
        self.stage.record().attempt
    }

    /// Target of the attempt.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.stage.record().target
    }

    /// Incarnation of the target's agent that the attempt is for.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.stage.record().incarnation
    }
}

impl Claim<Claimed> {
    /// Handles the outcome of sending the attempt to its target.
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
            outcome => claim.finish_attempt(outcome),
        }
    }
}

impl Claim<Dispatched> {
    /// Handles the target's response to a query about the attempt.
    #[must_use]
    pub fn handle_query_response(self, response: AttemptQueryResponse) -> ClaimStep {
        match response {
            AttemptQueryResponse::Ended(outcome) => self.finish_attempt(outcome),
            AttemptQueryResponse::NeverRuns => self.next_attempt(),
            AttemptQueryResponse::AgentReplaced => finish(Err(RequestError::may_have_run(
                ErrorKind::Unavailable,
                "the target's agent was replaced before it reported the outcome of the request",
            ))),
            AttemptQueryResponse::Unreachable => finish(Err(RequestError::may_have_run(
                ErrorKind::Unavailable,
                "the target could not be queried for the outcome of the request",
            ))),
        }
    }

    /// Handles the outcome of the attempt as reported by the target.
    fn finish_attempt(self, outcome: ClaimOutcome) -> ClaimStep {
        match &outcome {
            Err(error) if error.is_retryable_elsewhere() => self.next_attempt(),
            // Nothing ran, and another target would refuse as well; a later retry queries the
            // target again.
            Err(error) if error.verdict != Verdict::Ran => finish(outcome),
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

    /// Prepares another attempt after one that is known never to run.
    fn next_attempt(self) -> ClaimStep {
        let Dispatched { record, revision } = self.stage;
        if record.attempt >= MAX_ATTEMPTS {
            let message = "every attempted target refused the request";
            let error = RequestError::not_run(ErrorKind::Busy, message);
            return finish_refused(record, revision, error);
        }
        retry_after_refusal(self.digest, record, revision)
    }
}

/// Returns the step to the attempt that follows one which is known never to run.
const fn retry_after_refusal(digest: Digest, record: ClaimRecord, revision: Revision) -> ClaimStep {
    let stage = Unclaimed {
        earlier: EarlierAttempts::NeverRan,
        attempt: record.attempt + 1,
        expected: Some(revision),
        refused: Some(record),
    };
    ClaimStep::PickTarget(Claim { digest, stage })
}

/// Refuses the request and records that its last attempt never runs. Without the record, a later
/// submission would query the target, whose agent may have been replaced by then, and a request
/// that was refused as "not run" would end as "may have run".
fn finish_refused(mut record: ClaimRecord, revision: Revision, error: RequestError) -> ClaimStep {
    record.outcome = Some(Err(error.clone()));
    ClaimStep::Done {
        outcome: Err(error),
        record: Some((record, revision)),
    }
}

/// Returns the next step for a claim that another submission wrote.
fn step_for_found_claim(digest: Digest, mut record: ClaimRecord, revision: Revision) -> ClaimStep {
    if record.digest != digest {
        return finish(Err(RequestError::not_run(
            ErrorKind::Conflict,
            "the id was used before with another body: expected the same body or a new id",
        )));
    }
    match record.outcome {
        Some(Err(error)) if error.verdict == Verdict::NotRun => {
            record.outcome = None;
            return retry_after_refusal(digest, record, revision);
        }
        Some(outcome) => return finish(outcome),
        None => {}
    }
    ClaimStep::QueryTarget(Claim {
        digest,
        stage: Dispatched { record, revision },
    })
}

const fn finish(outcome: ClaimOutcome) -> ClaimStep {
    ClaimStep::Done {
        outcome,
        record: None,
    }
}
