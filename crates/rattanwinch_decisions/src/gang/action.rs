use rattanwinch_types::HoldOrder;
use rattanwinch_types::JobRecord;
use rattanwinch_types::MemberKey;
use rattanwinch_types::RequestKey;
use rattanwinch_types::Revision;
use rattanwinch_types::StopOrder;
use rattanwinch_types::TargetName;
use smallvec::SmallVec;

rattanwinch_types::value! {
    /// How a committed attempt ended, once none of its members runs any longer.
    pub enum AttemptEnd {
        /// All tasks succeeded and their answers are collected.
        Succeeded,
        /// A task failed on a worker.
        Failed(TargetName),
        /// Members were taken off their accelerators for other work.
        Evicted,
        /// A member's worker was lost or didn't release it.
        WorkerLost(TargetName),
        /// It was cancelled, or its deadline passed.
        Cancelled,
    }
}

/// What has to be sent or written. Every message may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GangAction {
    /// Ask an agent to hold a member.
    Hold {
        /// The worker.
        target: TargetName,
        /// The order.
        order: HoldOrder,
    },
    /// Ask an agent to run a held member.
    Release {
        /// The worker.
        target: TargetName,
        /// The member.
        member: MemberKey,
    },
    /// Ask an agent to end a member and to remember that it must not start.
    Abort {
        /// The worker.
        target: TargetName,
        /// The member.
        member: MemberKey,
    },
    /// Ask an agent to throttle, checkpoint or stop a member.
    Stop {
        /// The worker.
        target: TargetName,
        /// The order.
        order: StopOrder,
    },
    /// Ask an agent for the output of a member.
    Collect {
        /// The worker.
        target: TargetName,
        /// The member.
        member: MemberKey,
    },
    /// Write a job's record if it still has the expected revision and this is still the decider.
    Write {
        /// The revision of the record that is replaced.
        expected: Revision,
        /// The new record.
        record: Box<JobRecord>,
    },
    /// Read a job's record, because the outcome of its last write is unknown.
    Read {
        /// The job.
        key: RequestKey,
    },
    /// Tell the policy that the gang runs.
    Started {
        /// The job.
        key: RequestKey,
    },
    /// Tell the policy that the gang couldn't be held, or that the attempt wasn't committed.
    StartFailed {
        /// The job.
        key: RequestKey,
        /// The workers whose executors failed to load a task.
        failed_workers: SmallVec<[TargetName; 4]>,
    },
    /// Tell the policy that no member of a committed attempt uses its accelerators any longer.
    Ended {
        /// The job.
        key: RequestKey,
        /// How.
        end: AttemptEnd,
    },
    /// Put the job into the policy's queue again.
    Requeue {
        /// The job.
        key: RequestKey,
    },
    /// Take the job out of the policy's queue.
    Dequeue {
        /// The job.
        key: RequestKey,
    },
    /// The job has finished and its record says so: answer those who wait for it.
    Finished {
        /// The job.
        key: RequestKey,
    },
    /// Another decider has taken the zone over.
    Deposed,
}

/// What became of a write of a job's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was applied at this revision.
    Applied(Revision),
    /// The record had another revision; the record as it is now.
    Conflict(Option<(Box<JobRecord>, Revision)>),
    /// Another entry is the decider.
    Deposed,
    /// It certainly had no effect.
    NotApplied,
    /// The record is larger than the store takes.
    TooLarge,
    /// It may have taken effect, or may still.
    Unknown,
}

rattanwinch_types::value! {
    /// What the response to a heartbeat tells the agent about its members.
    #[derive(Default)]
    pub struct HeartbeatOrders {
        /// Members that have to stop.
        pub stop: SmallVec<[StopOrder; 4]>,
        /// Ended members that the agent may forget.
        pub forget: SmallVec<[MemberKey; 4]>,
    }
}
