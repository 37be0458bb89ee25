use std::sync::Arc;

use rattanwinch_types::value;

use crate::Checkpoint;
use crate::RunId;
use crate::TargetInstance;
use crate::Ticket;

value! {
    /// An order to start a run.
    pub struct StartOrder {
        /// The run.
        pub run: RunId,
        /// The payload of the task.
        pub payload: Arc<str>,
        /// The checkpoint to resume from.
        pub checkpoint: Option<Checkpoint>,
        /// The advisor's ticket, if the queue has an advisor.
        pub ticket: Option<Ticket>,
    }
}

value! {
    /// The orders for a target that are due at one time.
    pub struct TargetOrders {
        /// The target instance that the orders are for.
        pub instance: TargetInstance,
        /// Runs to start.
        pub starts: Vec<StartOrder>,
        /// Runs to stop, or to prevent from starting.
        pub stops: Vec<RunId>,
    }
}

value! { copy
    /// Why a target refused to start a run.
    pub enum StartRefusal {
        /// The target has accepted orders from a scheduler with a higher epoch.
        Fence,
        /// The run, or a later run of the task, has ended on the target.
        Old,
        /// The lease in the order has expired.
        Late,
        /// The target has not enough free resources.
        Room,
        /// The ticket is not valid.
        Ticket,
        /// The target is unhealthy and has not started the run.
        Unhealthy,
        /// The order was not sent, because the target drains or the order was too late.
        NotSent,
        /// The target cannot parse the order.
        Invalid,
    }
}

impl StartRefusal {
    /// The stable text used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Old => "old",
            Self::Late => "late",
            Self::Room => "room",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::NotSent => "not_sent",
            Self::Invalid => "invalid",
        }
    }
}

value! { copy
    /// The outcome of an order.
    pub enum OrderOutcome {
        /// The run is running.
        Started,
        /// The run is not running and this order will not start it.
        Refused(StartRefusal),
        /// The run was told to stop and can no longer start.
        Stopped,
        /// The order may have been carried out, or may still be.
        Unknown,
    }
}
