use std::collections::VecDeque;
use std::sync::Arc;

use rattanwinch_types::Answer;
use rattanwinch_types::AttemptKey;
use rattanwinch_types::Epoch;
use rattanwinch_types::Explanation;
use rattanwinch_types::JobRecord;
use rattanwinch_types::MemberKey;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;

use super::limits::HOLD_FOR;
use super::limits::MAX_REASONS;
use super::limits::RELEASE_MARGIN;
use super::tasks::CommittedTask;
use super::tasks::EndCause;
use super::tasks::Ending;
use super::tasks::HeldTask;
use super::tasks::HoldAnswer;
use super::tasks::HoldStep;
use super::tasks::TaskPhase;

/// What a finished job came to.
pub(super) type JobOutcome = Result<Vec<Answer>, RequestError>;

/// What is known of a job in every state.
#[derive(Clone, Debug)]
pub(super) struct JobCore {
    /// The record as it was last read or written.
    pub record: JobRecord,
    /// The revision of the record.
    pub revision: Revision,
    /// The number of the latest attempt; the record learns it with the commit.
    pub attempt: u32,
    /// Whether any member of any attempt may have been released.
    pub may_have_run: bool,
    /// Failed holds in a row.
    pub failures: u32,
    /// The decisions about it, oldest first.
    pub reasons: VecDeque<Explanation>,
}

impl JobCore {
    pub fn key(&self) -> &RequestKey {
        &self.record.spec.key
    }

    /// The key of one member of the latest attempt.
    pub fn member(&self, index: usize) -> MemberKey {
        let attempt = AttemptKey {
            key: self.key().clone(),
            attempt: self.attempt,
        };
        let index = u16::try_from(index).expect("a gang has at most 128 tasks");
        MemberKey { attempt, index }
    }

    /// Keeps a decision for `explain`.
    pub fn record_explanation(&mut self, text: impl AsRef<str>, at: Timestamp) {
        if self.reasons.len() == MAX_REASONS {
            self.reasons.pop_front();
        }
        self.reasons.push_back(Explanation {
            at,
            text: Arc::from(text.as_ref()),
        });
    }

    fn with_state(&self, state: RecordedState, runs: u32) -> JobRecord {
        JobRecord {
            state,
            runs,
            attempt: self.attempt,
            ..self.record.clone()
        }
    }
}

/// A job that waits for a place.
#[derive(Clone, Debug)]
pub struct Queued {
    /// When holds may be sent again after failed ones.
    pub(super) not_before: Timestamp,
}

/// A job whose members are being held and whose attempt isn't known to be committed.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The tasks in their order.
    pub(super) tasks: Vec<HeldTask>,
    /// Where the start stands.
    pub(super) step: HoldStep,
    /// When the holds were sent.
    pub(super) sent_at: Timestamp,
    /// The record that the commit writes.
    pub(super) commit: Option<JobRecord>,
    /// Set if the job has to end instead of running.
    pub(super) stop: Option<EndCause>,
}

/// A job with a committed attempt.
#[derive(Clone, Debug)]
pub struct Committed {
    /// The tasks in their order.
    pub(super) tasks: Vec<CommittedTask>,
    /// When it was committed.
    pub(super) since: Timestamp,
    /// Held members aren't released after this time.
    pub(super) release_by: Timestamp,
    /// Set once the attempt ends as a whole.
    pub(super) ending: Option<Ending>,
}

/// A job that has its outcome.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The answers, or the error with its verdict.
    pub(super) outcome: JobOutcome,
    /// When it was decided.
    pub(super) at: Timestamp,
    /// Whether the record says so.
    pub(super) recorded: bool,
    /// When the record is written again, if the store didn't answer.
    pub(super) retry_at: Option<Timestamp>,
}

/// A job at the decider; the type parameter says where it stands in its life.
#[derive(Clone, Debug)]
pub struct Job<S> {
    pub(super) core: JobCore,
    pub(super) stage: S,
}

impl Job<Queued> {
    /// A job that the store has recorded as queued.
    #[must_use]
    pub fn new(record: JobRecord, revision: Revision) -> Self {
        let core = JobCore {
            attempt: record.attempt,
            may_have_run: record.runs > 0,
            failures: 0,
            reasons: VecDeque::new(),
            record,
            revision,
        };
        let not_before = Timestamp::ZERO;
        Self {
            core,
            stage: Queued { not_before },
        }
    }

    /// Begins a new attempt.
    #[must_use]
    pub fn hold(mut self, tasks: Vec<PlacedTask>, now: Timestamp) -> Job<Holding> {
        self.core.attempt += 1;
        let held = |placed| HeldTask {
            placed,
            answer: HoldAnswer::Pending,
        };
        let stage = Holding {
            tasks: tasks.into_iter().map(held).collect(),
            step: HoldStep::Delayed(self.stage.not_before.max(now)),
            sent_at: now,
            commit: None,
            stop: None,
        };
        Job {
            core: self.core,
            stage,
        }
    }
}

