use rattanwinch_types::ErrorKind;
use rattanwinch_types::JobRecord;
use rattanwinch_types::RecordedState;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;

use super::GangAction;
use super::GangCoordinator;
use super::Holding;
use super::Job;
use super::WriteOutcome;
use super::coordinator::AnyJob;
use super::limits::RESEND_INTERVAL;
use super::tasks::EndCause;
use super::tasks::HoldStep;

/// Whether a record is the commit of the attempt that is being held. Comparing the attempt number
/// isn't enough: a decider that has taken over may have committed another attempt with that number.
fn is_commit_of(record: &JobRecord, job: &Job<Holding>) -> bool {
    job.stage.commit.as_ref() == Some(record)
}

impl GangCoordinator {
    /// Writes the commit of an attempt whose members are all held.
    pub(super) fn commit(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let record = job.commit_record(self.epoch, now);
        job.stage.step = HoldStep::Committing;
        job.stage.commit = Some(record.clone());
        self.actions.push(GangAction::Write {
            expected: job.core.revision,
            record: Box::new(record),
        });
    }

    /// Handles the outcome of the last write of a job's record.
    pub fn handle_write_outcome(
        &mut self,
        key: &RequestKey,
        outcome: WriteOutcome,
        now: Timestamp,
    ) {
        if outcome == WriteOutcome::Deposed {
            self.actions.push(GangAction::Deposed);
            return;
        }
        match self.jobs.get(key) {
            Some(AnyJob::Holding(job)) if job.stage.step == HoldStep::Committing => {
                self.handle_commit_write(key, outcome, now);
            }
            Some(AnyJob::Finished(_)) => self.handle_outcome_write(key, outcome, now),
            _ => {}
        }
    }

    fn handle_commit_write(&mut self, key: &RequestKey, outcome: WriteOutcome, now: Timestamp) {
        match outcome {
            WriteOutcome::Applied(revision) => {
                let Some(AnyJob::Holding(job)) = self.jobs.get(key) else {
                    return;
                };
                if let Some(record) = job.stage.commit.clone() {
                    self.continue_committed(key, record, revision, now);
                }
            }
            WriteOutcome::Conflict(found) => self.apply_found_record(key, found, now),
            WriteOutcome::NotApplied | WriteOutcome::TooLarge => {
                self.abort_holds(key, "the store did not apply the commit", now);
            }
            WriteOutcome::Unknown => self.set_step(key, HoldStep::InDoubt(now + RESEND_INTERVAL)),
            WriteOutcome::Deposed => {}
        }
    }

