use rattanwinch_types::TargetName;
use rattanwinch_types::value;

use crate::JobId;
use crate::JobState;
use crate::RunId;
use crate::RunOutcome;
use crate::StartRefusal;
use crate::StepId;
use crate::TargetInstance;

value! {
    /// Something that the scheduler has decided or come to believe, for logs and metrics.
    pub enum Event {
        /// A step was placed on targets.
        Placed {
            /// The step.
            step: StepId,
            /// The number of the runs.
            number: u32,
            /// The targets, one a task.
            targets: Vec<TargetName>,
            /// How long the step had waited since its turn came, in milliseconds.
            waited_ms: u64,
        },
        /// Runs are stopped to make room for a step within its organisation's guarantee.
        Preempted {
            /// The step that needs the room.
            step: StepId,
            /// The runs that give way.
            victims: Vec<RunId>,
        },
        /// A target has the run.
        Started {
            /// The run.
            run: RunId,
            /// How long after its placement this was known, in milliseconds.
            after_ms: u64,
        },
        /// A target didn't take a run.
        Refused {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
            /// Why.
            refusal: StartRefusal,
        },
        /// A run has ended.
        Ended {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
            /// How it ended.
            outcome: RunOutcome,
            /// How long after its start this was known, in milliseconds; `None` if it is not
            /// known to have started under this scheduler.
            run_time_ms: Option<u64>,
        },
        /// A run is given up: it isn't on its target and can't start there any more.
        Abandoned {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
        },
        /// A target has a run that nobody placed there.
        UnknownRun {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
        },
        /// A instance of a target is over, and with it all that ran there.
        TargetRemoved {
            /// The instance.
            instance: TargetInstance,
            /// The cause.
            cause: RemovalCause,
        },
        /// A target gets no new tasks for a time, since runs of several jobs failed on it.
        Quarantined {
            /// The target.
            target: TargetName,
            /// For how long, in milliseconds.
            for_ms: u64,
        },
        /// A run makes no progress and is stopped.
        Stalled {
            /// The run.
            run: RunId,
            /// The target.
            target: TargetName,
        },
        /// A job has come to its end.
        Finished {
            /// The job.
            job: JobId,
            /// Its final state.
            state: JobState,
        },
    }
}

value! { copy
    /// Why a instance of a target is taken as over.
    pub enum RemovalCause {
        /// The target has started again or its VM has another one.
        Replaced,
        /// It said that it leaves.
        Left,
        /// Nothing was heard for so long that its leases have run out.
        Silent,
    }
}
