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
use super::limits::RESEND_AFTER;
use super::tasks::EndCause;
use super::tasks::HoldStep;

/// Whether a record is the commit of the attempt that is being held. The number of the attempt
/// isn't enough: a decider that has taken over may have committed another one with that number.
fn commits(record: &JobRecord, job: &Job<Holding>) -> bool {
    job.stage.commit.as_ref() == Some(record)
}

impl GangCoordinator {
    /// Asks the store to commit an attempt whose members are all held.
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

    /// Takes in what became of the last write of a job's record.
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
                self.commit_answered(key, outcome, now);
            }
            Some(AnyJob::Finished(_)) => self.finish_answered(key, outcome, now),
            _ => {}
        }
    }

    fn commit_answered(&mut self, key: &RequestKey, outcome: WriteOutcome, now: Timestamp) {
        match outcome {
            WriteOutcome::Applied(revision) => {
                let Some(AnyJob::Holding(job)) = self.jobs.get(key) else {
                    return;
                };
                if let Some(record) = job.stage.commit.clone() {
                    self.go_on_committed(key, record, revision, now);
                }
            }
            WriteOutcome::Conflict(found) => self.take_found(key, found, now),
            WriteOutcome::NotApplied | WriteOutcome::TooLarge => {
                self.give_up_holds(key, "the store couldn't be reached for the commit", now);
            }
            WriteOutcome::Unknown => self.set_step(key, HoldStep::Unknown(now + RESEND_AFTER)),
            WriteOutcome::Deposed => {}
        }
    }

    /// Takes in the record of a job whose last write has an unknown outcome; `None` if it
    /// couldn't be read.
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
            job.stage.step = HoldStep::Unknown(now + RESEND_AFTER);
            return;
        };
        if revision != job.core.revision {
            self.take_found(key, Some((record, revision)), now);
            return;
        }
        // A commit that still arrives later does no harm: the attempt is over by then, and the
        // next write finds the changed revision.
        self.give_up_holds(key, "the commit didn't reach the store", now);
    }

    /// Goes on from a record that differs from the one that was expected.
    fn take_found(
        &mut self,
        key: &RequestKey,
        found: Option<(Box<JobRecord>, Revision)>,
        now: Timestamp,
    ) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let Some((record, revision)) = found else {
            // Only a finished job's record goes away, so nothing is left to do for it.
            self.give_up_holds(key, "the record of the job is gone", now);
            self.remove_queued(key);
            return;
        };
        if commits(&record, job) {
            self.go_on_committed(key, *record, revision, now);
            return;
        }
        let finished = matches!(record.state, RecordedState::Finished { .. });
        job.core.revision = revision;
        job.core.record = (*record).clone();
        self.give_up_holds(
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

    /// Releases the members of an attempt whose commit is confirmed, if the holds last.
    fn go_on_committed(
        &mut self,
        key: &RequestKey,
        record: JobRecord,
        revision: Revision,
        now: Timestamp,
    ) {
        let Some(AnyJob::Holding(job)) = self.jobs.remove(key) else {
            return;
        };
        let stop = job.stage.stop.clone();
        let job = match job.committed(record, revision, now) {
            Ok(job) => AnyJob::Committed(job),
            Err(job) => AnyJob::Holding(*job),
        };
        let late = matches!(&job, AnyJob::Committed(job) if now >= job.stage.release_by);
        self.jobs.insert(key.clone(), job);
        let started = GangAction::Started { key: key.clone() };
        self.actions.push(started);
        match stop {
            Some(cause) => self.end_attempt(key, cause, now),
            None if late => self.end_attempt(key, EndCause::HoldsExpired, now),
            None => self.release_all(key, now),
        }
    }

    fn release_all(&mut self, key: &RequestKey, now: Timestamp) {
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
    pub(super) fn write_finish(&mut self, key: &RequestKey) {
        let Some(AnyJob::Finished(job)) = self.jobs.get_mut(key) else {
            return;
        };
        job.stage.retry_at = None;
        self.actions.push(GangAction::Write {
            expected: job.core.revision,
            record: Box::new(job.finish_record()),
        });
    }

    fn finish_answered(&mut self, key: &RequestKey, outcome: WriteOutcome, now: Timestamp) {
        let Some(AnyJob::Finished(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage.recorded {
            return;
        }
        match outcome {
            WriteOutcome::Applied(revision) => {
                let record = job.finish_record();
                job.recorded(record, revision);
            }
            WriteOutcome::Conflict(Some((record, revision))) => {
                let finished = matches!(record.state, RecordedState::Finished { .. });
                if finished {
                    job.recorded(*record, revision);
                } else {
                    job.core.revision = revision;
                    job.stage.retry_at = Some(now);
                }
            }
            WriteOutcome::Conflict(None) => {
                let (record, revision) = (job.finish_record(), job.core.revision);
                job.recorded(record, revision);
            }
            WriteOutcome::TooLarge => {
                let message = "all tasks ran, but their answers are larger than the store takes";
                let error = RequestError::new(Verdict::Ran, ErrorKind::Failed, message);
                job.core.record_explanation(message, now);
                job.stage.outcome = Err(error);
                job.stage.retry_at = Some(now);
            }
            // The write names the revision that it replaces, so it can be sent again: if the
            // first one applied, the second one conflicts and finds it.
            WriteOutcome::NotApplied | WriteOutcome::Unknown => {
                job.stage.retry_at = Some(now + RESEND_AFTER);
            }
            WriteOutcome::Deposed => {}
        }
        if job.stage.recorded {
            let key = key.clone();
            self.actions.push(GangAction::Finished { key });
        }
    }
}
