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
use crate::member_message::ActionKind;
use crate::member_message::MemberMessage;
use crate::member_message::Result;

impl<E: Executor> AgentState<E> {
    /// Executes an action at the executor and sends the result to the member actor.
    pub(crate) async fn perform(self: Arc<Self>, action: Action) {
        let (gate, now) = (self.gate.load_full(), self.clock.now());
        let allowed = action.check_still_allowed(&gate, now);
        let (member, kind, result) = match action {
            Action::Load { order, lease_until } => {
                let result = match allowed {
                    Ok(()) => self.load(&order, lease_until).await,
                    Err(error) => Err(error),
                };
                (order.member, ActionKind::Load, result)
            }
            Action::Run { member, .. } => {
                let result = match allowed {
                    Ok(()) => {
                        self.check_start_invariants(&gate, true, now);
                        self.executor.run_task(&member).await
                    }
                    Err(error) => Err(error),
                };
                (member, ActionKind::Run, result)
            }
            Action::Stop { member, mode } => {
                let result = self.executor.stop_task(&member, mode).await;
                (member, ActionKind::Stop(mode), result)
            }
            Action::Renew {
                members,
                lease_until,
            } => return self.renew(&members, lease_until).await,
            Action::Forget(member) => return self.delete_task(&member).await,
        };
        let message = MemberMessage::Done(member, kind, result);
        self.members.send_executor_result(message).await;
    }

    /// Lists the executor's tasks and sends them to the member actor.
    pub(crate) async fn list_tasks(self: Arc<Self>, request: TaskListRequest) {
        let tasks = self.executor_tasks().await;
        let message = MemberMessage::TaskList(request, tasks);
        self.members.send_executor_result(message).await;
    }

    /// The executor's tasks in the form that decisions use.
    pub(crate) async fn executor_tasks(&self) -> Result<Vec<ObservedTask>> {
        let tasks = self.executor.list_tasks().await?;
        Ok(tasks.into_iter().map(observed_task).collect())
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
        if let Err(error) = self.executor.renew_task_leases(members, lease).await {
            // The next renewal follows within seconds, and the lease spans many renewals.
            debug!(self.logger, "failed to renew the task leases at the executor; the next \
                renewal retries"; "error" => %error);
        }
    }

    async fn delete_task(&self, member: &MemberKey) {
        if let Err(error) = self.executor.delete_task(member).await {
            // A remaining task is deleted when the executor next lists it.
            debug!(self.logger, "failed to delete an ended task at the executor; the next list \
                retries"; "member" => %member, "error" => %error);
        }
    }
}

fn observed_task(report: TaskReport) -> ObservedTask {
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
