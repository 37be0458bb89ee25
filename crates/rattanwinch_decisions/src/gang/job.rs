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

use super::limits::HOLD_DURATION;
use super::limits::MAX_EXPLANATIONS;
use super::limits::RELEASE_MARGIN;
use super::tasks::CommittedTask;
use super::tasks::EndCause;
use super::tasks::Ending;
use super::tasks::HeldTask;
use super::tasks::HoldResponse;
use super::tasks::HoldStep;
use super::tasks::TaskPhase;

/// Outcome of a finished job.
pub(super) type JobOutcome = Result<Vec<Answer>, RequestError>;

/// Data of a job that is the same in all states.
#[derive(Clone, Debug)]
pub(super) struct JobCore {
    /// The record as last read or written.
    pub record: JobRecord,
    /// The revision of the record.
    pub revision: Revision,
    /// Number of the latest attempt; written to the record by the commit.
    pub attempt: u32,
    /// Whether any member of any attempt may have been released.
    pub may_have_run: bool,
    /// Number of consecutive failed holds.
    pub hold_failures: u32,
    /// Explanations of decisions, oldest first.
    pub explanations: VecDeque<Explanation>,
}

impl JobCore {
    pub fn key(&self) -> &RequestKey {
        &self.record.spec.key
    }

    /// Key of one member of the latest attempt.
    pub fn member(&self, index: usize) -> MemberKey {
        let attempt = AttemptKey {
            key: self.key().clone(),
            attempt: self.attempt,
        };
        let index = u16::try_from(index).expect("a gang has at most 128 tasks");
        MemberKey { attempt, index }
    }

    /// Records the explanation of a decision.
    pub fn record_explanation(&mut self, text: impl AsRef<str>, at: Timestamp) {
        if self.explanations.len() == MAX_EXPLANATIONS {
            self.explanations.pop_front();
        }
        self.explanations.push_back(Explanation {
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

/// State of a job that waits for a placement.
#[derive(Clone, Debug)]
pub struct Queued {
    /// When holds may be sent again after failed ones.
    pub(super) not_before: Timestamp,
}

/// State of a job whose members are being held and whose attempt isn't known to be committed.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The tasks in their order.
    pub(super) tasks: Vec<HeldTask>,
    /// Step in the start of the attempt.
    pub(super) step: HoldStep,
    /// When the holds were sent.
    pub(super) sent_at: Timestamp,
    /// The record that the commit writes.
    pub(super) commit: Option<JobRecord>,
    /// Set if the job has to end instead of being started.
    pub(super) end_cause: Option<EndCause>,
}

/// State of a job with a committed attempt.
#[derive(Clone, Debug)]
pub struct Committed {
    /// The tasks in their order.
    pub(super) tasks: Vec<CommittedTask>,
    /// When the attempt was committed.
    pub(super) since: Timestamp,
    /// Members that are still held are not released after this time.
    pub(super) release_by: Timestamp,
    /// Set once the attempt ends as a whole.
    pub(super) ending: Option<Ending>,
}

/// State of a job that has its outcome.
#[derive(Clone, Debug)]
pub struct Finished {
    /// The answers, or the error with its verdict.
    pub(super) outcome: JobOutcome,
    /// When the outcome was decided.
    pub(super) at: Timestamp,
    /// Whether the store has recorded the outcome.
    pub(super) recorded: bool,
    /// When the write of the record is retried, if the store didn't confirm it.
    pub(super) retry_at: Option<Timestamp>,
}

/// A job at the decider; the type parameter is its state.
#[derive(Clone, Debug)]
pub struct Job<S> {
    pub(super) core: JobCore,
    pub(super) stage: S,
}

impl Job<Queued> {
    /// Creates a job that the store has recorded as queued.
    #[must_use]
    pub fn new(record: JobRecord, revision: Revision) -> Self {
        let core = JobCore {
            attempt: record.attempt,
            may_have_run: record.runs > 0,
            hold_failures: 0,
            explanations: VecDeque::new(),
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
            response: HoldResponse::Pending,
        };
        let stage = Holding {
            tasks: tasks.into_iter().map(held).collect(),
            step: HoldStep::Delayed(self.stage.not_before.max(now)),
            sent_at: now,
            commit: None,
            end_cause: None,
        };
        Job {
            core: self.core,
            stage,
        }
    }
}

impl Job<Holding> {
    /// Whether all agents hold their member.
    #[must_use]
    pub fn are_all_members_held(&self) -> bool {
        let mut tasks = self.stage.tasks.iter();
        tasks.all(|task| task.response == HoldResponse::Held)
    }

    /// Record that commits the attempt at `now`.
    pub(super) fn commit_record(&self, epoch: Epoch, now: Timestamp) -> JobRecord {
        let tasks = self.stage.tasks.iter().map(|task| task.placed.clone());
        let release_by = self.stage.sent_at + (HOLD_DURATION - RELEASE_MARGIN);
        let state = RecordedState::Committed {
            epoch,
            since: now,
            release_by,
            tasks: tasks.collect(),
        };
        self.core.with_state(state, self.core.record.runs + 1)
    }

    /// Continues as committed; `record` is the store's record at `revision`.
    ///
    /// # Errors
    ///
    /// The unchanged job if the record doesn't commit this attempt.
    pub fn confirm_commit(
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
        self.core.hold_failures = 0;
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

    /// Abandons the uncommitted attempt and queues the job again; no member was or will be
    /// released.
    #[must_use]
    pub fn requeue(mut self, not_before: Timestamp) -> Job<Queued> {
        self.core.hold_failures += 1;
        Job {
            core: self.core,
            stage: Queued { not_before },
        }
    }
}

impl Job<Committed> {
    /// Restores a job committed by an earlier decider; nothing is known of its members yet.
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

    /// Whether no member runs or ever will.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.stage.tasks.iter().all(CommittedTask::has_ended)
    }

    /// Outputs of all tasks in task order, once all have been collected.
    #[must_use]
    pub fn answers(&self) -> Option<Vec<Answer>> {
        let answer = |task: &CommittedTask| match &task.phase {
            TaskPhase::Succeeded(answer) => answer.clone(),
            _ => None,
        };
        self.stage.tasks.iter().map(answer).collect()
    }

    /// Queues the job again.
    ///
    /// # Errors
    ///
    /// The unchanged job if a member may still run.
    pub fn requeue(self, now: Timestamp) -> Result<Job<Queued>, Box<Self>> {
        if !self.has_ended() {
            return Err(Box::new(self));
        }
        Ok(Job {
            core: self.core,
            stage: Queued { not_before: now },
        })
    }
}

impl<S> Job<S> {
    /// Finishes the job; the outcome still has to be recorded.
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
    /// Record with the outcome of the job.
    pub(super) fn finish_record(&self) -> JobRecord {
        let state = RecordedState::Finished {
            at: self.stage.at,
            outcome: self.stage.outcome.clone(),
        };
        let mut record = self.core.with_state(state, self.core.record.runs);
        let last = self.core.explanations.back();
        record.reason = last.map(|reason| Arc::clone(&reason.text));
        record
    }

    /// Applies the store's record: the outcome that was recorded first is final.
    pub(super) fn mark_recorded(&mut self, record: JobRecord, revision: Revision) {
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
