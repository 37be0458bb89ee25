//! Life cycle of a job at the decider, as types: `Queued`, `Reclaiming` (its accelerators are
//! chosen and others are being evicted from them), `Holding`, `Running`, `Evicting`.

use std::sync::Arc;
use std::time::Duration;

use rattanwinch_types::JobSpec;
use rattanwinch_types::Timestamp;
use smallvec::SmallVec;

use crate::policy::queue::wait_cause::WaitCause;
use crate::policy::workers::BlockId;
use crate::policy::workers::JobId;
use crate::policy::workers::Slots;

rattanwinch_types::value! {
    /// Accelerators allocated to a job.
    pub(crate) struct Allocation {
        /// One slot for each task.
        pub slots: Slots,
        /// Guaranteed blocks that the slots lie in; empty for borrowed accelerators.
        pub blocks: SmallVec<[BlockId; 2]>,
    }
}

impl Allocation {
    pub(crate) fn is_guaranteed(&self) -> bool {
        !self.blocks.is_empty()
    }
}

/// A job in the state `S`.
#[derive(Clone, Debug)]
pub(crate) struct Job<S> {
    /// Id at this decider.
    pub id: JobId,
    /// The submitted specification.
    pub spec: Arc<JobSpec>,
    /// When the job was first queued; an evicted job keeps its first time.
    pub queued_at: Timestamp,
    /// Number of failed starts since submission.
    pub start_failures: u32,
    /// State-specific data.
    pub state: S,
}

/// State of a job in the queue.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    /// Earliest time of the next try.
    pub not_before: Timestamp,
    /// What the job waits for.
    pub cause: WaitCause,
}

/// State of a job whose accelerators are chosen while borrowers are being evicted from them.
#[derive(Clone, Debug)]
pub(crate) struct Reclaiming {
    /// The chosen accelerators.
    pub allocation: Allocation,
}

/// State of a job whose start was decided; its accelerators are taken.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    /// Its accelerators.
    pub allocation: Allocation,
}

/// State of a job whose tasks run.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// Its accelerators.
    pub allocation: Allocation,
    /// When the tasks were released.
    pub since: Timestamp,
}

/// State of a job whose tasks are being checkpointed or stopped.
#[derive(Clone, Debug)]
pub(crate) struct Evicting {
    /// Its accelerators.
    pub allocation: Allocation,
    /// When the tasks were released.
    pub since: Timestamp,
    /// When the next stop order is due.
    pub stop_at: Timestamp,
    /// Why the job is evicted.
    pub reason: Arc<str>,
}

impl<S> Job<S> {
    fn with_state<T>(self, state: T) -> Job<T> {
        Job {
            id: self.id,
            spec: self.spec,
            queued_at: self.queued_at,
            start_failures: self.start_failures,
            state,
        }
    }
}

impl Job<Queued> {
    pub(crate) fn new(id: JobId, spec: Arc<JobSpec>, queued_at: Timestamp) -> Self {
        Self {
            id,
            spec,
            queued_at,
            start_failures: 0,
            state: Queued {
                not_before: Timestamp::ZERO,
                cause: WaitCause::New,
            },
        }
    }

    pub(crate) fn reclaim(self, allocation: Allocation) -> Job<Reclaiming> {
        self.with_state(Reclaiming { allocation })
    }

    pub(crate) fn hold(self, allocation: Allocation) -> Job<Holding> {
        self.with_state(Holding { allocation })
    }

    /// Restores a job that was running when this decider took over.
    pub(crate) fn restore(self, allocation: Allocation, since: Timestamp) -> Job<Running> {
        self.with_state(Running { allocation, since })
    }
}

impl Job<Reclaiming> {
    pub(crate) fn hold(self) -> Job<Holding> {
        let allocation = self.state.allocation.clone();
        self.with_state(Holding { allocation })
    }

    pub(crate) fn requeue(self, now: Timestamp) -> Job<Queued> {
        self.with_state(Queued {
            not_before: now,
            cause: WaitCause::New,
        })
    }
}

impl Job<Holding> {
    pub(crate) fn run(self, now: Timestamp) -> Job<Running> {
        let allocation = self.state.allocation.clone();
        self.with_state(Running {
            allocation,
            since: now,
        })
    }

    /// Puts the job back into the queue after a failed start.
    pub(crate) fn requeue_after_failure(mut self, now: Timestamp) -> Job<Queued> {
        self.start_failures += 1;
        let not_before = now + start_backoff(self.start_failures);
        self.with_state(Queued {
            not_before,
            cause: WaitCause::Backoff { until: not_before },
        })
    }
}

impl Job<Running> {
    pub(crate) fn evict(self, stop_at: Timestamp, reason: Arc<str>) -> Job<Evicting> {
        let Running { allocation, since } = self.state.clone();
        self.with_state(Evicting {
            allocation,
            since,
            stop_at,
            reason,
        })
    }
}

/// Backoff after failed starts: 500 ms, the hold timeout, doubled up to 30 s, so that a job whose
/// starts keep failing doesn't occupy accelerators most of the time.
fn start_backoff(failures: u32) -> Duration {
    let doubled = 500_u64 << failures.saturating_sub(1).min(6);
    Duration::from_millis(doubled.min(30_000))
}

/// A started job in any state.
#[derive(Clone, Debug)]
pub(crate) enum ActiveJob {
    /// The start was decided.
    Holding(Job<Holding>),
    /// The tasks run.
    Running(Job<Running>),
    /// The job is being evicted.
    Evicting(Job<Evicting>),
}

impl ActiveJob {
    pub(crate) fn spec(&self) -> &Arc<JobSpec> {
        match self {
            Self::Holding(job) => &job.spec,
            Self::Running(job) => &job.spec,
            Self::Evicting(job) => &job.spec,
        }
    }

    pub(crate) fn allocation(&self) -> &Allocation {
        match self {
            Self::Holding(job) => &job.state.allocation,
            Self::Running(job) => &job.state.allocation,
            Self::Evicting(job) => &job.state.allocation,
        }
    }

    pub(crate) fn allocation_mut(&mut self) -> &mut Allocation {
        match self {
            Self::Holding(job) => &mut job.state.allocation,
            Self::Running(job) => &mut job.state.allocation,
            Self::Evicting(job) => &mut job.state.allocation,
        }
    }

    pub(crate) fn queued_at(&self) -> Timestamp {
        match self {
            Self::Holding(job) => job.queued_at,
            Self::Running(job) => job.queued_at,
            Self::Evicting(job) => job.queued_at,
        }
    }

    /// When the job's tasks were released; `None` before that.
    pub(crate) fn since(&self) -> Option<Timestamp> {
        match self {
            Self::Holding(_) => None,
            Self::Running(job) => Some(job.state.since),
            Self::Evicting(job) => Some(job.state.since),
        }
    }
}
