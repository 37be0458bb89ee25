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
use super::limits::MEMBER_REPORT_TIMEOUT;
use super::limits::RESEND_INTERVAL;
use super::tasks::EndCause;
use super::tasks::HoldStep;
use super::tasks::TaskPhase;
use crate::MAX_RENEWAL_AFTER_TAKEOVER;
use crate::TASK_LEASE;

impl GangCoordinator {
    /// Runs all timers that are due at `now`. The caller calls this about every 100 ms.
    pub fn tick(&mut self, now: Timestamp) {
        let keys: Vec<RequestKey> = self.jobs.keys().cloned().collect();
        for key in keys {
            self.tick_deadline(&key, now);
            match self.jobs.get(&key) {
                Some(AnyJob::Holding(_)) => self.tick_holding(&key, now),
                Some(AnyJob::Committed(_)) => self.tick_committed(&key, now),
                Some(AnyJob::Finished(job)) => {
                    if job.stage.retry_at.is_some_and(|at| now >= at) {
                        self.write_outcome(&key);
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
            AnyJob::Holding(job) => job.stage.end_cause.is_some(),
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
            self.end_job(key, EndCause::Deadline, now);
        }
    }

    fn tick_holding(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        match job.stage.step {
            HoldStep::Delayed(_) => self.send_due_holds(key, now),
            HoldStep::AwaitingResponses if now.since(job.stage.sent_at) >= HOLD_TIMEOUT => {
                self.abort_holds(key, "not all workers responded to the hold in time", now);
            }
            HoldStep::InDoubt(at) if now >= at => {
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
            // A member whose task lease has expired has ended, even without a report. Its release
            // may have arrived as late as its hold lasted.
            let released_by = job.stage.release_by + (RELEASE_MARGIN + HOLD_TIMEOUT);
            for task in &mut job.stage.tasks {
                // Until the agent reports to this decider, the replaced decider may still renew the
                // lease.
                let is_unreported = task.phase == TaskPhase::Unreported;
                let renewal_allowance = if is_unreported {
                    MAX_RENEWAL_AFTER_TAKEOVER
                } else {
                    Duration::ZERO
                };
                let renewed_at = (task.reported_at + renewal_allowance).max(released_by);
                let lease_expired = now.since(renewed_at) > TASK_LEASE + LEASE_MARGIN;
                if lease_expired && !task.has_ended() {
                    task.phase = TaskPhase::Ended;
                }
            }
            let mode = ending.mode;
            self.send_end_orders(key, mode, escalated, now);
            self.complete_ended_attempt(key, now);
            return;
        }
        // A member that is silent for its whole lease has ended or reports to another decider,
        // whichever process is partitioned. The gang is incomplete in both cases.
        let silence_timeout = if self.loss_detection_suspended {
            TASK_LEASE
        } else {
            MEMBER_REPORT_TIMEOUT
        };
        let missing = |since| now.since(since) >= silence_timeout;
        let lost = job.stage.tasks.iter().find(|task| {
            !matches!(task.phase, TaskPhase::Succeeded(Some(_))) && missing(task.reported_at)
        });
        if let Some(task) = lost {
            let text = format!(
                "its agent has not reported it for {} s",
                silence_timeout.as_secs()
            );
            let cause = EndCause::Lost(task.placed.target.clone(), text.into());
            self.end_attempt(key, cause, now);
            return;
        }
        self.send_due_messages(key, now);
    }

    /// Sends releases and reads of outputs that are due, and ends an attempt if a member's hold
    /// can't be released any longer.
    pub(super) fn send_due_messages(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if job.stage.ending.is_some() {
            return;
        }
        let past_release_deadline = now >= job.stage.release_by;
        let held = |phase: &TaskPhase| *phase == TaskPhase::Releasing;
        let unreleased = job.stage.tasks.iter().find(|task| held(&task.phase));
        if let Some(task) = unreleased
            && past_release_deadline
        {
            let text = "its hold was not released in time";
            let cause = EndCause::Lost(task.placed.target.clone(), text.into());
            self.end_attempt(key, cause, now);
            return;
        }
        for (index, task) in job.stage.tasks.iter_mut().enumerate() {
            let due = now.since(task.sent_at) >= RESEND_INTERVAL;
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

    /// Sends the orders that end or throttle the members of an attempt. Members that were sent a
    /// message within the resend interval are skipped unless `ignore_resend_interval` is set.
    pub(super) fn send_end_orders(
        &mut self,
        key: &RequestKey,
        mode: StopMode,
        ignore_resend_interval: bool,
        now: Timestamp,
    ) {
        let Some(AnyJob::Committed(job)) = self.jobs.get_mut(key) else {
            return;
        };
        for (index, task) in job.stage.tasks.iter_mut().enumerate() {
            let due = ignore_resend_interval || now.since(task.sent_at) >= RESEND_INTERVAL;
            if task.has_ended() || !due {
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
