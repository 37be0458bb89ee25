use rattanwinch_scheduling::OrderOutcome;
use rattanwinch_scheduling::RunId;
use rattanwinch_scheduling::TargetOrders;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

use crate::AgentReport;

value! {
    /// Orders to the agent beside a target.
    pub struct AgentOrders {
        /// Epoch of the leader that sends the orders.
        pub epoch: u64,
        /// End of the orders' validity on the agent's clock; no start is sent to the executor after
        /// it.
        pub valid_until: Timestamp,
        /// Highest sequence number of the target's run ends that are durable.
        pub acknowledged: u64,
        /// Runs to start and to stop.
        pub orders: TargetOrders,
    }
}

value! {
    /// Results of orders.
    pub struct OrderResults {
        /// The outcome for each run.
        pub outcomes: Vec<(RunId, OrderOutcome)>,
        /// The agent's report after carrying out the orders; `None` if the target's lists couldn't
        /// be read again.
        pub report: Option<AgentReport>,
    }
}
