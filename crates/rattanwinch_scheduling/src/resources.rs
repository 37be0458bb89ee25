use rattanwinch_types::value;

value! { copy
    /// The resources that a task requires or a target has.
    pub struct Resources {
        /// Processor time in thousandths of a core.
        pub cpu_millis: u64,
        /// Memory in megabytes.
        pub memory_mb: u64,
        /// Whole accelerators.
        pub accelerators: u64,
    }
}

/// The weight of an accelerator in cores when lost work is compared. Targets have 8 to 16 cores for
/// each accelerator, so a task with an accelerator keeps about as many cores from other use.
const CORES_PER_ACCELERATOR: u64 = 8;

impl Resources {
    /// No resources.
    pub const NONE: Self = Self {
        cpu_millis: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Returns how many times `required` fits; `u64::MAX` if it contains no resources.
    #[must_use]
    pub fn max_count(self, required: Self) -> u64 {
        let times =
            |available: u64, required: u64| available.checked_div(required).unwrap_or(u64::MAX);
        times(self.cpu_millis, required.cpu_millis)
            .min(times(self.memory_mb, required.memory_mb))
            .min(times(self.accelerators, required.accelerators))
    }

    /// Returns true if `required` fits into `self`.
    #[must_use]
    pub const fn fits(self, required: Self) -> bool {
        self.cpu_millis >= required.cpu_millis
            && self.memory_mb >= required.memory_mb
            && self.accelerators >= required.accelerators
    }

    /// Returns the sum, saturating at the highest value.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the lower of both values of each resource.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the higher of both values of each resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the difference, saturating at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the weight in thousandths of a core, with accelerators counted as cores.
    #[must_use]
    pub const fn weighted_cpu_millis(self) -> u64 {
        let accelerators = self
            .accelerators
            .saturating_mul(CORES_PER_ACCELERATOR * 1000);
        self.cpu_millis.saturating_add(accelerators)
    }
}
