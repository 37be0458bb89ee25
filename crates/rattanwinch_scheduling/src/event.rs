use rattanwinch_types::Organisation;
use rattanwinch_types::TargetName;
use rattanwinch_types::value;

use crate::JobId;
use crate::JobState;
use crate::QueueName;
use crate::ReclaimEnd;
use crate::RefusalReason;
use crate::RunId;
use crate::RunOutcome;
use crate::StartRefusal;
use crate::StepId;
use crate::TargetClosure;
use crate::TargetInstance;

value! {
    /// A decision or an observation of the scheduler, for logs and metrics.
    pub enum Event {
        /// Tasks of a step were placed on targets.
        Placed {
            /// The step.
            step: StepId,
            /// The run number of the tasks.
            number: u32,
            /// The target of each task.
            targets: Vec<TargetName>,
            /// How long the step had been ready, in milliseconds.
            waited_ms: u64,
        },
        /// Runs are preempted for a step.
        Preempted {
            /// The step that gets the freed resources.
            step: StepId,
            /// The preempted runs.
            victims: Vec<RunId>,
            /// The work that the runs lose, in core-milliseconds.
            lost_core_ms: u64,
            /// The step is covered by its organisation's guarantee.
            guaranteed: bool,
        },
        /// Room that was made for a step is no longer held for it.
        ReclaimGivenUp {
            /// The step.
            step: StepId,
            /// Why the room is no longer held.
            end: ReclaimEnd,
        },
        /// Room is kept for a blocked step until runs have ended by themselves.
        RoomReserved {
            /// The step.
            step: StepId,
            /// The target of each task.
            targets: Vec<TargetName>,
            /// The runs that have to end first.
            awaited: Vec<RunId>,
            /// When the runs are expected to have ended, in milliseconds.
            expected_in_ms: u64,
        },
        /// Room is no longer kept for a step, since runs have not ended in time.
        ReservationLapsed {
            /// The step.
            step: StepId,
            /// The runs that had to end.
            awaited: Vec<RunId>,
        },
        /// Runs are stopped to be placed elsewhere, since their target ends before they can.
        Moved {
            /// The stopped runs: one, or the members of a gang.
            runs: Vec<RunId>,
            /// The target that ends.
            target: TargetName,
            /// The least time until the target ends, in milliseconds.
            leaves_in_ms: u64,
            /// The work that the runs lose, in core-milliseconds.
            lost_core_ms: u64,
        },
        /// A run has started on its target.
        Started {
            /// The run.
            run: RunId,
            /// The time from the placement to the confirmed start, in milliseconds.
            after_ms: u64,
        },
        /// The first task of a job has started.
        JobStarted {
            /// The job.
            job: JobId,
        },
        /// A target refused to start a run.
        Refused {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
            /// The reason for the refusal.
            refusal: StartRefusal,
        },
        /// A start that no target has confirmed is withdrawn, since its target was closed.
        StartWithdrawn {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
            /// Why the target gets no new tasks.
            closure: TargetClosure,
        },
        /// A run has ended.
        Ended {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
            /// The outcome of the run.
            outcome: RunOutcome,
            /// The time from the confirmed start to the last progress, in milliseconds; `None` if
            /// this scheduler has not seen the run start.
            run_time_ms: Option<u64>,
        },
        /// A run was abandoned: it is not on its target and can no longer start there.
        Abandoned {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
        },
        /// A target reports a run that the scheduler has not placed there.
        UnknownRun {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
        },
        /// An instance of a target is removed and its runs lapse.
        TargetRemoved {
            /// The removed instance.
            instance: TargetInstance,
            /// Why the instance was removed.
            cause: RemovalCause,
        },
        /// A target was quarantined and gets no new tasks, since runs failed or stalled on it.
        Quarantined {
            /// The target.
            target: TargetName,
            /// The duration of the quarantine, in milliseconds.
            for_ms: u64,
        },
        /// A run is stopped because it makes no progress.
        Stalled {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
        },
        /// A job is refused at its submission, since it could not end while it is of use.
        NotAdmitted {
            /// The job.
            job: JobId,
            /// The queue of the job.
            queue: QueueName,
            /// The organisation of the job.
            organisation: Organisation,
            /// Why the job is refused.
            reason: RefusalReason,
            /// The least time that the work ahead of the job takes, in milliseconds.
            wait_ms: u64,
            /// How long after its submission the job is of use, in milliseconds.
            useful_ms: u64,
            /// When the job may be submitted again, in milliseconds.
            retry_after_ms: u64,
        },
        /// A job has reached a final state.
        Finished {
            /// The job.
            job: JobId,
            /// The final state.
            state: JobState,
        },
    }
}

value! { copy
    /// Why an instance of a target is removed.
    pub enum RemovalCause {
        /// The target has restarted, or its VM runs another target.
        Replaced,
        /// The target has announced that it leaves.
        Left,
        /// The target doesn't answer its agent, and its leases have expired.
        Unresponsive,
        /// The target was silent for so long that its leases have expired.
        Silent,
    }
}
