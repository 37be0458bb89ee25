use rattanwinch_types::ErrorKind;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::Timestamp;
use rattanwinch_types::Verdict;
use smallvec::SmallVec;

use super::AttemptEnd;
use super::Committed;
use super::GangAction;
use super::GangCoordinator;
use super::Job;
use super::coordinator::AnyJob;
use super::job::JobCore;
use super::job::JobOutcome;
use super::tasks::EndCause;
use super::tasks::Ending;
use super::tasks::HoldResponse;
use super::tasks::HoldStep;

impl GangCoordinator {
    /// Cancels a job; returns false if it is unknown or already has its outcome.
    pub fn cancel(&mut self, key: &RequestKey, now: Timestamp) -> bool {
        self.end_job(key, EndCause::Cancelled, now)
    }

    /// Finishes a queued job that the policy refuses.
    pub fn refuse(&mut self, key: &RequestKey, error: RequestError, now: Timestamp) {
        if let Some(AnyJob::Queued(job)) = self.jobs.get(key) {
            let min_verdict = min_job_verdict(&job.core);
            self.finish(key, Err(error.with_verdict_at_least(min_verdict)), now);
        }
    }

    /// Evicts a running gang from its accelerators; returns false if it isn't running.
    pub fn evict(
        &mut self,
        key: &RequestKey,
        mode: StopMode,
        reason: &str,
        now: Timestamp,
    ) -> bool {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return false;
        };
        job.core.record_explanation(reason, now);
        if let Some(ending) = &mut job.stage.ending {
            ending.mode = ending.mode.max(mode);
            if mode == StopMode::Stop {
                ending.escalate_at = now;
            }
        } else if mode != StopMode::Throttle {
            let wait = match mode {
                StopMode::Checkpoint => self.limits.checkpoint_limit,
                StopMode::Stop | StopMode::Throttle => std::time::Duration::ZERO,
            };
            job.stage.ending = Some(Ending {
                cause: EndCause::Evicted(reason.into()),
                mode,
                escalate_at: now + wait,
            });
        }
        self.send_end_orders(key, mode, true, now);
        true
    }

    /// Ends a job in any state because of `cause`.
    pub(super) fn end_job(&mut self, key: &RequestKey, cause: EndCause, now: Timestamp) -> bool {
        match self.jobs.get_mut(key) {
            Some(AnyJob::Queued(job)) => {
                let error = end_error(&cause, min_job_verdict(&job.core));
                self.finish(key, Err(error), now);
            }
            Some(AnyJob::Holding(job)) => {
                let commit_pending = !matches!(
                    job.stage.step,
                    HoldStep::Delayed(_) | HoldStep::AwaitingResponses
                );
                job.stage.end_cause = Some(cause);
                if !commit_pending {
                    self.abort_holds(key, "the job was ended before the commit", now);
                }
            }
            Some(AnyJob::Committed(_)) => self.end_attempt(key, cause, now),
            Some(AnyJob::Finished(_)) | None => return false,
        }
        true
    }

    /// Aborts an attempt that isn't committed and never will be.
    pub(super) fn abort_holds(&mut self, key: &RequestKey, reason: &str, now: Timestamp) {
        let hold_failures = match self.jobs.get(key) {
            Some(AnyJob::Holding(job)) => job.core.hold_failures,
            _ => return,
        };
        let not_before = self.backoff(hold_failures, now);
        let Some(AnyJob::Holding(mut job)) = self.jobs.remove(key) else {
            return;
        };
        let sent = !matches!(job.stage.step, HoldStep::Delayed(_));
        let mut failed_workers = SmallVec::new();
        let awaiting_responses =
            job.stage.step == HoldStep::AwaitingResponses && job.stage.end_cause.is_none();
        for (index, task) in job.stage.tasks.iter().enumerate() {
            let target = task.placed.target.clone();
            if awaiting_responses && task.response == HoldResponse::Failed {
                failed_workers.push(target.clone());
            }
            if sent {
                let member = job.core.member(index);
                self.actions.push(GangAction::Abort { target, member });
            }
        }
        let attempt = job.core.attempt;
        job.core
            .record_explanation(format!("attempt {attempt} was not started: {reason}"), now);
        let end_cause = job.stage.end_cause.clone();
        self.jobs
            .insert(key.clone(), AnyJob::Queued(job.requeue(not_before)));
        let failed = GangAction::StartFailed {
            key: key.clone(),
            failed_workers,
        };
        self.actions.push(failed);
        if let Some(cause) = end_cause {
            self.end_job(key, cause, now);
        }
    }

    /// Ends a committed attempt as a whole.
    pub(super) fn end_attempt(&mut self, key: &RequestKey, cause: EndCause, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let text = format!(
            "attempt {} ends as a whole: {}",
            job.core.attempt,
            describe_cause(&cause)
        );
        let ending = job.stage.ending.as_ref();
        let ignore_resend_interval = ending.is_none_or(|ending| ending.mode != StopMode::Stop);
        match &mut job.stage.ending {
            Some(ending) => {
                // A cancellation or a deadline determines the outcome of the job; any other cause
                // that occurs while an attempt ends doesn't change the recorded one.
                if matches!(cause, EndCause::Cancelled | EndCause::Deadline)
                    && !matches!(ending.cause, EndCause::Cancelled)
                {
                    ending.cause = cause;
                    job.core.record_explanation(text, now);
                }
                ending.mode = StopMode::Stop;
                ending.escalate_at = now;
            }
            None => {
                job.core.record_explanation(text, now);
                job.stage.ending = Some(Ending {
                    cause,
                    mode: StopMode::Stop,
                    escalate_at: now,
                });
            }
        }
        self.send_end_orders(key, StopMode::Stop, ignore_resend_interval, now);
        self.complete_ended_attempt(key, now);
    }

    /// Completes a committed attempt once none of its members runs any longer.
    pub(super) fn complete_ended_attempt(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get(key) else {
            return;
        };
        if !job.has_ended() {
            return;
        }
        if let Some(answers) = job.answers() {
            self.complete_attempt(key, AttemptEnd::Succeeded, Some(Ok(answers)), now);
            return;
        }
        let Some(ending) = &job.stage.ending else {
            return;
        };
        let outcome = job_outcome(job, &ending.cause, self.limits.max_attempts);
        let end = attempt_end(&ending.cause);
        self.complete_attempt(key, end, outcome, now);
    }

    fn complete_attempt(
        &mut self,
        key: &RequestKey,
        end: AttemptEnd,
        outcome: Option<JobOutcome>,
        now: Timestamp,
    ) {
        let ended = GangAction::Ended {
            key: key.clone(),
            end,
        };
        self.actions.push(ended);
        if let Some(outcome) = outcome {
            self.finish(key, outcome, now);
            return;
        }
        let Some(AnyJob::Committed(job)) = self.jobs.remove(key) else {
            return;
        };
        let job = match job.requeue(now) {
            Ok(job) => AnyJob::Queued(job),
            Err(job) => AnyJob::Committed(*job),
        };
        self.jobs.insert(key.clone(), job);
        let key = key.clone();
        self.actions.push(GangAction::Requeue { key });
    }

    /// Sets the outcome of a queued or committed job and writes it to the store.
    fn finish(&mut self, key: &RequestKey, outcome: JobOutcome, now: Timestamp) {
        let text = match &outcome {
            Ok(answers) => format!("finished with the answers of all {} tasks", answers.len()),
            Err(error) => format!("finished without answers: {error}"),
        };
        let mut job = match self.jobs.remove(key) {
            Some(AnyJob::Queued(job)) => {
                let key = key.clone();
                self.actions.push(GangAction::Dequeue { key });
                job.finish(outcome, now)
            }
            Some(AnyJob::Committed(job)) => job.finish(outcome, now),
            Some(other) => {
                self.jobs.insert(key.clone(), other);
                return;
            }
            None => return,
        };
        job.core.record_explanation(text, now);
        self.jobs.insert(key.clone(), AnyJob::Finished(job));
        self.write_outcome(key);
    }
}

