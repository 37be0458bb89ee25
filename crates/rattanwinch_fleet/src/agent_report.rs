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
        /// The VM that the process runs on.
        pub vm: Arc<str>,
        /// Distinguishes the processes on a VM.
        pub incarnation: u64,
    }
}

value! {
    /// An agent's report on its target.
    pub struct AgentReport {
        /// The agent.
        pub agent: AgentId,
        /// Increases with each report of the agent.
        pub sequence: u64,
        /// Address of the agent's RPC server.
        pub address: SocketAddr,
        /// The agent's clock, on which the validity of orders is measured.
        pub clock: Timestamp,
        /// The highest epoch that the agent has seen.
        pub epoch: u64,
        /// The target, if there is one and its lists have been read.
        pub target: Option<TargetReport>,
        /// The last target instance that announced its departure.
        pub departed: Option<TargetInstance>,
        /// The target instance that does not answer and whose leases have all ended, so that none of
        /// its runs can be at work.
        pub lapsed: Option<TargetInstance>,
    }
}

value! {
    /// The answer to a report.
    pub struct ReportAnswer {
        /// Epoch of the leader.
        pub epoch: u64,
        /// True if the store has confirmed the leadership recently; only then may the agent renew
        /// leases.
        pub confirmed: bool,
        /// Highest sequence number of the target's run ends that are durable.
        pub acknowledged: u64,
        /// Fronts that can be asked for the leader.
        pub fronts: Vec<SocketAddr>,
    }
}
