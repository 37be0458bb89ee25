use std::sync::Arc;

use rattanwinch_types::value;

use crate::Checkpoint;
use crate::RunId;
use crate::TargetInstance;
use crate::Ticket;

value! {
    /// The order to start a run.
    pub struct StartOrder {
        /// The run.
        pub run: RunId,
        /// What the task is told to do.
        pub payload: Arc<str>,
        /// The saved state to go on from.
        pub checkpoint: Option<Checkpoint>,
        /// The advisor's word, where the queue has one.
        pub ticket: Option<Ticket>,
    }
}

value! {
    /// All orders for one target at one moment.
    pub struct TargetOrders {
        /// The instance of the target that they are meant for.
        pub instance: TargetInstance,
        /// Runs to start.
        pub starts: Vec<StartOrder>,
        /// Runs to stop, or to keep from starting.
        pub stops: Vec<RunId>,
    }
}

value! { copy
    /// Why a target didn't start a run.
    pub enum StartRefusal {
        /// It obeys a later scheduler.
        Fence,
        /// That run, or a later one of the task, has ended there.
        Old,
        /// The lease in the order had run out.
        Late,
        /// It has no room.
        Room,
        /// The ticket doesn't hold.
        Ticket,
        /// It is unhealthy and has done nothing.
        Unhealthy,
        /// It drains, or the order came too late to be carried out.
        NotSent,
        /// It can't read the order.
        Invalid,
    }
}

impl StartRefusal {
    /// The name in metrics.
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
    /// What came of an order.
    pub enum OrderOutcome {
        /// The run is at work.
        Started,
        /// The run isn't at work and this order won't start it.
        Refused(StartRefusal),
        /// The run has been told to stop and can't start any more.
        Stopped,
        /// The order may have been carried out, or may still be.
        Unknown,
    }
}
