use std::fmt;

/// The maximum number of tasks in a gang.
pub const MAX_GANG_TASKS: u16 = 128;

/// The number of accelerators in a worker.
pub const WORKER_ACCELERATORS: u8 = 8;

crate::value! { copy
    /// How close together the tasks of a gang must be placed.
    pub enum Adjacency {
        /// Anywhere in one availability zone.
        Zone,
        /// In neighbouring racks; in one rack if they fit.
        Racks,
        /// In one rack.
        Rack,
        /// In one worker.
        Worker,
    }
}

impl Adjacency {
    /// The stable text used in messages and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Racks => "racks",
            Self::Rack => "rack",
            Self::Worker => "worker",
        }
    }

    /// Parses the stable text.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "zone" => Some(Self::Zone),
            "racks" => Some(Self::Racks),
            "rack" => Some(Self::Rack),
            "worker" => Some(Self::Worker),
            _ => None,
        }
    }
}

crate::value! { copy
    /// The resources of a gang: tasks, accelerators per task and adjacency.
    pub struct GangShape {
        tasks: u16,
        accelerators_per_task: u8,
        adjacency: Adjacency,
    }
}

/// The error for an invalid gang shape: the field, its value and the accepted values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidShape {
    /// The name of the invalid field.
    pub field: &'static str,
    /// The invalid value.
    pub value: u64,
    /// The values that are accepted.
    pub expected: &'static str,
}

impl fmt::Display for InvalidShape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is {}: expected {}",
            self.field, self.value, self.expected
        )
    }
}

impl std::error::Error for InvalidShape {}

impl GangShape {
    /// Creates a shape. Each task occupies an aligned block of accelerators in one worker.
    ///
    /// # Errors
    ///
    /// [`InvalidShape`] if `tasks` is not 1 to [`MAX_GANG_TASKS`], if `accelerators_per_task`
    /// is not 1, 2, 4 or 8, or if tasks that must share a worker exceed its accelerators.
    pub fn new(
        tasks: u16,
        accelerators_per_task: u8,
        adjacency: Adjacency,
    ) -> Result<Self, InvalidShape> {
        if tasks == 0 || tasks > MAX_GANG_TASKS {
            let value = u64::from(tasks);
            return Err(InvalidShape {
                field: "tasks",
                value,
                expected: "1 to 128",
            });
        }
        if !matches!(accelerators_per_task, 1 | 2 | 4 | 8) {
            let value = u64::from(accelerators_per_task);
            let expected = "1, 2, 4 or 8";
            return Err(InvalidShape {
                field: "accelerators_per_task",
                value,
                expected,
            });
        }
        let shape = Self {
            tasks,
            accelerators_per_task,
            adjacency,
        };
        if adjacency == Adjacency::Worker && shape.accelerators() > u32::from(WORKER_ACCELERATORS) {
            let value = u64::from(shape.accelerators());
            let expected = "at most 8 accelerators in all when adjacency is worker";
            return Err(InvalidShape {
                field: "tasks",
                value,
                expected,
            });
        }
        Ok(shape)
    }

    /// The number of tasks.
    #[must_use]
    pub const fn tasks(self) -> u16 {
        self.tasks
    }

    /// The number of accelerators of each task.
    #[must_use]
    pub const fn accelerators_per_task(self) -> u8 {
        self.accelerators_per_task
    }

    /// How close together the tasks must be placed.
    #[must_use]
    pub const fn adjacency(self) -> Adjacency {
        self.adjacency
    }

    /// The total number of accelerators of all tasks.
    #[must_use]
    pub fn accelerators(self) -> u32 {
        u32::from(self.tasks) * u32::from(self.accelerators_per_task)
    }
}
