use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;

/// A task that an executor is to load.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct TaskOrder {
    /// The gang member that the task belongs to.
    pub member: MemberKey,
    /// The epoch of the decider; the executor keeps it for the next agent.
    pub epoch: Epoch,
    /// The accelerators that the task uses.
    pub accelerators: AcceleratorSet,
    /// The number of tasks in the gang.
    pub gang_tasks: u16,
    /// The payload for the executor.
    pub payload: Arc<str>,
    /// How long the task is kept without a lease renewal.
    pub lease: Duration,
}

impl TaskOrder {
    /// Creates the task of a member that a decider orders to hold.
    #[must_use]
    pub fn for_hold(order: &HoldOrder, lease: Duration) -> Self {
        Self {
            member: order.member.clone(),
            epoch: order.epoch,
            accelerators: order.accelerators,
            gang_tasks: order.gang_tasks,
            payload: Arc::clone(&order.payload),
            lease,
        }
    }
}

rattanwinch_types::value! {
    /// The state of a task.
    pub enum TaskState {
        /// The task is loaded but not running.
        Loaded,
        /// The task runs.
        Running,
        /// The task succeeded; its output can be read.
        Succeeded,
        /// The task failed, with the executor's message.
        Failed(Arc<str>),
        /// The task was stopped or checkpointed on order.
        Stopped,
        /// The task's lease expired, so the executor stopped it.
        Expired,
    }
}

rattanwinch_types::value! {
    /// An executor's report of one task.
    pub struct TaskReport {
        /// The gang member.
        pub member: MemberKey,
        /// The epoch of the decider that loaded the task.
        pub epoch: Epoch,
        /// The accelerators that the task uses.
        pub accelerators: AcceleratorSet,
        /// The number of tasks in the gang.
        pub gang_tasks: u16,
        /// The state.
        pub state: TaskState,
    }
}