    /// Handles the record of a job whose last write has an unknown outcome; `None` if the read
    /// failed.
    pub fn handle_record_read(
        &mut self,
        key: &RequestKey,
        found: Option<(Box<JobRecord>, Revision)>,
        now: Timestamp,
    ) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage.step != HoldStep::Reading {
            return;
        }
        let Some((record, revision)) = found else {
            job.stage.step = HoldStep::InDoubt(now + RESEND_INTERVAL);
            return;
        };
        if revision != job.core.revision {
            self.apply_found_record(key, Some((record, revision)), now);
            return;
        }
        // A commit that arrives later is harmless: the attempt is over by then, and the next write
        // conflicts with the changed revision.
        self.abort_holds(key, "the commit was not applied to the store", now);
    }

    /// Continues from a record that differs from the expected one.
    fn apply_found_record(
        &mut self,
        key: &RequestKey,
        found: Option<(Box<JobRecord>, Revision)>,
        now: Timestamp,
    ) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let Some((record, revision)) = found else {
            // Only records of finished jobs are removed, so nothing is left to do.
            self.abort_holds(key, "the record of the job no longer exists", now);
            self.remove_queued(key);
            return;
        };
        if is_commit_of(&record, job) {
            self.continue_committed(key, *record, revision, now);
            return;
        }
        let finished = matches!(record.state, RecordedState::Finished { .. });
        job.core.revision = revision;
        job.core.record = (*record).clone();
        self.abort_holds(
            key,
            "the record of the job was changed by another entry",
            now,
        );
        if finished {
            self.remove_queued(key);
            self.restore(*record, revision, now);
            let key = key.clone();
            self.actions.push(GangAction::Finished { key });
        }
    }

    fn set_step(&mut self, key: &RequestKey, step: HoldStep) {
        if let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) {
            job.stage.step = step;
        }
    }

    /// Releases the members of an attempt whose commit is confirmed, unless the holds are too old.
    fn continue_committed(
        &mut self,
        key: &RequestKey,
        record: JobRecord,
        revision: Revision,
        now: Timestamp,
    ) {
        let Some(AnyJob::Holding(job)) = self.jobs.remove(key) else {
            return;
        };
        let end_cause = job.stage.end_cause.clone();
        let job = match job.confirm_commit(record, revision, now) {
            Ok(job) => AnyJob::Committed(job),
            Err(job) => AnyJob::Holding(*job),
        };
        let past_release_deadline =
            matches!(&job, AnyJob::Committed(job) if now >= job.stage.release_by);
        self.jobs.insert(key.clone(), job);
        let started = GangAction::Started { key: key.clone() };
        self.actions.push(started);
        match end_cause {
            Some(cause) => self.end_attempt(key, cause, now),
            None if past_release_deadline => self.end_attempt(key, EndCause::HoldsExpired, now),
            None => self.release_members(key, now),
        }
    }

    fn release_members(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        job.core.may_have_run = true;
        let attempt = job.core.attempt;
        job.core.record_explanation(
            format!("attempt {attempt} committed, all tasks released"),
            now,
        );
        for (index, task) in job.stage.tasks.iter_mut().enumerate() {
            task.sent_at = now;
            self.actions.push(GangAction::Release {
                target: task.placed.target.clone(),
                member: job.core.member(index),
            });
        }
    }

    /// Writes the outcome of a finished job.
    pub(super) fn write_outcome(&mut self, key: &RequestKey) {
        let Some(AnyJob::Finished(job)) = self.jobs.get_mut(key) else {
            return;
        };
        job.stage.retry_at = None;
        self.actions.push(GangAction::Write {
            expected: job.core.revision,
            record: Box::new(job.finish_record()),
        });
    }

    fn handle_outcome_write(&mut self, key: &RequestKey, outcome: WriteOutcome, now: Timestamp) {
        let Some(AnyJob::Finished(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage.recorded {
            return;
        }
        match outcome {
            WriteOutcome::Applied(revision) => {
                let record = job.finish_record();
                job.mark_recorded(record, revision);
            }
            WriteOutcome::Conflict(Some((record, revision))) => {
                let finished = matches!(record.state, RecordedState::Finished { .. });
                if finished {
                    job.mark_recorded(*record, revision);
                } else {
                    job.core.revision = revision;
                    job.stage.retry_at = Some(now);
                }
            }
            WriteOutcome::Conflict(None) => {
                let (record, revision) = (job.finish_record(), job.core.revision);
                job.mark_recorded(record, revision);
            }
            WriteOutcome::TooLarge => {
                let message = "all tasks ran, but their answers exceed the store's size limit";
                let error = RequestError::new(Verdict::Ran, ErrorKind::Failed, message);
                job.core.record_explanation(message, now);
                job.stage.outcome = Err(error);
                job.stage.retry_at = Some(now);
            }
            // The write is conditional on the replaced revision, so it can be repeated: if the
            // first one was applied, the second one conflicts and finds it.
            WriteOutcome::NotApplied | WriteOutcome::Unknown => {
                job.stage.retry_at = Some(now + RESEND_INTERVAL);
            }
            WriteOutcome::Deposed => {}
        }
        if job.stage.recorded {
            let key = key.clone();
            self.actions.push(GangAction::Finished { key });
        }
    }
}
