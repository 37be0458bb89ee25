use std::fmt;
use std::sync::Arc;

use rattanwinch_types::value;

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

shared_name!(
    /// The caller's id of a job, unique on the whole site.
    JobId
);
shared_name!(
    /// A queue of jobs.
    QueueName
);
shared_name!(
    /// A service: the pool of targets that runs the tasks of a queue.
    ServiceName
);
shared_name!(
    /// A machine that runs one target at a time, as the platform names it.
    MachineId
);
shared_name!(
    /// A label that a target carries, such as its kind or its rack.
    Label
);
shared_name!(
    /// A saved state of a task, opaque to the scheduler.
    Checkpoint
);
shared_name!(
    /// Proof from the advisor that a target may run a step.
    Ticket
);

value! {
    /// One step of one occurrence of a job.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct StepId {
        /// The job.
        pub job: JobId,
        /// Which occurrence of a repeated job, from 0.
        pub occurrence: u32,
        /// Which step, from 0.
        pub step: u32,
    }
}

value! {
    /// One task of a step.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct TaskId {
        /// The step that it belongs to.
        pub step: StepId,
        /// Which task of the step, from 0.
        pub index: u32,
    }
}

value! {
    /// One run of a task; numbers rise with each run of the task.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RunId {
        /// The task.
        pub task: TaskId,
        /// The number of the run, from 1.
        pub number: u32,
    }
}

impl RunId {
    /// The run's name beside its job's id: occurrence, step, index and number.
    #[must_use]
    pub fn within_job(&self) -> String {
        let step = &self.task.step;
        format!(
            "{}.{}.{}#{}",
            step.occurrence, step.step, self.task.index, self.number
        )
    }
}
