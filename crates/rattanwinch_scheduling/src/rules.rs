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
        /// When the queue's jobs are on time; `None` if operators don't say.
        pub objective: Option<LatencyObjective>,
        /// Set if an advisor chooses the targets.
        pub advisor: Option<AdvisorTiming>,
    }
}

value! { copy
    /// A job is on time if it has ended this long after its submission.
    pub struct LatencyObjective {
        /// Besides the multiple of the job's own run time.
        pub base: Duration,
        /// The multiple of the run time of the job's longest chain of steps, in per cent.
        pub stretch_percent: u32,
    }
}

impl LatencyObjective {
    /// The time that a job with a chain of so long a run time has.
    #[must_use]
    pub fn limit(&self, chain: Duration) -> Duration {
        self.base + chain * self.stretch_percent / 100
    }
}

value! { copy
    /// How long the advisor takes and how long its word holds.
    pub struct AdvisorTiming {
        /// The time for an answer, besides `each`.
        pub base: Duration,
        /// The additional time for each target named.
        pub per_target: Duration,
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