const fn min_job_verdict(core: &JobCore) -> Verdict {
    if core.may_have_run {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

fn describe_cause(cause: &EndCause) -> String {
    match cause {
        EndCause::Failed(target, text) => format!("a task failed on {target}: {text}"),
        EndCause::Lost(target, text) => format!("a member on {target} was lost: {text}"),
        EndCause::HoldsExpired => {
            "the holds were too old for a release when the commit was confirmed".to_owned()
        }
        EndCause::Evicted(reason) => format!("evicted: {reason}"),
        EndCause::Cancelled => "the caller cancelled the job".to_owned(),
        EndCause::Deadline => "the job's deadline passed".to_owned(),
    }
}

fn end_error(cause: &EndCause, verdict: Verdict) -> RequestError {
    let kind = match cause {
        EndCause::Failed(..) => ErrorKind::Failed,
        EndCause::Lost(..) | EndCause::HoldsExpired | EndCause::Evicted(_) => {
            ErrorKind::Unavailable
        }
        EndCause::Cancelled => ErrorKind::Cancelled,
        EndCause::Deadline => ErrorKind::Deadline,
    };
    RequestError::new(verdict, kind, describe_cause(cause))
}

/// Outcome of the job after the end of an attempt; `None` if there is another attempt.
fn job_outcome(job: &Job<Committed>, cause: &EndCause, max_attempts: u32) -> Option<JobOutcome> {
    let min_verdict = min_job_verdict(&job.core);
    let last = job.core.record.runs >= max_attempts;
    let ends = match cause {
        EndCause::Cancelled | EndCause::Deadline => true,
        EndCause::Failed(..) | EndCause::Lost(..) => last || !may_repeat(&job.core),
        EndCause::Evicted(_) | EndCause::HoldsExpired => !may_repeat(&job.core),
    };
    let verdict = match cause {
        EndCause::Failed(..) => min_verdict.max(Verdict::Ran),
        _ => min_verdict,
    };
    ends.then(|| Err(end_error(cause, verdict)))
}

const fn may_repeat(core: &JobCore) -> bool {
    core.record.spec.idempotent || !core.may_have_run
}

fn attempt_end(cause: &EndCause) -> AttemptEnd {
    match cause {
        EndCause::Failed(target, _) => AttemptEnd::Failed(target.clone()),
        EndCause::Lost(target, _) => AttemptEnd::WorkerLost(target.clone()),
        EndCause::HoldsExpired | EndCause::Evicted(_) => AttemptEnd::Evicted,
        EndCause::Cancelled | EndCause::Deadline => AttemptEnd::Cancelled,
    }
}
