use std::sync::Arc;

use rattanwinch_types::Answer;
use rattanwinch_types::ErrorKind;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::MemberOutcome;
use rattanwinch_types::MemberPhase;
use rattanwinch_types::MemberReport;
use rattanwinch_types::PlacedTask;
use rattanwinch_types::RequestError;
use rattanwinch_types::RequestKey;
use rattanwinch_types::StopMode;
use rattanwinch_types::StopOrder;
use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;

use super::GangAction;
use super::GangCoordinator;
use super::HOLD_FOR;
use super::HeartbeatOrders;
use super::coordinator::AnyJob;
use super::tasks::CommittedTask;
use super::tasks::EndCause;
use super::tasks::HoldAnswer;
use super::tasks::HoldStep;
use super::tasks::TaskPhase;

impl GangCoordinator {
    /// Begins an attempt at a queued job with a placement that the policy decided; false if the
    /// job doesn't wait.
    pub fn start_attempt(
        &mut self,
        key: &RequestKey,
        tasks: Vec<PlacedTask>,
        reason: &str,
        now: Timestamp,
    ) -> bool {
        let Some(AnyJob::Queued(_)) = self.jobs.get(key) else {
            return false;
        };
        let Some(AnyJob::Queued(mut job)) = self.jobs.remove(key) else {
            return false;
        };
        job.core.record_explanation(reason, now);
        let job = AnyJob::Holding(job.hold(tasks, now));
        self.jobs.insert(key.clone(), job);
        self.send_due_holds(key, now);
        true
    }

    /// Sends the holds of a job whose back-off has passed.
    pub(super) fn send_due_holds(&mut self, key: &RequestKey, now: Timestamp) {
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        if !matches!(job.stage.step, HoldStep::Delayed(at) if now >= at) {
            return;
        }
        job.stage.step = HoldStep::Asking;
        job.stage.sent_at = now;
        let gang_tasks = job.core.record.spec.shape.tasks();
        for (index, task) in job.stage.tasks.iter().enumerate() {
            let order = HoldOrder {
                member: job.core.member(index),
                epoch: self.epoch,
                accelerators: task.placed.accelerators,
                gang_tasks,
                payload: Arc::clone(&job.core.record.spec.payload),
                hold_for: HOLD_FOR,
            };
            let target = task.placed.target.clone();
            self.actions.push(GangAction::Hold { target, order });
        }
    }

    /// Takes in the response to a hold, or that there was none.
    ///
    /// Only [`ErrorKind::Failed`] is the worker's own fault. An agent also refuses when its view
    /// is out of date, which a slow store brings about at all workers at once.
    pub fn handle_hold_response(
        &mut self,
        member: &MemberKey,
        held: Result<(), RequestError>,
        now: Timestamp,
    ) {
        let key = &member.attempt.key;
        let Some(AnyJob::Holding(job)) = self.jobs.get_mut(key) else {
            return;
        };
        let current = job.core.attempt == member.attempt.attempt;
        if !current || job.stage.step != HoldStep::Asking {
            return;
        }
        if let Some(task) = job.stage.tasks.get_mut(usize::from(member.index)) {
            task.answer = match &held {
                Ok(()) => HoldAnswer::Held,
                Err(error) if error.kind == ErrorKind::Failed => HoldAnswer::Failed,
                Err(_) => HoldAnswer::Refused,
            };
        }
        match held {
            Err(error) => {
                let reason = format!("a worker refused the hold: {error}");
                self.give_up_holds(key, &reason, now);
            }
            Ok(()) if job.is_held() => self.commit(key, now),
            Ok(()) => {}
        }
    }

    /// Takes in the response to a release: `Err` carries whether the member may run.
    pub fn handle_release_response(
        &mut self,
        member: &MemberKey,
        response: Result<(), RequestError>,
        now: Timestamp,
    ) {
        let Some(task) = self.committed_task(member) else {
            return;
        };
        let target = task.placed.target.clone();
        match response {
            Ok(()) if task.phase == TaskPhase::Releasing => {
                task.phase = TaskPhase::Running;
                task.reported_at = now;
            }
            Err(error) if error.is_not_run() && task.phase == TaskPhase::Releasing => {
                let cause = EndCause::Lost(target, error.message);
                self.end_attempt(&member.attempt.key, cause, now);
            }
            // Without an answer the release is sent again by the timer while the hold lasts.
            _ => {}
        }
    }

    /// Takes in that an agent has ended a member for good.
    pub fn handle_abort_response(&mut self, member: &MemberKey, now: Timestamp) {
        let Some(task) = self.committed_task(member) else {
            return;
        };
        if !task.is_over() {
            task.phase = TaskPhase::Ended;
        }
        self.settle(&member.attempt.key, now);
    }

