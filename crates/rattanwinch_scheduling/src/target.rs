use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::TargetName;
use rattanwinch_types::Timestamp;
use rattanwinch_types::ZoneName;
use rattanwinch_types::value;
use smallvec::SmallVec;

use crate::Checkpoint;
use crate::JobId;
use crate::Label;
use crate::Resources;
use crate::RunId;
use crate::RunLists;
use crate::ServiceName;

value! {
    /// One instance of a target. A restarted target is a new instance without any former state.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct TargetInstance {
        /// The VM of the target; a VM runs one target at a time.
        pub vm: Arc<str>,
        /// The name of the target.
        pub target: TargetName,
        /// When the instance started, in Unix milliseconds of the target's own clock.
        pub started_at_ms: u64,
    }
}

value! {
    /// The properties of a target.
    pub struct TargetDescription {
        /// The instance of the target.
        pub instance: TargetInstance,
        /// The service whose pool the target belongs to.
        pub service: ServiceName,
        /// The availability zone.
        pub zone: ZoneName,
        /// The total resources for tasks.
        pub capacity: Resources,
        /// The labels: kind, then rack.
        pub labels: SmallVec<[Label; 4]>,
        /// The target drains and accepts no new tasks.
        pub draining: bool,
    }
}

value! {
    /// A run that is running on a target.
    pub struct RunningTask {
        /// The run.
        pub run: RunId,
        /// The latest checkpoint.
        pub checkpoint: Option<Checkpoint>,
        /// The progress, 0 to 100.
        pub percent: u32,
    }
}

value! { copy
    /// The outcome of a run.
    pub enum RunOutcome {
        /// The run completed its work.
        Done,
        /// The run failed, through a fault of the task or of the target.
        Failed,
        /// The run was stopped by an order.
        Stopped,
        /// The lease of the run expired.
        Lapsed,
        /// Another member of the gang ended.
        Broken,
        /// The run timed out waiting for the other members of its gang.
        Alone,
    }
}

impl RunOutcome {
    /// The stable text used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

value! {
    /// A run that has ended on a target.
    pub struct EndedTask {
        /// The sequence number, which counts the ended runs of one target instance.
        pub sequence: u64,
        /// The run.
        pub run: RunId,
        /// The outcome of the run.
        pub outcome: RunOutcome,
        /// The last checkpoint.
        pub checkpoint: Option<Checkpoint>,
    }
}

value! {
    /// An agent's report on its target at one time.
    pub struct TargetReport {
        /// The properties of the target.
        pub description: TargetDescription,
        /// The target's clock when it made the lists of its runs, in milliseconds. It does not change
        /// while the target does not answer, and the lists are those of before.
        pub lists_clock_ms: u64,
        /// The runs on the target.
        pub lists: RunLists,
        /// The time until all leases of the target have ended, if its agent stops and grants no more.
        pub leases_end_in: Option<Duration>,
        /// The least time until a draining target ends; `None` if it isn't known.
        pub leaves_in: Option<Duration>,
    }
}

/// The scheduler's view of a target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub description: TargetDescription,
    pub last_report_at: Timestamp,
    /// When all leases have ended, if the agent has stopped.
    pub leases_end_at: Option<Timestamp>,
    /// When a draining target may end; `None` if it isn't known.
    pub leaves_at: Option<Timestamp>,
    /// The target's clock in the last lists, and when they were first reported.
    pub lists: (u64, Timestamp),
    /// Ended runs up to this sequence are durable and may be forgotten by the target.
    pub acknowledged_sequence: u64,
    /// Ended runs up to this sequence are processed, durably or not.
    pub processed_sequence: u64,
    /// Runs on the target that the scheduler has not placed; their resources are unknown.
    pub unknown_runs: BTreeSet<RunId>,
    /// When stops of the unknown runs are sent, or sent again.
    pub unknown_runs_retry_at: Timestamp,
    /// The number of consecutive failures that count against the target.
    pub consecutive_failures: u32,
    /// When the first of these failures was reported.
    pub failing_since: Option<Timestamp>,
    /// The job of the last failure; further failures of the same job may be its own fault.
    pub last_failed_job: Option<JobId>,
    /// Until when gangs and retried tasks avoid the target, since a run failed on it at once.
    pub suspected_until: Timestamp,
    pub quarantined_until: Timestamp,
    pub quarantine_count: u32,
}

impl Target {
    pub(crate) fn new(description: TargetDescription, now: Timestamp) -> Self {
        Self {
            description,
            last_report_at: now,
            leases_end_at: None,
            leaves_at: None,
            lists: (0, now),
            acknowledged_sequence: 0,
            processed_sequence: 0,
            unknown_runs: BTreeSet::new(),
            unknown_runs_retry_at: now,
            consecutive_failures: 0,
            failing_since: None,
            last_failed_job: None,
            suspected_until: Timestamp::ZERO,
            quarantined_until: Timestamp::ZERO,
            quarantine_count: 0,
        }
    }

    /// Returns the rack label, which is the second label of a target.
    pub(crate) fn rack(&self) -> Option<&Label> {
        self.description.labels.get(1)
    }

    pub(crate) fn has_label(&self, label: &Label) -> bool {
        self.description.labels.contains(label)
    }
}

pub(crate) type Targets = BTreeMap<TargetName, Target>;
