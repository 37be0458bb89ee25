use std::net::SocketAddr;
use std::sync::Arc;

use rattanwinch_scheduling::TargetInstance;
use rattanwinch_scheduling::TargetReport;
use rattanwinch_types::Timestamp;
use rattanwinch_types::value;

value! {
    /// One process of an agent.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct AgentId {
        /// The VM that it runs on.
        pub vm: Arc<str>,
        /// Tells the processes on a VM apart.
        pub incarnation: u64,
    }
}

value! {
    /// What an agent knows of its target.
    pub struct AgentReport {
        /// The agent.
        pub agent: AgentId,
        /// Rises with each report of the agent.
        pub sequence: u64,
        /// Where it takes orders.
        pub address: SocketAddr,
        /// Its own clock, by which orders go out of date.
        pub clock: Timestamp,
        /// The highest epoch that it obeys.
        pub epoch: u64,
        /// The target, if there is one and its lists have been read.
        pub target: Option<TargetReport>,
        /// The last life of a target that said that it leaves.
        pub left: Option<TargetInstance>,
    }
}

value! {
    /// The answer to a report.
    pub struct ReportAnswer {
        /// The epoch of the front that answers.
        pub epoch: u64,
        /// True if the store has confirmed its leadership recently; only then may leases be
        /// renewed on its word.
        pub confirmed: bool,
        /// Ends of the target up to this number are durable.
        pub acknowledged: u64,
        /// Other fronts that can be asked who leads.
        pub fronts: Vec<SocketAddr>,
    }
}