impl Job<Holding> {
    /// True if every agent holds its member.
    #[must_use]
    pub fn is_held(&self) -> bool {
        let mut tasks = self.stage.tasks.iter();
        tasks.all(|task| task.answer == HoldAnswer::Held)
    }

    /// The record that commits the attempt at `now`.
    pub(super) fn commit_record(&self, epoch: Epoch, now: Timestamp) -> JobRecord {
        let tasks = self.stage.tasks.iter().map(|task| task.placed.clone());
        let release_by = self.stage.sent_at + (HOLD_FOR - RELEASE_MARGIN);
        let state = RecordedState::Committed {
            epoch,
            since: now,
            release_by,
            tasks: tasks.collect(),
        };
        self.core.with_state(state, self.core.record.runs + 1)
    }

    /// Goes on as committed; `record` is what the store has at `revision`.
    ///
    /// # Errors
    ///
    /// The unchanged job if the record doesn't commit this attempt.
    pub fn committed(
        mut self,
        record: JobRecord,
        revision: Revision,
        now: Timestamp,
    ) -> Result<Job<Committed>, Box<Self>> {
        let RecordedState::Committed {
            since, release_by, ..
        } = record.state
        else {
            return Err(Box::new(self));
        };
        if record.attempt != self.core.attempt {
            return Err(Box::new(self));
        }
        self.core.record = record;
        self.core.revision = revision;
        self.core.failures = 0;
        let committed = |task: HeldTask| CommittedTask {
            placed: task.placed,
            phase: TaskPhase::Releasing,
            reported_at: now,
            sent_at: now,
        };
        let stage = Committed {
            tasks: self.stage.tasks.into_iter().map(committed).collect(),
            since,
            release_by,
            ending: None,
        };
        Ok(Job {
            core: self.core,
            stage,
        })
    }

    /// Gives the attempt up; no member of it was or will be released.
    #[must_use]
    pub fn requeue(mut self, not_before: Timestamp) -> Job<Queued> {
        self.core.failures += 1;
        Job {
            core: self.core,
            stage: Queued { not_before },
        }
    }
}

impl Job<Committed> {
    /// A job that an earlier decider has committed; nothing is known of its members yet.
    ///
    /// # Errors
    ///
    /// The record if it isn't committed.
    pub fn restore(
        record: JobRecord,
        revision: Revision,
        now: Timestamp,
    ) -> Result<Self, Box<JobRecord>> {
        let RecordedState::Committed {
            since,
            release_by,
            ref tasks,
            ..
        } = record.state
        else {
            return Err(Box::new(record));
        };
        let unreported = |placed: &PlacedTask| CommittedTask {
            placed: placed.clone(),
            phase: TaskPhase::Unreported,
            reported_at: now,
            sent_at: now,
        };
        let stage = Committed {
            tasks: tasks.iter().map(unreported).collect(),
            since,
            release_by,
            ending: None,
        };
        let mut job = Job::<Queued>::new(record, revision);
        job.core.may_have_run = true;
        Ok(Self {
            core: job.core,
            stage,
        })
    }

    /// True if no member runs or ever will.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.stage.tasks.iter().all(CommittedTask::is_over)
    }

    /// The answers of all tasks in their order, once every one has been collected.
    #[must_use]
    pub fn answers(&self) -> Option<Vec<Answer>> {
        let answer = |task: &CommittedTask| match &task.phase {
            TaskPhase::Succeeded(answer) => answer.clone(),
            _ => None,
        };
        self.stage.tasks.iter().map(answer).collect()
    }

    /// Puts the job into the queue again.
    ///
    /// # Errors
    ///
    /// The unchanged job if a member may still run.
    pub fn requeue(self, now: Timestamp) -> Result<Job<Queued>, Box<Self>> {
        if !self.is_over() {
            return Err(Box::new(self));
        }
        Ok(Job {
            core: self.core,
            stage: Queued { not_before: now },
        })
    }
}

impl<S> Job<S> {
    /// Ends the job; the record still has to say so.
    pub(super) fn finish(self, outcome: JobOutcome, now: Timestamp) -> Job<Finished> {
        let stage = Finished {
            outcome,
            at: now,
            recorded: false,
            retry_at: Some(now),
        };
        Job {
            core: self.core,
            stage,
        }
    }
}

impl Job<Finished> {
    /// The record that finishes the job.
    pub(super) fn finish_record(&self) -> JobRecord {
        let state = RecordedState::Finished {
            at: self.stage.at,
            outcome: self.stage.outcome.clone(),
        };
        let mut record = self.core.with_state(state, self.core.record.runs);
        let last = self.core.reasons.back();
        record.reason = last.map(|reason| Arc::clone(&reason.text));
        record
    }

    /// Takes over what the store says: the first outcome that was recorded wins.
    pub(super) fn recorded(&mut self, record: JobRecord, revision: Revision) {
        if let RecordedState::Finished { at, outcome } = &record.state {
            self.stage.outcome = outcome.clone();
            self.stage.at = *at;
        }
        self.core.record = record;
        self.core.revision = revision;
        self.stage.recorded = true;
        self.stage.retry_at = None;
    }
}
