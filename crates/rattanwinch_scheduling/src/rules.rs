use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::ZoneName;
use rattanwinch_types::value;

use crate::QueueName;
use crate::ServiceName;

value! {
    /// How the jobs of a queue are treated.
    pub struct QueueRules {
        /// The targets that run the queue's tasks.
        pub service: ServiceName,
        /// 0 comes first.
        pub priority: u32,
        /// A task or gang that has failed as often fails its job.
        pub max_attempts: u32,
        /// Set if an advisor chooses the targets.
        pub advisor: Option<AdvisorTimes>,
    }
}

value! { copy
    /// How long the advisor takes and how long its word holds.
    pub struct AdvisorTimes {
        /// The time for an answer, besides `each`.
        pub base: Duration,
        /// The additional time for each target named.
        pub each: Duration,
        /// How long a ticket may be used.
        pub validity: Duration,
    }
}

value! {
    /// What operators have ordered, as far as it decides where and when tasks start.
    #[derive(Default)]
    pub struct SchedulingRules {
        /// The queues.
        pub queues: BTreeMap<QueueName, QueueRules>,
        /// Accelerators that each organisation may always have for its jobs of priority 0.
        pub guarantees: BTreeMap<Organisation, u64>,
        /// Availability zones in which nothing may start.
        pub closed_zones: BTreeSet<ZoneName>,
    }
}
