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
use super::tasks::HoldAnswer;
use super::tasks::HoldStep;

impl GangCoordinator {
    /// Cancels a job; false if it isn't known or has its outcome.
    pub fn cancel(&mut self, key: &RequestKey, now: Timestamp) -> bool {
        self.stop_job(key, EndCause::Cancelled, now)
    }

    /// Finishes a queued job that the policy refuses.
    pub fn refuse(&mut self, key: &RequestKey, error: RequestError, now: Timestamp) {
        if let Some(AnyJob::Queued(job)) = self.jobs.get(key) {
            let least = least_verdict(&job.core);
            self.finish(key, Err(error.with_verdict_at_least(least)), now);
        }
    }

    /// Takes a running gang off its accelerators; false if it doesn't run or ends already.
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
        self.send_endings(key, mode, true, now);
        true
    }

    /// Ends a job in whatever state with `cause`.
    pub(super) fn stop_job(&mut self, key: &RequestKey, cause: EndCause, now: Timestamp) -> bool {
        match self.jobs.get_mut(key) {
            Some(AnyJob::Queued(job)) => {
                let error = error_of(&cause, least_verdict(&job.core));
                self.finish(key, Err(error), now);
            }
            Some(AnyJob::Holding(job)) => {
                let undecided = !matches!(job.stage.step, HoldStep::Delayed(_) | HoldStep::Asking);
                job.stage.stop = Some(cause);
                if !undecided {
                    self.give_up_holds(key, "the job ends before its commit", now);
                }
            }
            Some(AnyJob::Committed(_)) => self.end_attempt(key, cause, now),
            Some(AnyJob::Finished(_)) | None => return false,
        }
        true
    }

    /// Aborts an attempt that isn't committed and never will be.
    pub(super) fn give_up_holds(&mut self, key: &RequestKey, reason: &str, now: Timestamp) {
        let failures = match self.jobs.get(key) {
            Some(AnyJob::Holding(job)) => job.core.failures,
            _ => return,
        };
        let not_before = self.backoff(failures, now);
        let Some(AnyJob::Holding(mut job)) = self.jobs.remove(key) else {
            return;
        };
        let sent = !matches!(job.stage.step, HoldStep::Delayed(_));
        let mut failed_workers = SmallVec::new();
        let asking = job.stage.step == HoldStep::Asking && job.stage.stop.is_none();
        for (index, task) in job.stage.tasks.iter().enumerate() {
            let target = task.placed.target.clone();
            if asking && task.answer == HoldAnswer::Failed {
                failed_workers.push(target.clone());
            }
            if sent {
                let member = job.core.member(index);
                self.actions.push(GangAction::Abort { target, member });
            }
        }
        let attempt = job.core.attempt;
        job.core
            .record_explanation(format!("attempt {attempt} wasn't started: {reason}"), now);
        let stop = job.stage.stop.clone();
        self.jobs
            .insert(key.clone(), AnyJob::Queued(job.requeue(not_before)));
        let failed = GangAction::StartFailed {
            key: key.clone(),
            failed_workers,
        };
        self.actions.push(failed);
        if let Some(cause) = stop {
            self.stop_job(key, cause, now);
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
            describe(&cause)
        );
        let ending = job.stage.ending.as_ref();
        let at_once = ending.is_none_or(|ending| ending.mode != StopMode::Stop);
        match &mut job.stage.ending {
            Some(ending) => {
                // A cancellation or a deadline decides what becomes of the job; anything else
                // that comes up while an attempt ends doesn't change the reason.
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
        self.send_endings(key, StopMode::Stop, at_once, now);
        self.settle(key, now);
    }

    /// Acts on a committed attempt of which no member runs any longer.
    pub(super) fn settle(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get(key) else {
            return;
        };
        if !job.is_over() {
            return;
        }
        if let Some(answers) = job.answers() {
            self.end_with(key, AttemptEnd::Succeeded, Some(Ok(answers)), now);
            return;
        }
        let Some(ending) = &job.stage.ending else {
            return;
        };
        let outcome = outcome_of(job, &ending.cause, self.limits.max_attempts);
        let end = attempt_end(&ending.cause);
        self.end_with(key, end, outcome, now);
    }

    fn end_with(
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

    /// Gives a queued or committed job its outcome and writes it.
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
        self.write_finish(key);
    }
}

const fn least_verdict(core: &JobCore) -> Verdict {
    if core.may_have_run {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    }
}

fn describe(cause: &EndCause) -> String {
    match cause {
        EndCause::Failed(target, text) => format!("a task failed on {target}: {text}"),
        EndCause::Lost(target, text) => format!("a member on {target} was lost: {text}"),
        EndCause::HoldsExpired => "the holds were too old for a release".to_owned(),
        EndCause::Evicted(reason) => format!("evicted: {reason}"),
        EndCause::Cancelled => "the caller cancelled the job".to_owned(),
        EndCause::Deadline => "the job's deadline passed".to_owned(),
    }
}

fn error_of(cause: &EndCause, verdict: Verdict) -> RequestError {
    let kind = match cause {
        EndCause::Failed(..) => ErrorKind::Failed,
        EndCause::Lost(..) | EndCause::HoldsExpired | EndCause::Evicted(_) => {
            ErrorKind::Unavailable
        }
        EndCause::Cancelled => ErrorKind::Cancelled,
        EndCause::Deadline => ErrorKind::Deadline,
    };
    RequestError::new(verdict, kind, describe(cause))
}

/// What the end of an attempt makes of the job; `None` if there is another attempt.
fn outcome_of(job: &Job<Committed>, cause: &EndCause, max_attempts: u32) -> Option<JobOutcome> {
    let least = least_verdict(&job.core);
    let last = job.core.record.runs >= max_attempts;
    let ends = match cause {
        EndCause::Cancelled | EndCause::Deadline => true,
        EndCause::Failed(..) | EndCause::Lost(..) => last || !repeatable(&job.core),
        EndCause::Evicted(_) | EndCause::HoldsExpired => !repeatable(&job.core),
    };
    let verdict = match cause {
        EndCause::Failed(..) => least.max(Verdict::Ran),
        _ => least,
    };
    ends.then(|| Err(error_of(cause, verdict)))
}

const fn repeatable(core: &JobCore) -> bool {
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
