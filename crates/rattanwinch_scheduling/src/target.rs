use std::collections::BTreeMap;
use std::sync::Arc;

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
use crate::ServiceName;

value! {
    /// One instance of a target. A target that starts again holds and knows nothing of before.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct TargetInstance {
        /// The VM that it runs on; a VM has one target at a time.
        pub vm: Arc<str>,
        /// The target.
        pub target: TargetName,
        /// When this instance began, in Unix milliseconds of the target's own clock.
        pub started_at_ms: u64,
    }
}

value! {
    /// What a target says of itself.
    pub struct TargetDescription {
        /// The instance that it speaks for.
        pub instance: TargetInstance,
        /// The pool that it belongs to.
        pub service: ServiceName,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Its room for tasks.
        pub capacity: Resources,
        /// Its kind and its rack.
        pub labels: SmallVec<[Label; 4]>,
        /// It leaves soon and takes nothing new.
        pub draining: bool,
    }
}

value! {
    /// A run that is at work on a target.
    pub struct RunningTask {
        /// The run.
        pub run: RunId,
        /// The newest saved state.
        pub checkpoint: Option<Checkpoint>,
        /// How far it is, 0 to 100.
        pub percent: u32,
    }
}

value! { copy
    /// How a run ended.
    pub enum RunOutcome {
        /// It finished its work.
        Done,
        /// It failed, by its own fault or the target's.
        Failed,
        /// It was told to stop.
        Stopped,
        /// Its lease ran out.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// It waited in vain for the other members of its gang.
        Alone,
    }
}

impl RunOutcome {
    /// The name in logs and metrics.
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
        /// Counts the ends of one instance of the target.
        pub sequence: u64,
        /// The run.
        pub run: RunId,
        /// How it ended.
        pub outcome: RunOutcome,
        /// The last saved state.
        pub checkpoint: Option<Checkpoint>,
    }
}

value! {
    /// Everything that an agent knows of its target at one moment.
    pub struct TargetReport {
        /// The target itself.
        pub description: TargetDescription,
        /// What runs there.
        pub running: Vec<RunningTask>,
        /// Ends that have not been acknowledged, in the order of their numbers.
        pub ended: Vec<EndedTask>,
    }
}

/// What the scheduler believes of a target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub description: TargetDescription,
    pub heard_at: Timestamp,
    /// Ends up to this number are durable and may be forgotten by the target.
    pub acknowledged: u64,
    /// Ends up to this number have been processed, durably or not.
    pub processed: u64,
    /// Runs there that the scheduler hasn't placed; their size is unknown.
    pub strangers: Vec<RunId>,
    /// Jobs in a row of which a task failed here.
    pub failures_in_row: u32,
    /// When the first of these failures was seen.
    pub failing_since: Option<Timestamp>,
    /// The job of the last failure; a job that can't be done fails anywhere.
    pub last_failed: Option<JobId>,
    pub quarantined_until: Timestamp,
    pub quarantines: u32,
}

impl Target {
    pub(crate) fn new(description: TargetDescription, now: Timestamp) -> Self {
        Self {
            description,
            heard_at: now,
            acknowledged: 0,
            processed: 0,
            strangers: Vec::new(),
            failures_in_row: 0,
            failing_since: None,
            last_failed: None,
            quarantined_until: Timestamp::ZERO,
            quarantines: 0,
        }
    }

    /// The label of the rack, the second one that a target carries.
    pub(crate) fn rack(&self) -> Option<&Label> {
        self.description.labels.get(1)
    }

    pub(crate) fn has_label(&self, label: &Label) -> bool {
        self.description.labels.contains(label)
    }
}

pub(crate) type Targets = BTreeMap<TargetName, Target>;
