use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::AgentReport;

value! {
    /// Orders for the target beside an agent.
    pub struct AgentOrders {
        /// The epoch of the front that gives them.
        pub epoch: u64,
        /// The agent's own time after which nothing of this is begun.
        pub valid_until: Timestamp,
        /// Ends of the target up to this number are durable.
        pub acknowledged: u64,
        /// What to start and to stop.
        pub orders: TargetOrders,
    }
}

value! {
    /// What came of orders.
    pub struct OrderResults {
        /// The outcome for each run.
        pub outcomes: Vec<(RunId, OrderOutcome)>,
        /// What the agent knows of its target after the orders were carried out; `None` if the
        /// target's lists couldn't be read again.
        pub report: Option<AgentReport>,
    }
}
