use std::time::Duration;

use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::Timestamp;

use super::GangAction;
use super::GangCoordinator;
use super::HOLD_TIMEOUT;
use super::RELEASE_MARGIN;
use super::coordinator::AnyJob;
use super::limits::LEASE_MARGIN;
use super::limits::MISSING_AFTER;
use super::limits::RESEND_AFTER;
use super::tasks::EndCause;
use super::tasks::HoldStep;
use super::tasks::TaskPhase;
use crate::REPLACED_RENEWS_FOR;
use crate::TASK_LEASE;

impl GangCoordinator {
    /// Acts on everything that is due at `now`. To be called every 100 ms or so.
    pub fn tick(&mut self, now: Timestamp) {
        let keys: Vec<RequestKey> = self.jobs.keys().cloned().collect();
        for key in keys {
            self.tick_deadline(&key, now);
            match self.jobs.get(&key) {
                Some(AnyJob::Holding(_)) => self.tick_holding(&key, now),
                Some(AnyJob::Committed(_)) => self.tick_committed(&key, now),
                Some(AnyJob::Finished(job)) => {
                    if job.stage.retry_at.is_some_and(|at| now >= at) {
                        self.write_finish(&key);
                    }
                }
                Some(AnyJob::Queued(_)) | None => {}
            }
        }
    }

    fn tick_deadline(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if now < job.core().record.spec.deadline {
            return;
        }
        let ending = match job {
            AnyJob::Holding(job) => job.stage.stop.is_some(),
            AnyJob::Committed(job) => {
                let ending = job.stage.ending.as_ref();
                ending.is_some_and(|ending| {
                    matches!(ending.cause, EndCause::Cancelled | EndCause::Deadline)
                })
            }
            AnyJob::Queued(_) => false,
            AnyJob::Finished(_) => true,
        };
        if !ending {
            self.stop_job(key, EndCause::Deadline, now);
        }
    }

    fn tick_holding(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        match job.stage.step {
            HoldStep::Delayed(_) => self.send_due_holds(key, now),
            HoldStep::Asking if now.since(job.stage.sent_at) >= HOLD_TIMEOUT => {
                self.give_up_holds(key, "not all workers answered the hold in time", now);
            }
            HoldStep::Unknown(at) if now >= at => {
                job.stage.step = HoldStep::Reading;
                let key = key.clone();
                self.actions.push(GangAction::Read { key });
            }
            _ => {}
        }
    }

    fn tick_committed(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if let Some(ending) = &mut job.stage.ending {
            let escalated = now >= ending.escalate_at && ending.mode != StopMode::Stop;
            if escalated {
                ending.mode = StopMode::Stop;
            }
            // A member whose task lease has expired has ended, even if nobody can say so. Its
            // release may have arrived as late as its hold lasted.
            let released_by = job.stage.release_by + (RELEASE_MARGIN + HOLD_TIMEOUT);
            for task in &mut job.stage.tasks {
                // Until its agent reports to this decider, a replaced one may still renew it.
                let inherited = task.phase == TaskPhase::Unreported;
                let renewed_by_other = if inherited {
                    REPLACED_RENEWS_FOR
                } else {
                    Duration::ZERO
                };
                let renewed_at = (task.reported_at + renewed_by_other).max(released_by);
                let gone = now.since(renewed_at) > TASK_LEASE + LEASE_MARGIN;
                if gone && !task.is_over() {
                    task.phase = TaskPhase::Ended;
                }
            }
            let mode = ending.mode;
            self.send_endings(key, mode, escalated, now);
            self.settle(key, now);
            return;
        }
        // A member that is silent for its whole lease has ended or is another decider's, whoever
        // is cut off: then the gang isn't whole.
        let silence_limit = if self.losses_suspended {
            TASK_LEASE
        } else {
            MISSING_AFTER
        };
        let missing = |since| now.since(since) >= silence_limit;
        let lost = job.stage.tasks.iter().find(|task| {
            !matches!(task.phase, TaskPhase::Succeeded(Some(_))) && missing(task.reported_at)
        });
        if let Some(task) = lost {
            let text = format!(
                "its agent hasn't reported it for {} s",
                silence_limit.as_secs()
            );
            let cause = EndCause::Lost(task.placed.target.clone(), text.into());
            self.end_attempt(key, cause, now);
            return;
        }
        self.follow_up(key, now);
    }

    /// Sends releases and collections that are due, and ends an attempt of which a member is
    /// still held although its hold can't be released any longer.
    pub(super) fn follow_up(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage.ending.is_some() {
            return;
        }
        let late = now >= job.stage.release_by;
        let held = |phase: &TaskPhase| *phase == TaskPhase::Releasing;
        let unreleased = job.stage.tasks.iter().find(|task| held(&task.phase));
        if let Some(task) = unreleased
            && late
        {
            let text = "its hold couldn't be released in time";
            let cause = EndCause::Lost(task.placed.target.clone(), text.into());
            self.end_attempt(key, cause, now);
            return;
        }
        for (index, task) in job.stage.tasks.iter_mut().enumerate() {
            let due = now.since(task.sent_at) >= RESEND_AFTER;
            let target = task.placed.target.clone();
            let member = job.core.member(index);
            let action = match task.phase {
                TaskPhase::Releasing if due => GangAction::Release { target, member },
                TaskPhase::Succeeded(None) if due => GangAction::Collect { target, member },
                _ => continue,
            };
            task.sent_at = now;
            self.actions.push(action);
        }
    }

    /// Sends what ends the members of an attempt that ends, or what throttles them.
    /// Members that were sent something lately are left out unless `at_once`.
    pub(super) fn send_endings(
        &mut self,
        key: &RequestKey,
        mode: StopMode,
        at_once: bool,
        now: Timestamp,
    ) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        for (index, task) in job.stage.tasks.iter_mut().enumerate() {
            let due = at_once || now.since(task.sent_at) >= RESEND_AFTER;
            if task.is_over() || !due {
                continue;
            }
            task.sent_at = now;
            let target = task.placed.target.clone();
            let member = job.core.member(index);
            self.actions.push(match mode {
                StopMode::Stop => GangAction::Abort { target, member },
                StopMode::Checkpoint | StopMode::Throttle => {
                    let order = StopOrder { member, mode };
                    GangAction::Stop { target, order }
                }
            });
        }
    }
}
