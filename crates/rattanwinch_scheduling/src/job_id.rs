use std::fmt;
use std::sync::Arc;

use rattanwinch_types::value;

macro_rules! shared_string {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text.
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

shared_string!(
    /// The caller's id of a job, unique in the site.
    JobId
);
shared_string!(
    /// The name of a job queue.
    QueueName
);
shared_string!(
    /// The name of a service: the pool of targets that runs the tasks of a queue.
    ServiceName
);
shared_string!(
    /// The platform's id of a machine, which runs one target at a time.
    MachineId
);
shared_string!(
    /// A label of a target, such as its kind or its rack.
    Label
);
shared_string!(
    /// The checkpoint of a task, opaque to the scheduler.
    Checkpoint
);
shared_string!(
    /// A ticket from the advisor, which proves that a target may run a step.
    Ticket
);

value! {
    /// Identifies a step of one occurrence of a job.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct StepId {
        /// The job.
        pub job: JobId,
        /// The occurrence of a repeated job, from 0.
        pub occurrence: u32,
        /// The number of the step, from 0.
        pub step: u32,
    }
}

value! {
    /// Identifies a task of a step.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct TaskId {
        /// The step of the task.
        pub step: StepId,
        /// The index of the task within the step, from 0.
        pub index: u32,
    }
}

value! {
    /// Identifies a run of a task.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct RunId {
        /// The task.
        pub task: TaskId,
        /// The number of the run, from 1; increases with each run of the task.
        pub number: u32,
    }
}

impl RunId {
    /// Formats the run without its job id: occurrence, step, index and run number.
    #[must_use]
    pub fn within_job(&self) -> String {
        let step = &self.task.step;
        format!(
            "{}.{}.{}#{}",
            step.occurrence, step.step, self.task.index, self.number
        )
    }
}
