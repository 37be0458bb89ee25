use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rattanwinch_types::Organisation;
use rattanwinch_types::ZoneName;
use rattanwinch_types::value;

use crate::QueueName;
use crate::ServiceName;

value! {
    /// The scheduling rules of a queue.
    pub struct QueueRules {
        /// The service whose targets run the tasks of the queue.
        pub service: ServiceName,
        /// The priority; 0 is the highest.
        pub priority: u32,
        /// A task or gang that has failed this many times fails its job.
        pub max_attempts: u32,
        /// The latency objective of the jobs; `None` if operators set none.
        pub objective: Option<LatencyObjective>,
        /// The timing of the advisor; `None` if the queue needs no tickets.
        pub advisor: Option<AdvisorTiming>,
    }
}

value! { copy
    /// The time from its submission within which a job should end.
    pub struct LatencyObjective {
        /// The fixed part, added to the multiple of the run time.
        pub base: Duration,
        /// The multiple of the run time of the job's critical path, in per cent.
        pub stretch_percent: u32,
    }
}

impl LatencyObjective {
    /// Returns the time limit of a job with the given critical path.
    #[must_use]
    pub fn limit(&self, critical_path: Duration) -> Duration {
        self.base
            .saturating_add(critical_path.saturating_mul(self.stretch_percent) / 100)
    }
}

value! { copy
    /// The latency of the advisor and the validity of its tickets.
    pub struct AdvisorTiming {
        /// The fixed latency of a query.
        pub base: Duration,
        /// The additional latency for each target in the query.
        pub per_target: Duration,
        /// How long a ticket is valid.
        pub validity: Duration,
    }
}

value! {
    /// The operators' rules that decide where and when tasks start.
    #[derive(Default)]
    pub struct SchedulingRules {
        /// The rules of each queue.
        pub queues: BTreeMap<QueueName, QueueRules>,
        /// The accelerators guaranteed to each organisation's jobs of priority 0.
        pub guarantees: BTreeMap<Organisation, u64>,
        /// Availability zones that are closed: no task starts there.
        pub closed_zones: BTreeSet<ZoneName>,
    }
}