    /// Takes in the output of a member that succeeded.
    pub fn handle_output(
        &mut self,
        member: &MemberKey,
        output: Result<Answer, RequestError>,
        now: Timestamp,
    ) {
        let Some(task) = self.committed_task(member) else {
            return;
        };
        if task.phase != TaskPhase::Succeeded(None) {
            return;
        }
        match output {
            Ok(answer) => task.phase = TaskPhase::Succeeded(Some(answer)),
            Err(error) if error.kind == ErrorKind::NotFound => {
                let cause = EndCause::Lost(task.placed.target.clone(), error.message);
                self.end_attempt(&member.attempt.key, cause, now);
            }
            Err(_) => {}
        }
        self.settle(&member.attempt.key, now);
    }

    /// Takes in what an agent reports of its members, in a heartbeat or in the response to an
    /// adoption, and says what it has to stop and may forget.
    pub fn handle_heartbeat(
        &mut self,
        target: &TargetName,
        reports: &[MemberReport],
        now: Timestamp,
    ) -> HeartbeatOrders {
        let mut orders = HeartbeatOrders::default();
        for report in reports {
            self.take_report(target, report, now);
            let member = report.member.clone();
            if matches!(report.phase, MemberPhase::Ended(_)) {
                if self.may_forget(&member) {
                    orders.forget.push(member);
                }
            } else if !self.wants(&member) {
                let mode = self.stop_mode(&member);
                orders.stop.push(StopOrder { member, mode });
            }
        }
        orders
    }

    fn take_report(&mut self, target: &TargetName, report: &MemberReport, now: Timestamp) {
        let member = &report.member;
        let key = &member.attempt.key;
        let Some(task) = self.committed_task(member) else {
            return;
        };
        if task.placed.target != *target
            || task.is_over() && task.phase != TaskPhase::Succeeded(None)
        {
            return;
        }
        task.reported_at = now;
        let lost = |text: &str| Some(EndCause::Lost(target.clone(), text.into()));
        let cause = match &report.phase {
            // A report may be older than the response to a release, so it never sets a task back.
            MemberPhase::Held => {
                if task.phase == TaskPhase::Unreported {
                    task.phase = TaskPhase::Releasing;
                    task.sent_at = Timestamp::ZERO;
                }
                None
            }
            MemberPhase::Running => {
                if task.phase != TaskPhase::Succeeded(None) {
                    task.phase = TaskPhase::Running;
                }
                None
            }
            MemberPhase::Ended(MemberOutcome::Succeeded) => {
                if task.phase != TaskPhase::Succeeded(None) {
                    task.phase = TaskPhase::Succeeded(None);
                    task.sent_at = Timestamp::ZERO;
                }
                None
            }
            MemberPhase::Ended(end) => {
                task.phase = TaskPhase::Ended;
                match end {
                    MemberOutcome::Failed(text) => {
                        Some(EndCause::Failed(target.clone(), Arc::clone(text)))
                    }
                    MemberOutcome::Lapsed => lost("its hold or its task lease expired"),
                    MemberOutcome::Stopped | MemberOutcome::Succeeded => lost("it was stopped"),
                }
            }
        };
        // Members of an attempt that ends already end one after the other.
        let cause = cause.filter(|_| !self.is_ending(key));
        if let Some(cause) = cause {
            self.end_attempt(key, cause, now);
        }
        self.follow_up(key, now);
        self.settle(key, now);
    }

    fn is_ending(&self, key: &RequestKey) -> bool {
        match self.jobs.get(key) {
            Some(AnyJob::Committed(job)) => job.stage.ending.is_some(),
            _ => false,
        }
    }

    /// The task of a member if its attempt is the committed one.
    pub(super) fn committed_task(&mut self, member: &MemberKey) -> Option<&mut CommittedTask> {
        match self.jobs.get_mut(&member.attempt.key) {
            Some(AnyJob::Committed(job)) if job.core.attempt == member.attempt.attempt => {
                job.stage.tasks.get_mut(usize::from(member.index))
            }
            _ => None,
        }
    }

    /// An ended member is remembered by its agent until nothing depends on it: until the job has
    /// finished, another attempt is the latest one, or its end is already taken in.
    fn may_forget(&self, member: &MemberKey) -> bool {
        match self.jobs.get(&member.attempt.key) {
            Some(AnyJob::Finished(job)) => job.stage.recorded,
            Some(AnyJob::Committed(job)) => job.core.attempt > member.attempt.attempt,
            Some(AnyJob::Holding(job)) => job.core.attempt > member.attempt.attempt,
            Some(AnyJob::Queued(_)) | None => true,
        }
    }

    fn stop_mode(&self, member: &MemberKey) -> StopMode {
        match self.jobs.get(&member.attempt.key) {
            Some(AnyJob::Committed(job)) if job.core.attempt == member.attempt.attempt => {
                let ending = job.stage.ending.as_ref();
                ending.map_or(StopMode::Stop, |ending| ending.mode)
            }
            _ => StopMode::Stop,
        }
    }
}
