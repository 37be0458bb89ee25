use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use rattanwinch_types::AcceleratorSet;
use rattanwinch_types::Epoch;
use rattanwinch_types::HoldOrder;
use rattanwinch_types::MemberKey;

/// A task for an executor to load.
#[derive(Clone, Debug, PartialEq, Eq, Builder)]
pub struct TaskOrder {
    /// The gang member that the task is.
    pub member: MemberKey,
    /// The epoch of the decider; the executor keeps it for the next agent.
    pub epoch: Epoch,
    /// The accelerators that the task uses.
    pub accelerators: AcceleratorSet,
    /// The number of tasks in the gang.
    pub gang_tasks: u16,
    /// The text for the executor.
    pub payload: Arc<str>,
    /// How long the task is kept without a renewal.
    pub lease: Duration,
}

impl TaskOrder {
    /// The task of a member that a decider orders to hold.
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
    /// Where a task stands.
    pub enum TaskState {
        /// It is loaded and doesn't run.
        Loaded,
        /// It runs.
        Running,
        /// It finished; its output can be read.
        Succeeded,
        /// It failed, with the executor's text.
        Failed(Arc<str>),
        /// It was stopped or checkpointed on order.
        Stopped,
        /// Its lease expired, so the executor stopped it.
        Expired,
    }
}

rattanwinch_types::value! {
    /// What an executor reports of one task.
    pub struct TaskReport {
        /// The gang member.
        pub member: MemberKey,
        /// The epoch of the decider that loaded it.
        pub epoch: Epoch,
        /// The accelerators that it uses.
        pub accelerators: AcceleratorSet,
        /// The number of tasks in the gang.
        pub gang_tasks: u16,
        /// Where it stands.
        pub state: TaskState,
    }
}
