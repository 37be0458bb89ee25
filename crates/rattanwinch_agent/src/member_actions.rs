use std::sync::Arc;

use rattanwinch_decisions::Action;
use rattanwinch_decisions::ObservedState;
use rattanwinch_decisions::ObservedTask;
use rattanwinch_decisions::TaskListRequest;
use rattanwinch_targets::Executor;
use rattanwinch_targets::TaskOrder;
use rattanwinch_targets::TaskReport;
use rattanwinch_targets::TaskState;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;
use rattanwinch_types::Timestamp;
use slog::debug;

use crate::agent_state::AgentState;
use crate::member_message::MemberMessage;
use crate::member_message::Result;
use crate::member_message::Step;

impl<E: Executor> AgentState<E> {
    /// Carries out an action at the executor and tells the owner of the member table the result.
    pub(crate) async fn perform(self: Arc<Self>, action: Action) {
        let (gate, now) = (self.gate.load_full(), self.clock.now());
        let due = action.check_still_allowed(&gate, now);
        let (member, step, result) = match action {
            Action::Load { order, lease_until } => {
                let result = match due {
                    Ok(()) => self.load(&order, lease_until).await,
                    Err(error) => Err(error),
                };
                (order.member, Step::Load, result)
            }
            Action::Run { member, .. } => {
                let result = match due {
                    Ok(()) => {
                        self.assert_may_start(&gate, true, now);
                        self.executor.run_task(&member).await
                    }
                    Err(error) => Err(error),
                };
                (member, Step::Run, result)
            }
            Action::Stop { member, mode } => {
                let result = self.executor.stop_task(&member, mode).await;
                (member, Step::Stop(mode), result)
            }
            Action::Renew {
                members,
                lease_until,
            } => return self.renew(&members, lease_until).await,
            Action::Forget(member) => return self.forget(&member).await,
        };
        let message = MemberMessage::Done(member, step, result);
        self.members.executor_answered(message).await;
    }

    /// Lists the executor's tasks and tells the owner of the member table.
    pub(crate) async fn list(self: Arc<Self>, request: TaskListRequest) {
        let tasks = self.executor_tasks().await;
        let message = MemberMessage::Listed(request, tasks);
        self.members.executor_answered(message).await;
    }

    /// The executor's tasks as decisions see them.
    pub(crate) async fn executor_tasks(&self) -> Result<Vec<ObservedTask>> {
        let tasks = self.executor.tasks().await?;
        Ok(tasks.into_iter().map(observed).collect())
    }

    async fn load(&self, order: &HoldOrder, lease_until: Timestamp) -> Result<()> {
        let lease = self.clock.now().until(lease_until);
        let task = TaskOrder::for_hold(order, lease);
        self.executor.load_task(&task).await
    }

    async fn renew(&self, members: &[MemberKey], lease_until: Timestamp) {
        let lease = self.clock.now().until(lease_until);
        if lease.is_zero() {
            return;
        }
        if let Err(error) = self.executor.renew_tasks(members, lease).await {
            // The next renewal follows within seconds, and the lease lasts for many of them.
            debug!(self.logger, "tasks weren't renewed"; "error" => %error);
        }
    }

    async fn forget(&self, member: &MemberKey) {
        if let Err(error) = self.executor.forget_task(member).await {
            // A task that is left is forgotten when the executor lists it.
            debug!(self.logger, "a task wasn't forgotten"; "member" => %member, "error" => %error);
        }
    }
}

fn observed(report: TaskReport) -> ObservedTask {
    let state = match report.state {
        TaskState::Loaded => ObservedState::Loaded,
        TaskState::Running => ObservedState::Running,
        TaskState::Succeeded => ObservedState::Succeeded,
        TaskState::Failed(text) => ObservedState::Failed(text),
        TaskState::Stopped => ObservedState::Stopped,
        TaskState::Expired => ObservedState::Expired,
    };
    ObservedTask {
        member: report.member,
        epoch: report.epoch,
        accelerators: report.accelerators,
        state,
    }
}
