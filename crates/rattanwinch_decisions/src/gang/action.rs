use rattanwinch_types::HoldOrder;
use rattanwinch_types::JobRecord;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::StopOrder;
use rattanwinch_types::TargetName;
use smallvec::SmallVec;

rattanwinch_types::value! {
    /// How a committed attempt ended, once none of its members runs.
    pub enum AttemptEnd {
        /// All tasks succeeded and their outputs are collected.
        Succeeded,
        /// A task failed on a worker.
        Failed(TargetName),
        /// Members were evicted for other work.
        Evicted,
        /// A member's worker was lost or did not release it.
        WorkerLost(TargetName),
        /// The job was cancelled, or its deadline passed.
        Cancelled,
    }
}

/// An action that the caller carries out. Every message may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangAction {
    /// Order an agent to hold a member.
    Hold {
        /// The worker.
        target: TargetName,
        /// The order.
        order: HoldOrder,
    },
    /// Order an agent to run a held member.
    Release {
        /// The worker.
        target: TargetName,
        /// The member.
        member: MemberKey,
    },
    /// Order an agent to end a member and to record that it must not start.
    Abort {
        /// The worker.
        target: TargetName,
        /// The member.
        member: MemberKey,
    },
    /// Order an agent to throttle, checkpoint or stop a member.
    Stop {
        /// The worker.
        target: TargetName,
        /// The order.
        order: StopOrder,
    },
    /// Read the output of a member from its agent.
    Collect {
        /// The worker.
        target: TargetName,
        /// The member.
        member: MemberKey,
    },
    /// Write a job's record, provided that it still has the expected revision and this is still the
    /// decider.
    Write {
        /// Revision of the replaced record.
        expected: Revision,
        /// The new record.
        record: Box<JobRecord>,
    },
    /// Read a job's record, because the outcome of its last write is unknown.
    Read {
        /// The job.
        key: RequestKey,
    },
    /// Report to the policy that the gang runs.
    Started {
        /// The job.
        key: RequestKey,
    },
    /// Report to the policy that the gang was not held, or that the attempt was not committed.
    StartFailed {
        /// The job.
        key: RequestKey,
        /// Workers whose executors failed to load a task.
        failed_workers: SmallVec<[TargetName; 4]>,
    },
    /// Report to the policy that no member of a committed attempt uses its accelerators any longer.
    Ended {
        /// The job.
        key: RequestKey,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// Put the job into the policy's queue again.
    Requeue {
        /// The job.
        key: RequestKey,
    },
    /// Remove the job from the policy's queue.
    Dequeue {
        /// The job.
        key: RequestKey,
    },
    /// The job has finished and its outcome is recorded: respond to the callers that wait for it.
    Finished {
        /// The job.
        key: RequestKey,
    },
    /// Another decider has taken over the zone.
    Deposed,
}

/// Outcome of a write of a job's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied at this revision.
    Applied(Revision),
    /// The record had another revision; contains the current record.
    Conflict(Option<(Box<JobRecord>, Revision)>),
    /// Another entry is the decider.
    Deposed,
    /// The write had no effect.
    NotApplied,
    /// The record exceeds the store's size limit.
    TooLarge,
    /// The write may have taken effect, or may still.
    Unknown,
}

rattanwinch_types::value! {
    /// Orders to an agent about its members, sent in the response to its heartbeat.
    #[derive(Default)]
    pub struct HeartbeatOrders {
        /// Members to stop.
        pub stop: SmallVec<[StopOrder; 4]>,
        /// Ended members that the agent may forget.
        pub forget: SmallVec<[MemberKey; 4]>,
    }
}
